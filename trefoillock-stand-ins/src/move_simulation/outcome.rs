//! The result of one simulated run.

use std::time::Duration;

use trefoillock_core::{Move, MoveState, TakeBackReason};

use super::{
    members::{POSTING_ROUTE, ROUTES},
    scenario::Version,
};

/// The call counts of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouteResult {
    /// The number of calls until the move ended, and of later calls to the new version.
    pub calls: u64,
    /// The number of calls that the new version took before the move was done.
    pub new_calls: u64,
    /// The number of calls that the new version took while its defect was active, before the move
    /// was done.
    pub bad_calls: u64,
}

/// The result of one run.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// The new version, to which the routes moved.
    pub version: Version,
    /// The final states of the moves.
    pub moves: Vec<Move>,
    /// The call counts of each route.
    pub routes: [RouteResult; ROUTES],
    /// The time from the start at which an ideal observer, who knows the behaviour of the good and
    /// the bad version, detects the bad version; `None` if never.
    pub detectable_at: Option<Duration>,
    /// The time from the start at which a node last gave the new version a share above zero of a
    /// bad route; `None` if no node ever did.
    pub last_bad_share_at: Option<Duration>,
    /// The time from start to deadline.
    pub deadline: Duration,
}

impl RunResult {
    /// Whether every move was done by its deadline.
    #[must_use]
    pub fn is_done_in_time(&self) -> bool {
        let in_time = |m: &Move| m.state == MoveState::Done && m.stepped <= m.deadline;
        self.moves.iter().all(in_time)
    }

    /// Whether a move was taken back because the version was judged bad.
    #[must_use]
    pub fn is_judged_bad(&self) -> bool {
        let judged = |m: &Move| matches!(m.state, MoveState::TakenBack { end } if end != TakeBackReason::DeadlinePassed);
        self.moves.iter().any(judged)
    }

    /// Whether every move of a route on which the version is bad was taken back.
    #[must_use]
    pub fn is_bad_taken_back(&self) -> bool {
        self.bad_moves()
            .all(|m| matches!(m.state, MoveState::TakenBack { .. }))
    }

    /// Whether the bad version was detectable before the moves of the bad routes were done.
    #[must_use]
    pub fn was_detectable(&self) -> bool {
        self.detectable_at.is_some()
    }

    /// The time from the moment at which the bad version was detectable until its share was zero on
    /// every node; `None` if it was never detectable or its share was always zero.
    #[must_use]
    pub fn time_to_zero(&self) -> Option<Duration> {
        Some(self.last_bad_share_at?.saturating_sub(self.detectable_at?))
    }

    /// The number of postings that the new version took while its defect was active.
    #[must_use]
    pub const fn bad_postings(&self) -> u64 {
        self.routes[POSTING_ROUTE].bad_calls
    }

    /// The time to the last step of any move, as a fraction of the time to the deadline.
    #[must_use]
    pub fn fraction_of_deadline(&self) -> f64 {
        let ends = self.moves.iter().map(|m| m.stepped.since(m.started));
        let last = ends.max().unwrap_or_default();
        last.as_secs_f64() / self.deadline.as_secs_f64()
    }

    fn bad_moves(&self) -> impl Iterator<Item = &Move> {
        let version = self.version;
        let numbered = self.moves.iter().enumerate();
        numbered.filter_map(move |(route, m)| version.is_bad_on(route).then_some(m))
    }
}
