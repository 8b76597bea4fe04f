//! Schedule of a move: the stages of its share, timed so that the move is done before its
//! deadline.

use std::time::Duration;

use trefoillock_core::{Move, RouteClass, Share, Timestamp};

/// Shortest time between two raises of the share; evidence of the earlier raise arrives within
/// it.
pub(crate) const MIN_DWELL: Duration = Duration::from_secs(2);
/// Part of the time from start to deadline after which a move is planned to be done, in percent.
const TARGET_COMPLETION_PERCENT: u32 = 70;
/// Latest part of the time from start to deadline at which a delayed move may plan to be done, in
/// percent.
const LATEST_COMPLETION_PERCENT: u32 = 88;
/// Number of new calls that a stage needs before the next one starts, if the route has that many.
const MIN_STAGE_CALLS: f64 = 200.0;
/// Fraction of the calls expected in a stage that must have been seen if the route has too few
/// calls for [`MIN_STAGE_CALLS`].
const LOW_TRAFFIC_FRACTION: f64 = 0.5;
/// Largest number of new calls per second that the canary share is sized for.
const MAX_CANARY_CALLS_PER_SECOND: f64 = 20.0;
/// Smallest canary share.
const MIN_CANARY_SHARE: f64 = 0.001;

/// Share of the last stage. The old pool keeps some calls for comparison until the move is done.
const LAST_SHARE: f64 = 0.9;

/// Stage of a move: a share, and the weight that decides how much of the time the stage gets.
#[derive(Debug, Clone, Copy)]
struct Stage {
    share: f64,
    weight: f64,
}

const fn stage(share: f64, weight: f64) -> Stage {
    Stage { share, weight }
}

/// Stages of routes whose calls may be repeated.
const STAGES: [Stage; 7] = [
    stage(0.008, 35.0),
    stage(0.025, 20.0),
    stage(0.06, 12.0),
    stage(0.15, 8.0),
    stage(0.35, 6.0),
    stage(0.65, 5.0),
    stage(LAST_SHARE, 14.0),
];

/// Stages of posting routes once other routes have proved the version.
const PROVEN_POSTING_STAGES: [Stage; 5] = [
    stage(0.01, 25.0),
    stage(0.05, 20.0),
    stage(0.2, 15.0),
    stage(0.5, 15.0),
    stage(LAST_SHARE, 25.0),
];

/// Stages of posting routes if no other route has proved the version.
const POSTING_STAGES: [Stage; 7] = [
    stage(0.002, 35.0),
    stage(0.01, 20.0),
    stage(0.04, 12.0),
    stage(0.12, 8.0),
    stage(0.35, 6.0),
    stage(0.65, 5.0),
    stage(LAST_SHARE, 14.0),
];

/// What follows the current stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextStage {
    /// A larger share.
    Raise(Share),
    /// The move is done.
    Done,
}

/// Schedule of one move.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MoveSchedule {
    stages: &'static [Stage],
    started: Timestamp,
    deadline: Timestamp,
    canary: f64,
}

impl MoveSchedule {
    /// Creates the schedule for a route of class `class` that gets `rate` calls per second.
    /// `is_proven` tells whether other routes have proved the version; it matters for posting
    /// routes only.
    pub(crate) fn new(route_move: &Move, class: RouteClass, is_proven: bool, rate: f64) -> Self {
        let stages: &[Stage] = match class {
            RouteClass::Posting if is_proven => &PROVEN_POSTING_STAGES,
            RouteClass::Posting => &POSTING_STAGES,
            RouteClass::Lookup | RouteClass::Export | RouteClass::Background => &STAGES,
        };
        let largest = stages[0].share;
        let canary = (MAX_CANARY_CALLS_PER_SECOND / rate.max(1.0)).clamp(MIN_CANARY_SHARE, largest);
        Self {
            stages,
            started: route_move.started,
            deadline: route_move.deadline,
            canary,
        }
    }

    /// The share of the first stage.
    pub(crate) fn canary(&self) -> Share {
        Share::from_fraction(self.canary)
    }

    /// What follows the stage of a share.
    pub(crate) fn next_stage(&self, share: Share) -> NextStage {
        if share == Share::ZERO {
            return NextStage::Raise(self.canary());
        }
        match self.stages.get(self.stage_index(share) + 1) {
            Some(next) => NextStage::Raise(Share::from_fraction(next.share)),
            None => NextStage::Done,
        }
    }

    /// Whether a share is at most the largest canary share.
    pub(crate) fn is_canary(share: Share) -> bool {
        share <= Share::from_fraction(STAGES[0].share)
    }

    /// Whether a share is that of the last stage.
    pub(crate) fn is_last(share: Share) -> bool {
        share >= Share::from_fraction(LAST_SHARE)
    }

    /// The latest time at which a delayed move may plan to be done.
    pub(crate) fn latest_completion(&self) -> Timestamp {
        self.started + self.deadline.since(self.started) * LATEST_COMPLETION_PERCENT / 100
    }

    /// How long a share is kept if it was set at `since`.
    pub(crate) fn dwell(&self, share: Share, since: Timestamp) -> Duration {
        let stages = &self.stages[self.stage_index(share)..];
        let weights: f64 = stages.iter().map(|stage| stage.weight).sum();
        let remaining = self.planned_completion(since, stages.len()).since(since);
        remaining.mul_f64(stages[0].weight / weights).max(MIN_DWELL)
    }

    /// Number of new calls that must be seen at a share before the next stage.
    pub(crate) fn calls_needed(&self, share: Share, since: Timestamp, rate: f64) -> f64 {
        let expected = rate * share.fraction() * self.dwell(share, since).as_secs_f64();
        (expected * LOW_TRAFFIC_FRACTION)
            .floor()
            .min(MIN_STAGE_CALLS)
    }

    /// The earliest time at which the move can be done.
    pub(crate) fn earliest_completion(&self, share: Share, now: Timestamp) -> Timestamp {
        let stages =
            self.stages.len() - self.stage_index(share) + usize::from(share == Share::ZERO);
        now + MIN_DWELL * u32::try_from(stages).unwrap_or(u32::MAX)
    }

    /// The time at which the move is planned to be done if the remaining `stages` start at `since`:
    /// the target, or later if the stages would get less than twice [`MIN_DWELL`] on average, but not
    /// after [`Self::latest_completion`].
    fn planned_completion(&self, since: Timestamp, stages: usize) -> Timestamp {
        let duration = self.deadline.since(self.started);
        let target = self.started + duration * TARGET_COMPLETION_PERCENT / 100;
        let at_double_dwell = since + MIN_DWELL * 2 * u32::try_from(stages).unwrap_or(u32::MAX);
        target.max(at_double_dwell.min(self.latest_completion()))
    }

    /// Index of the stage that a share belongs to.
    fn stage_index(&self, share: Share) -> usize {
        let reached = |stage: &&Stage| Share::from_fraction(stage.share) <= share;
        let count = self.stages.iter().filter(reached).count();
        count.saturating_sub(1)
    }
}
