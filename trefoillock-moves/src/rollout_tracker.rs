//! Schedule of a version's rollout, which takes only seconds.
//!
//! The share follows the time left until the deadline; how many calls the version may get in all
//! follows from the limits of the rollout, see [`crate::rollout_plan`]. A version that clearly fails or is
//! clearly slow is rolled back at any time; it completes only if its calls at the full share show that
//! it is good.

use std::time::Duration;

use trefoillock_core::{
    AllowancePurpose, Incarnation, MoveEvidence, PoolEvidence, Rollout, RolloutAllowance,
    RolloutLimits, RolloutProgress, RolloutState, RolloutStep, ServerId, Share, Timestamp,
};

use crate::{
    rollout_judgement::{
        BadRate, Caution, count_bad_calls, describe_counts, is_proven_good, is_suspect,
        reason_to_roll_back,
    },
    rollout_plan::{CLOSING_TIME, FULL_SHARE_INTERVAL, RolloutPlan, full_share_time},
};

/// The time between two records of the progress of a rollout.
pub(crate) const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// How much earlier than this replica knows a record may place the order before the difference counts
/// as time that this replica has missed.
const RECORD_TOLERANCE: Duration = Duration::from_millis(250);
/// Smallest share of the new version while evidence is collected.
const CANARY_SHARE: f64 = 0.03;
/// Number of calls that the new version should get before the deadline, so that services with few
/// calls yield enough evidence.
const TARGET_CANARY_CALLS: f64 = 25.0;
/// How long calls are counted before the canary starts, since the canary share depends on their
/// rate.
const RATE_MEASUREMENT_TIME: Duration = Duration::from_millis(1_500);
/// How long reports on calls must have arrived before the canary starts, since the first ones cover
/// only some nodes.
const MIN_OBSERVATION_TIME: Duration = Duration::from_millis(750);
/// The time that the first report on calls covers.
const FIRST_REPORT_SPAN: Duration = Duration::from_millis(250);
/// How long after the order a service without reports on calls counts as one without calls.
const NO_CALLS_TIME: Duration = Duration::from_secs(3);
/// Largest share while evidence is collected.
const MAX_CANARY_SHARE: f64 = 0.25;
/// Time that reports on the calls at the full share take to arrive.
const REPORT_TIME: Duration = Duration::from_millis(1_250);
/// Number of calls at the full share by which a version that is bad for some calls only can be told
/// from a good one.
const ENOUGH_FULL_CALLS: f64 = 44.0;
/// Number of calls at the full share below which nothing can be proven by them.
const MIN_PROOF_CALLS: f64 = 20.0;
/// Time before the deadline at which the rollout completes; calls to the old version have ended
/// by then.
const COMPLETE_BEFORE_DEADLINE: Duration = Duration::from_millis(600);
/// Time before the deadline at which the controller stops waiting for nodes that have not applied
/// the last step. It decides at least once between this time and [`GIVE_UP_BEFORE_DEADLINE`].
const STOP_WAITING_BEFORE_DEADLINE: Duration = Duration::from_millis(550);
/// Time before the deadline at which a version that has not completed is rolled back, so that it is
/// in time.
const GIVE_UP_BEFORE_DEADLINE: Duration = Duration::from_millis(250);
/// Number of calls at a share that suffices to go on from it.
const ENOUGH_CALLS: f64 = 10.0;
/// Part of the calls expected at the canary share that suffices to go on from it, if that is fewer
/// than [`ENOUGH_CALLS`].
const ENOUGH_CANARY_PART: f64 = 0.25;
/// The same at the full share.
const ENOUGH_FULL_PART: f64 = 0.4;

/// The evidence on the calls that were assigned at the present step.
#[derive(Debug, Clone, Default)]
struct StageEvidence {
    step: u32,
    new: PoolEvidence,
}

/// The last extension of the allowance, and when this replica learned of it.
#[derive(Debug, Clone, Copy)]
struct Extension {
    serial: u32,
    learned_at: Timestamp,
}

/// What this replica knows of one rollout.
#[derive(Debug, Clone)]
pub(crate) struct RolloutTracker {
    /// When the rollout was ordered, on the clock of this replica and as far as it knows.
    ordered_at: Timestamp,
    /// Since when the counted calls have been observed; `None` before the first ones.
    observed_since: Option<Timestamp>,
    old: PoolEvidence,
    new: PoolEvidence,
    stage: StageEvidence,
    extension: Extension,
}

impl RolloutTracker {
    /// Creates the tracker of a rollout that this replica sees for the first time.
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            ordered_at: now,
            observed_since: None,
            old: PoolEvidence::default(),
            new: PoolEvidence::default(),
            stage: StageEvidence::default(),
            extension: Extension {
                serial: 0,
                learned_at: now,
            },
        }
    }

    /// Notes when the allowance was last extended.
    pub(crate) const fn observe_allowance(&mut self, now: Timestamp, allowance: &RolloutAllowance) {
        if self.extension.serial != allowance.serial {
            self.extension = Extension {
                serial: allowance.serial,
                learned_at: now,
            };
        }
    }

    /// Goes on from the progress that a leader recorded, if this replica knows less.
    pub(crate) fn adopt(&mut self, now: Timestamp, progress: &RolloutProgress) {
        let recorded = now - progress.elapsed;
        if recorded + RECORD_TOLERANCE < self.ordered_at {
            // A restart takes about as long as the time between two records.
            self.ordered_at = recorded - PROGRESS_INTERVAL;
        }
        if progress.old.calls + progress.new.calls > self.old.calls + self.new.calls {
            self.old.clone_from(&progress.old);
            self.new.clone_from(&progress.new);
            self.observed_since.get_or_insert(self.ordered_at);
        }
    }

    pub(crate) fn progress(&self, now: Timestamp) -> RolloutProgress {
        RolloutProgress {
            elapsed: now.since(self.ordered_at),
            old: self.old.clone(),
            new: self.new.clone(),
        }
    }

    pub(crate) fn add_evidence(&mut self, now: Timestamp, evidence: &MoveEvidence) {
        self.observed_since.get_or_insert(now);
        self.old.merge(&evidence.old);
        self.new.merge(&evidence.new);
        if evidence.step > self.stage.step {
            self.stage = StageEvidence {
                step: evidence.step,
                new: PoolEvidence::default(),
            };
        }
        if evidence.step == self.stage.step {
            self.stage.new.merge(&evidence.new);
        }
    }

    /// Returns the step that is due, if there is one. `has_servers` tells whether servers of the new
    /// version are up; `None` if that is not known.
    pub(crate) fn step(
        &self,
        now: Timestamp,
        rollout: &Rollout,
        has_servers: Option<bool>,
        has_converged: bool,
    ) -> Option<RolloutStep> {
        let (state, share, evidence) = self.decide(now, rollout, has_servers, has_converged);
        let is_changed = state != rollout.state || share != rollout.share;
        is_changed.then(|| RolloutStep {
            id: rollout.id,
            step: rollout.step + 1,
            state,
            share,
            evidence,
        })
    }

    /// Returns the allowance that the next share needs, if it must be extended. `servers` are those of the
    /// new version that are up, with the runs of their nodes.
    pub(crate) fn allowance(
        &self,
        now: Timestamp,
        rollout: &Rollout,
        servers: &[(ServerId, Incarnation)],
        limits: &RolloutLimits,
    ) -> Option<RolloutAllowance> {
        let (state, share, _) = self.decide(now, rollout, Some(!servers.is_empty()), false);
        let may_get_more = state == RolloutState::Running && !is_suspect(&self.old, &self.new);
        if !may_get_more || servers.is_empty() {
            return None;
        }
        let elapsed = now.since(self.ordered_at);
        let remaining = rollout
            .deadline
            .since(rollout.started)
            .saturating_sub(elapsed);
        let plan = RolloutPlan {
            limits,
            held: &rollout.allowance,
            calls: self.calls(),
            new_calls: self.new.calls,
            call_rate: self.call_rate(now),
        };
        if share == Share::ZERO {
            return None;
        }
        if share < Share::FULL {
            return plan.canary(share, servers);
        }
        match rollout.allowance.purpose {
            AllowancePurpose::Canary => plan.full_share(servers),
            AllowancePurpose::FullShare if remaining > COMPLETE_BEFORE_DEADLINE + CLOSING_TIME => {
                let is_due = now.since(self.extension.learned_at) >= FULL_SHARE_INTERVAL;
                plan.full_share_again(servers).filter(|_| is_due)
            }
            AllowancePurpose::FullShare => {
                let is_proven = self.is_proven_at_full_share(now, rollout);
                is_proven.then(|| plan.closing(servers))
            }
            AllowancePurpose::Closing => None,
        }
    }

    fn decide(
        &self,
        now: Timestamp,
        rollout: &Rollout,
        has_servers: Option<bool>,
        has_converged: bool,
    ) -> (RolloutState, Share, String) {
        let duration = rollout.deadline.since(rollout.started);
        let elapsed = now.since(self.ordered_at);
        let remaining = duration.saturating_sub(elapsed);
        let rolled_back = |reason: String| (RolloutState::RolledBack, Share::ZERO, reason);
        let caution = match rollout.allowance.purpose {
            AllowancePurpose::Canary | AllowancePurpose::FullShare => Caution::Running,
            AllowancePurpose::Closing => Caution::Raising,
        };
        if let Some(reason) = self.reason_to_roll_back(rollout, caution) {
            return rolled_back(reason);
        }
        let is_over = remaining <= GIVE_UP_BEFORE_DEADLINE;
        if has_servers == Some(false) {
            return if is_over {
                rolled_back("no servers of the version".to_owned())
            } else {
                let reason = "waiting for servers".to_owned();
                (RolloutState::Running, Share::ZERO, reason)
            };
        }
        if is_over {
            return rolled_back(format!("not proven by the deadline: {}", self.describe()));
        }
        let is_settled = has_converged || remaining <= STOP_WAITING_BEFORE_DEADLINE;
        let has_closed = rollout.allowance.purpose == AllowancePurpose::Closing
            || remaining <= STOP_WAITING_BEFORE_DEADLINE;
        let may_complete = rollout.share == Share::FULL && remaining <= COMPLETE_BEFORE_DEADLINE;
        if may_complete && has_closed && is_settled && self.is_proven_at_full_share(now, rollout) {
            return (RolloutState::Completed, Share::FULL, self.describe());
        }
        let share = self.share_at(now, rollout.share, duration, elapsed);
        if share <= rollout.share || has_servers.is_none() {
            return (RolloutState::Running, rollout.share, self.describe());
        }
        if rollout.share > Share::ZERO {
            if let Some(reason) = self.reason_to_roll_back(rollout, Caution::Raising) {
                return rolled_back(reason);
            }
            let is_suspect = is_suspect(&self.old, &self.new);
            if is_suspect || !self.has_enough_calls_at(rollout.share) {
                return (RolloutState::Running, rollout.share, self.describe());
            }
        }
        (RolloutState::Running, share, self.describe())
    }

    /// The share at a time. It never decreases while the rollout runs.
    fn share_at(
        &self,
        now: Timestamp,
        current: Share,
        duration: Duration,
        elapsed: Duration,
    ) -> Share {
        let remaining = duration.saturating_sub(elapsed);
        let full_time = COMPLETE_BEFORE_DEADLINE
            + CLOSING_TIME
            + REPORT_TIME
            + full_share_time(self.call_rate(now));
        let share = if current == Share::ZERO {
            self.first_share(now, duration, elapsed)
        } else if remaining <= full_time {
            Share::FULL
        } else {
            current
        };
        share.max(current)
    }

    /// The canary share once the rate of calls is known, or if there seem to be none; zero before. It is
    /// larger for services with few calls.
    fn first_share(&self, now: Timestamp, duration: Duration, elapsed: Duration) -> Share {
        let observed = self.observed_since.map(|since| now.since(since));
        let is_measured = match observed {
            Some(observed) => elapsed >= RATE_MEASUREMENT_TIME && observed >= MIN_OBSERVATION_TIME,
            None => elapsed >= NO_CALLS_TIME,
        };
        if !is_measured {
            return Share::ZERO;
        }
        let expected = self.call_rate(now) * duration.as_secs_f64();
        let share = TARGET_CANARY_CALLS / expected.max(1.0);
        Share::from_fraction(share.clamp(CANARY_SHARE, MAX_CANARY_SHARE))
    }

    /// The calls of the service per second.
    #[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
    fn call_rate(&self, now: Timestamp) -> f64 {
        let calls = (self.old.calls + self.new.calls) as f64;
        let observed = self.observed_since.map(|since| now.since(since));
        calls / (observed.unwrap_or_default() + FIRST_REPORT_SPAN).as_secs_f64()
    }

    /// Whether enough calls of the new version have ended to go on from a share below the full one.
    #[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
    fn has_enough_calls_at(&self, share: Share) -> bool {
        let expected = share.fraction() * (self.old.calls + self.new.calls) as f64;
        is_enough(self.new.calls, expected * ENOUGH_CANARY_PART)
    }

    /// The calls of the service that this replica knows of.
    pub(crate) const fn calls(&self) -> u64 {
        self.old.calls + self.new.calls
    }

    /// Those of them that the new version got.
    pub(crate) const fn new_calls(&self) -> u64 {
        self.new.calls
    }

    /// Whether the calls that were assigned at the full share show that the version is good. A service
    /// with too few calls for that must at least have had none that was bad.
    #[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
    fn is_proven_at_full_share(&self, now: Timestamp, rollout: &Rollout) -> bool {
        let empty = PoolEvidence::default();
        let is_current = self.stage.step == rollout.step;
        let new = if is_current { &self.stage.new } else { &empty };
        let rate = self.call_rate(now);
        let full_share_time = full_share_time(rate);
        let until_completion = full_share_time + COMPLETE_BEFORE_DEADLINE;
        let expected = rate * until_completion.as_secs_f64();
        let calls = (new.calls as f64).max(rate * full_share_time.as_secs_f64());
        if calls < MIN_PROOF_CALLS {
            let has_enough_calls = is_enough(new.calls, expected * ENOUGH_FULL_PART);
            return has_enough_calls && count_bad_calls(&self.old, new) == 0;
        }
        let bad_rate = if calls < ENOUGH_FULL_CALLS {
            BadRate::High
        } else {
            BadRate::Low
        };
        is_proven_good(&self.old, new, bad_rate)
    }

    /// Judges all calls, and those of the present stage alone, since a version may fail only under
    /// the load of a larger share.
    ///
    /// Calls that fail often end first. So the granted calls that are not reported count as good; they are few, and
    /// the version completes only by those that are.
    fn reason_to_roll_back(&self, rollout: &Rollout, caution: Caution) -> Option<String> {
        let granted = rollout.allowance.granted();
        let unreported = granted.saturating_sub(self.new.calls);
        let with_unreported = |new: &PoolEvidence| PoolEvidence {
            calls: new.calls + unreported,
            ..new.clone()
        };
        reason_to_roll_back(&self.old, &with_unreported(&self.new), caution)
            .or_else(|| reason_to_roll_back(&self.old, &with_unreported(&self.stage.new), caution))
    }

    fn describe(&self) -> String {
        describe_counts(&self.old, &self.new)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
fn is_enough(calls: u64, required: f64) -> bool {
    calls as f64 >= required.min(ENOUGH_CALLS)
}
