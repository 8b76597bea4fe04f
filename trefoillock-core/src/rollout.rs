//! Rollouts: gradual shifts of a service's calls to a new version, with unchanged routes.

use std::time::Duration;

use trefoillock_macros::data;

use crate::{
    MoveId, PoolEvidence, PoolVersions, RolloutAllowance, ServiceName, Share, Timestamp,
    VersionLabel,
};

/// The state of a rollout.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// The new version gets a share of the calls.
    Running,
    /// The new version gets all calls.
    Completed,
    /// The old version gets all calls again.
    RolledBack,
}

impl RolloutState {
    /// Whether the rollout has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// The latest rollout of a service, as stored in the replicated state.
#[data]
pub struct Rollout {
    /// The identity of the rollout; moves and rollouts share one sequence of identities.
    pub id: MoveId,
    /// The service that gets a new version.
    pub service: ServiceName,
    /// The new version.
    pub version: VersionLabel,
    /// The time at which the rollout was ordered, by the clock of the leader that received the
    /// order.
    pub started: Timestamp,
    /// The time by which the rollout must end, by the same clock.
    pub deadline: Timestamp,
    /// The state after the last step.
    pub state: RolloutState,
    /// The share of the service's calls that the new version gets.
    pub share: Share,
    /// The number of the last step.
    pub step: u32,
    /// A description of the evidence for the last step, for operators.
    pub evidence: String,
    /// The versions of the service whose earlier rollouts were rolled back. Backend servers that still
    /// run one of them get no calls. The oldest comes first.
    #[serde(default)]
    pub rejected: Vec<VersionLabel>,
    /// The calls that the new version may get while the rollout runs.
    #[serde(default)]
    pub allowance: RolloutAllowance,
    /// What the leader last recorded of its progress.
    #[serde(default)]
    pub progress: RolloutProgress,
}

/// How far a rollout has come, as the leader records it regularly for later leaders.
#[data]
#[derive(Default)]
pub struct RolloutProgress {
    /// The time since the order.
    pub elapsed: Duration,
    /// The evidence on the old versions.
    pub old: PoolEvidence,
    /// The evidence on the new version.
    pub new: PoolEvidence,
}

/// A decision on a rollout, which the leader appends to the replicated log.
#[data]
pub struct RolloutStep {
    /// The identity of the rollout.
    pub id: MoveId,
    /// The number of this step; it directly follows the number of the last one.
    pub step: u32,
    /// The new state of the rollout.
    pub state: RolloutState,
    /// The new share of the service's calls that the new version gets.
    pub share: Share,
    /// A description of the evidence for the decision, for operators.
    pub evidence: String,
}

/// The part of a rollout that nodes need to divide the calls of its service.
#[data]
pub struct RolloutShare {
    /// The identity of the rollout.
    pub id: MoveId,
    /// The number of the step that set the share.
    pub step: u32,
    /// The new version.
    pub version: VersionLabel,
    /// The share of the service's calls that the new version gets.
    pub share: Share,
    /// The versions that get no calls because their rollouts were rolled back.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rejected: Vec<VersionLabel>,
    /// The calls that the new version may get; `None` if they are not limited, because the rollout
    /// has completed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowance: Option<RolloutAllowance>,
}

impl RolloutShare {
    /// The versions that share the calls which the new version does not get.
    #[must_use]
    pub fn old_versions(&self) -> PoolVersions {
        let excluded = self.rejected.iter().chain([&self.version]);
        PoolVersions::Except(excluded.cloned().collect())
    }

    /// The new version.
    #[must_use]
    pub fn new_versions(&self) -> PoolVersions {
        PoolVersions::Only(self.version.clone())
    }
}

impl From<&Rollout> for RolloutShare {
    fn from(rollout: &Rollout) -> Self {
        let allowance = match rollout.state {
            RolloutState::Running => Some(rollout.allowance.clone()),
            RolloutState::RolledBack => Some(RolloutAllowance::default()),
            RolloutState::Completed => None,
        };
        Self {
            allowance,
            id: rollout.id,
            step: rollout.step,
            version: rollout.version.clone(),
            share: rollout.share,
            rejected: rollout.rejected.clone(),
        }
    }
}
