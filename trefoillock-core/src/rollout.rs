//! Roll-outs: a service goes over to a new version behind unchanged routes.

use trefoillock_macros::data;

use crate::{MoveId, ServiceName, Share, Timestamp, VersionLabel};

/// The state of a roll-out.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// The new version gets a share of the calls.
    Running,
    /// The new version has all calls, and the old one gets none.
    Completed,
    /// The old version has all calls, and the new one gets none.
    RolledBack,
}

impl RolloutState {
    /// Whether the roll-out has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// The latest roll-out of a service.
#[data]
pub struct Rollout {
    /// The identity, out of the same numbers as those of moves.
    pub id: MoveId,
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub version: VersionLabel,
    /// The time of the order, by the clock of the leader that took it.
    pub started: Timestamp,
    /// The time by which the roll-out shall have ended, by the same clock.
    pub deadline: Timestamp,
    /// The state.
    pub state: RolloutState,
    /// The share of the calls that the new version gets.
    pub share: Share,
    /// The number of steps taken.
    pub step: u32,
    /// The reason of the last step.
    pub evidence: String,
}

/// A step of a roll-out, proposed by the leader.
#[data]
pub struct RolloutStep {
    /// The roll-out.
    pub id: MoveId,
    /// The number of the step; it follows the last one.
    pub step: u32,
    /// The state after the step.
    pub state: RolloutState,
    /// The share after the step.
    pub share: Share,
    /// The reason.
    pub evidence: String,
}

/// What a node must know of a roll-out.
#[data]
pub struct RolloutShare {
    /// The identity.
    pub id: MoveId,
    /// The number of steps taken.
    pub step: u32,
    /// The new version.
    pub version: VersionLabel,
    /// The share of the calls that the new version gets.
    pub share: Share,
}

impl From<&Rollout> for RolloutShare {
    fn from(rollout: &Rollout) -> Self {
        Self {
            id: rollout.id,
            step: rollout.step,
            version: rollout.version.clone(),
            share: rollout.share,
        }
    }
}
