//! Moves of routes to new pools.

use std::fmt;

use trefoillock_macros::data;

use crate::{MoveId, PoolName, RouteName, Share, Timestamp};

/// Why a move does not raise its share for the time being.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum HoldReason {
    /// The new pool has no backend server that takes work.
    NoServers,
    /// The backend servers of the new pool have just started.
    ColdStart,
    /// Too few calls were seen to decide.
    ThinEvidence,
    /// Too few nodes report evidence.
    EvidenceMissing,
    /// The new pool has too few slots for a larger share.
    Capacity,
    /// The evidence points to badness but does not prove it yet.
    Suspicion,
}

/// Why a move may not be done by its deadline.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum RiskReason {
    /// The new pool has no backend server that takes work.
    NoServers,
    /// The new pool has too few slots to carry the route.
    Capacity,
    /// The route has too few calls to prove the new version in time.
    ThinEvidence,
    /// The time left is shorter than the steps that remain.
    TimeLeft,
}

/// Why a move was taken back.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum MoveEnd {
    /// The new version failed more often than the old one.
    Failures,
    /// The new version was slower than the old one.
    Latency,
    /// The new version cut answers.
    AbortedBodies,
    /// The new version crashed.
    Crashes,
    /// An operator cancelled the move.
    Cancelled,
    /// The deadline passed before the new version was proved.
    DeadlinePassed,
}

/// Where a move stands.
#[data(key)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum MoveState {
    /// The new pool has no backend server yet.
    WaitingForServers,
    /// The new pool gets the first small share.
    Canary,
    /// The share of the new pool is being raised.
    Ramping,
    /// The share is kept for the time being.
    Holding {
        /// Why it is kept.
        reason: HoldReason,
    },
    /// The move may not be done by its deadline.
    AtRisk {
        /// Why.
        reason: RiskReason,
        /// The earliest time at which it can safely be done, if one can be told.
        earliest: Option<Timestamp>,
    },
    /// The new pool carries the route; final.
    Done,
    /// The old pool carries the route again; final.
    TakenBack {
        /// Why.
        end: MoveEnd,
    },
}

impl MoveState {
    /// Whether the move has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack { .. })
    }

    /// The word that names the state in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::WaitingForServers => "waiting-for-servers",
            Self::Canary => "canary",
            Self::Ramping => "ramping",
            Self::Holding { .. } => "holding",
            Self::AtRisk { .. } => "at-risk",
            Self::Done => "done",
            Self::TakenBack { .. } => "taken-back",
        }
    }
}

impl fmt::Display for MoveState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A move of a route to a new pool, as the replicated tables hold it.
#[data]
pub struct Move {
    /// The identity.
    pub id: MoveId,
    /// The route.
    pub route: RouteName,
    /// The pool that carried the route before.
    pub from: PoolName,
    /// The pool that shall carry the route.
    pub to: PoolName,
    /// The time by which the move must be done.
    pub deadline: Timestamp,
    /// The time at which the edit was accepted.
    pub started: Timestamp,
    /// Where the move stands.
    pub state: MoveState,
    /// The share of the route's calls that the new pool gets.
    pub share: Share,
    /// The number of the last step.
    pub step: u32,
    /// The time of the last step.
    pub stepped: Timestamp,
    /// The evidence for the last step, in words.
    pub evidence: String,
}

/// A decision on a move that the leader adds to the replicated log.
///
/// It takes effect only if its number follows the last step of the move and the move has not
/// ended, so a decision of an earlier leader or a repeated one changes nothing.
#[data]
pub struct MoveStep {
    /// The move.
    pub id: MoveId,
    /// The number of this step.
    pub step: u32,
    /// Where the move stands from now on.
    pub state: MoveState,
    /// The share of the route's calls that the new pool gets from now on.
    pub share: Share,
    /// The time of the decision.
    pub at: Timestamp,
    /// The evidence for the decision, in words.
    pub evidence: String,
}
