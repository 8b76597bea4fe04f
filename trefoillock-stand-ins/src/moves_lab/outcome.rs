//! What a run showed.

use std::time::Duration;

use trefoillock_core::{Move, MoveEnd, MoveState};

use super::{
    members::{POSTINGS, ROUTES},
    scenario::Version,
};

/// What happened on one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouteResult {
    /// All calls from the start to the end of the move.
    pub calls: u64,
    /// Calls that the new version took.
    pub new_calls: u64,
    /// Calls that the new version took while it was bad.
    pub bad_calls: u64,
}

/// What happened in one run.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// The version that was moved to.
    pub version: Version,
    /// The moves as they stood at the end.
    pub moves: Vec<Move>,
    /// What happened on each route.
    pub routes: [RouteResult; ROUTES],
    /// When an observer who knows how the good and the bad version behave could have told that
    /// the version is bad, counted from the start.
    pub shown: Option<Duration>,
    /// When the last node stopped giving calls of bad routes to the new version.
    pub zero: Option<Duration>,
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
        let judged = |m: &Move| matches!(m.state, MoveState::TakenBack { end } if end != MoveEnd::DeadlinePassed);
        self.moves.iter().any(judged)
    }

    /// Whether every move of a route on which the version is bad was taken back.
    #[must_use]
    pub fn is_bad_taken_back(&self) -> bool {
        self.bad_moves()
            .all(|m| matches!(m.state, MoveState::TakenBack { .. }))
    }

    /// Whether the badness showed before the moves of the bad routes were done.
    #[must_use]
    pub fn has_shown(&self) -> bool {
        self.shown.is_some()
    }

    /// The time from the badness showing to zero share on every node.
    #[must_use]
    pub fn time_to_zero(&self) -> Option<Duration> {
        Some(self.zero?.saturating_sub(self.shown?))
    }

    /// The postings that the new version ran while it was bad.
    #[must_use]
    pub const fn bad_postings(&self) -> u64 {
        self.routes[POSTINGS].bad_calls
    }

    /// The time to the last move's end as a part of the time to the deadline.
    #[must_use]
    pub fn part_of_deadline(&self) -> f64 {
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
