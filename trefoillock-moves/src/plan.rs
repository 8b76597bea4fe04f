//! The pace of a move, planned back from its deadline.

use std::time::Duration;

use trefoillock_core::{Move, RouteClass, Share, Timestamp};

/// The shortest time between two raises; evidence of the earlier one arrives within it.
pub(crate) const MIN_DWELL: Duration = Duration::from_secs(2);
/// The part of the time between start and deadline within which a move shall be done, in
/// percent.
const TARGET_PERCENT: u32 = 70;
/// The latest part of that time at which a delayed move may plan to be done, in percent.
const LATEST_PERCENT: u32 = 88;
/// New calls that a stage needs before the next one, if the route has as many.
const STAGE_CALLS: f64 = 200.0;
/// The part of the calls expected in a stage that must have been seen if the route is too thin
/// for [`STAGE_CALLS`].
const THIN_PART: f64 = 0.5;
/// The number of new calls a second that a canary needs at most.
const CANARY_CALLS_PER_SECOND: f64 = 20.0;
/// The smallest canary share.
const MIN_CANARY: f64 = 0.001;

/// The share of the last stage. The old pool keeps a part of the calls, to compare with, until
/// the move is done.
const LAST_SHARE: f64 = 0.9;

/// A stage of a move: a share and the part of the time that it gets.
#[derive(Debug, Clone, Copy)]
struct Stage {
    share: f64,
    weight: f64,
}

const fn stage(share: f64, weight: f64) -> Stage {
    Stage { share, weight }
}

/// The stages of routes whose calls may run again.
const STAGES: [Stage; 7] = [
    stage(0.008, 35.0),
    stage(0.025, 20.0),
    stage(0.06, 12.0),
    stage(0.15, 8.0),
    stage(0.35, 6.0),
    stage(0.65, 5.0),
    stage(LAST_SHARE, 14.0),
];

/// The stages of postings after other routes have proved the version.
const VOUCHED_STAGES: [Stage; 5] = [
    stage(0.01, 25.0),
    stage(0.05, 20.0),
    stage(0.2, 15.0),
    stage(0.5, 15.0),
    stage(LAST_SHARE, 25.0),
];

/// The stages of postings that no other route has proved the version for.
const POSTING_STAGES: [Stage; 7] = [
    stage(0.002, 35.0),
    stage(0.01, 20.0),
    stage(0.04, 12.0),
    stage(0.12, 8.0),
    stage(0.35, 6.0),
    stage(0.65, 5.0),
    stage(LAST_SHARE, 14.0),
];

/// What comes after the present stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Next {
    /// A larger share.
    Raise(Share),
    /// The end of the move.
    Done,
}

/// The plan of one move.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    stages: &'static [Stage],
    started: Timestamp,
    deadline: Timestamp,
    canary: f64,
}

impl Plan {
    /// Creates the plan of a move of a route with a class and a number of calls a second.
    /// A posting route is vouched for if other routes have proved the version.
    pub(crate) fn new(action: &Move, class: RouteClass, is_vouched: bool, rate: f64) -> Self {
        let stages: &[Stage] = match class {
            RouteClass::Posting if is_vouched => &VOUCHED_STAGES,
            RouteClass::Posting => &POSTING_STAGES,
            RouteClass::Lookup | RouteClass::Export | RouteClass::Background => &STAGES,
        };
        let largest = stages[0].share;
        let canary = (CANARY_CALLS_PER_SECOND / rate.max(1.0)).clamp(MIN_CANARY, largest);
        Self {
            stages,
            started: action.started,
            deadline: action.deadline,
            canary,
        }
    }

    /// The first share.
    pub(crate) fn canary(&self) -> Share {
        Share::from_fraction(self.canary)
    }

    /// What comes after a share.
    pub(crate) fn next(&self, share: Share) -> Next {
        if share == Share::ZERO {
            return Next::Raise(self.canary());
        }
        match self.stages.get(self.index(share) + 1) {
            Some(next) => Next::Raise(Share::from_fraction(next.share)),
            None => Next::Done,
        }
    }

    /// Whether a share is that of the canary or less.
    pub(crate) fn is_canary(share: Share) -> bool {
        share <= Share::from_fraction(STAGES[0].share)
    }

    /// Whether a share is that of the last stage.
    pub(crate) fn is_last(share: Share) -> bool {
        share >= Share::from_fraction(LAST_SHARE)
    }

    /// The latest time at which a delayed move may plan to be done.
    pub(crate) fn latest(&self) -> Timestamp {
        self.started + self.deadline.since(self.started) * LATEST_PERCENT / 100
    }

    /// The time that a share is kept, if it was set at `since`.
    pub(crate) fn dwell(&self, share: Share, since: Timestamp) -> Duration {
        let stages = &self.stages[self.index(share)..];
        let weights: f64 = stages.iter().map(|stage| stage.weight).sum();
        let left = self.end(since, stages.len()).since(since);
        left.mul_f64(stages[0].weight / weights).max(MIN_DWELL)
    }

    /// The number of new calls that must be seen at a share before the next one.
    pub(crate) fn calls_needed(&self, share: Share, since: Timestamp, rate: f64) -> f64 {
        let expected = rate * share.fraction() * self.dwell(share, since).as_secs_f64();
        (expected * THIN_PART).floor().min(STAGE_CALLS)
    }

    /// The earliest time at which the move can be done.
    pub(crate) fn earliest(&self, share: Share, now: Timestamp) -> Timestamp {
        let stages = self.stages.len() - self.index(share) + usize::from(share == Share::ZERO);
        now + MIN_DWELL * u32::try_from(stages).unwrap_or(u32::MAX)
    }

    /// The time at which the move is planned to be done if the stages that remain start at
    /// `since`.
    fn end(&self, since: Timestamp, stages: usize) -> Timestamp {
        let span = self.deadline.since(self.started);
        let target = self.started + span * TARGET_PERCENT / 100;
        let wanted = since + MIN_DWELL * 2 * u32::try_from(stages).unwrap_or(u32::MAX);
        target.max(wanted.min(self.latest()))
    }

    /// The stage that a share belongs to.
    fn index(&self, share: Share) -> usize {
        let reached = |stage: &&Stage| Share::from_fraction(stage.share) <= share;
        let count = self.stages.iter().filter(reached).count();
        count.saturating_sub(1)
    }
}
