//! Moves: gradual shifts of a route's calls from one pool to another.
//!
//! A move starts when an edit changes the pool of a route. The leader then raises the share of
//! the new pool step by step, until the move is done or taken back.

use std::fmt;

use trefoillock_macros::data;

use crate::{MoveId, PoolName, RouteName, Share, Timestamp};

/// Why the share of a move is currently not raised.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum HoldReason {
    /// The new pool has no backend server that accepts calls.
    NoServers,
    /// The backend servers of the new pool have just started.
    ColdStart,
    /// Too few calls were observed to decide.
    ThinEvidence,
    /// Too few nodes report evidence.
    EvidenceMissing,
    /// The new pool has too few slots for a larger share.
    Capacity,
    /// The evidence suggests that the new version is worse, but is not yet conclusive.
    Suspicion,
}

/// Why a move may miss its deadline.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum RiskReason {
    /// The new pool has no backend server that accepts calls.
    NoServers,
    /// The new pool has too few slots for all calls of the route.
    Capacity,
    /// The route has too few calls to validate the new version in time.
    ThinEvidence,
    /// The remaining steps take longer than the time left until the deadline.
    TimeLeft,
}

/// Why a move was taken back.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum TakeBackReason {
    /// The new version failed more often than the old one.
    Failures,
    /// The new version was slower than the old one.
    Latency,
    /// The new version aborted response bodies.
    AbortedBodies,
    /// The new version crashed.
    Crashes,
    /// An operator cancelled the move.
    Cancelled,
    /// The deadline passed before the new version was validated.
    DeadlinePassed,
}

/// The state of a move.
#[data(key)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum MoveState {
    /// The new pool has no backend server yet.
    WaitingForServers,
    /// The new pool gets the small initial share.
    Canary,
    /// The share of the new pool is being raised.
    Ramping,
    /// The share is currently not raised.
    Holding {
        /// Why it is not raised.
        reason: HoldReason,
    },
    /// The move may miss its deadline.
    AtRisk {
        /// Why it may miss the deadline.
        reason: RiskReason,
        /// The earliest time at which the move can safely be done; `None` if it cannot be
        /// estimated.
        earliest: Option<Timestamp>,
    },
    /// The new pool gets all calls of the route. Final.
    Done,
    /// The old pool gets all calls of the route again. Final.
    TakenBack {
        /// Why the move was taken back.
        end: TakeBackReason,
    },
}

impl MoveState {
    /// Whether the move has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack { .. })
    }

    /// The name of the state in reports.
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

/// A move of a route to a new pool, as stored in the replicated state.
#[data]
pub struct Move {
    /// The identity of the move.
    pub id: MoveId,
    /// The route whose calls are moved.
    pub route: RouteName,
    /// The old pool.
    pub from: PoolName,
    /// The new pool.
    pub to: PoolName,
    /// The time by which the move must be done.
    pub deadline: Timestamp,
    /// The time at which the edit that started the move was accepted.
    pub started: Timestamp,
    /// The state after the last step.
    pub state: MoveState,
    /// The share of the route's calls that the new pool gets.
    pub share: Share,
    /// The number of the last step.
    pub step: u32,
    /// The time of the last step.
    pub stepped: Timestamp,
    /// A description of the evidence for the last step, for operators.
    pub evidence: String,
}

/// A decision on a move, which the leader appends to the replicated log.
///
/// It takes effect only if its number directly follows the last step of the move and the move
/// has not ended, so a duplicate or a decision of an earlier leader changes nothing.
#[data]
pub struct MoveStep {
    /// The identity of the move.
    pub id: MoveId,
    /// The number of this step.
    pub step: u32,
    /// The new state of the move.
    pub state: MoveState,
    /// The new share of the route's calls that the new pool gets.
    pub share: Share,
    /// The time of the decision.
    pub at: Timestamp,
    /// A description of the evidence for the decision, for operators.
    pub evidence: String,
}
