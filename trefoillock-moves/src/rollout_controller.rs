//! Schedule of a version's rollout, which takes only seconds.
//!
//! The share follows the time left until the deadline. A version that clearly fails or is clearly
//! slow is rolled back at any time.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{
    Evidence, Members, MoveEvidence, MoveId, PoolEvidence, Rollout, RolloutState, RolloutStep,
    ServiceName, Share, Timestamp,
};

/// Smallest share of the new version while evidence is collected.
const CANARY_SHARE: f64 = 0.03;
/// Number of calls that the new version should get before the deadline in addition to
/// [`CANARY_SHARE`], so that services with few calls yield enough evidence.
const TARGET_CANARY_CALLS: f64 = 25.0;
/// How long calls are counted before the canary starts, since the canary share depends on their
/// rate.
const RATE_MEASUREMENT_TIME: Duration = Duration::from_millis(1_500);
/// Largest share while evidence is collected.
const MAX_CANARY_SHARE: f64 = 0.25;
/// Share between the canary and all calls.
const RAMP_SHARE: f64 = 0.15;
/// Time before the deadline at which the share rises from the canary to [`RAMP_SHARE`].
const RAMP_BEFORE_DEADLINE: Duration = Duration::from_millis(2_400);
/// Time before the deadline at which the new version gets all calls.
const FULL_BEFORE_DEADLINE: Duration = Duration::from_millis(1_700);
/// Time before the deadline at which the rollout completes; calls to the old version have ended
/// by then.
const COMPLETE_BEFORE_DEADLINE: Duration = Duration::from_millis(600);
/// Time before the deadline at which the controller stops waiting for nodes that have not applied
/// the last step.
const STOP_WAITING_BEFORE_DEADLINE: Duration = Duration::from_millis(250);
/// Smallest number of failures at which a version can be bad.
const MIN_FAILURES: u64 = 5;
/// Failure rate above which a version can be bad.
const MIN_FAILURE_RATE: f64 = 0.05;
/// Standard deviations by which the failures must exceed those expected from the old version.
const FAILURE_DEVIATIONS: f64 = 3.0;
/// Number of answers of each version that a comparison of latencies needs.
const MIN_LATENCIES: u64 = 20;
/// Ratio of the median latencies, new to old, above which a version is bad.
const MAX_LATENCY_RATIO: f64 = 3.0;

/// Evidence on one rollout.
#[derive(Debug, Clone)]
struct RolloutTracker {
    /// When this replica first saw the rollout.
    since: Timestamp,
    old: PoolEvidence,
    new: PoolEvidence,
}

/// Decides the steps of rollouts.
///
/// Times are measured from when this replica first saw a rollout, so the clock of the replica
/// that accepted the order does not matter. [`RolloutController::track`] must therefore be
/// called on every replica, leader or not.
#[derive(Debug, Clone, Default)]
pub struct RolloutController {
    trackers: BTreeMap<MoveId, RolloutTracker>,
}

impl RolloutController {
    /// Creates a controller that tracks no rollout.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts tracking rollouts that are new and stops tracking those that have ended.
    pub fn track(&mut self, now: Timestamp, rollouts: &BTreeMap<ServiceName, Rollout>) {
        let running = |id: &MoveId| {
            rollouts
                .values()
                .any(|r| r.id == *id && !r.state.is_final())
        };
        self.trackers.retain(|id, _| running(id));
        for rollout in rollouts.values().filter(|r| !r.state.is_final()) {
            self.trackers
                .entry(rollout.id)
                .or_insert_with(|| RolloutTracker {
                    since: now,
                    old: PoolEvidence::default(),
                    new: PoolEvidence::default(),
                });
        }
    }

    /// Adds evidence reported by nodes.
    pub fn add_evidence(&mut self, evidence: &Evidence) {
        for (id, MoveEvidence { old, new, .. }) in &evidence.moves {
            if let Some(tracker) = self.trackers.get_mut(id) {
                tracker.old.merge(old);
                tracker.new.merge(new);
            }
        }
    }

    /// Returns the steps that are due. `has_converged` tells whether all nodes have applied the
    /// last step.
    #[must_use]
    pub fn decide(
        &self,
        now: Timestamp,
        rollouts: &BTreeMap<ServiceName, Rollout>,
        members: &Members,
        has_converged: bool,
    ) -> Vec<RolloutStep> {
        let running = rollouts.values().filter(|r| !r.state.is_final());
        running
            .filter_map(|rollout| {
                let tracker = self.trackers.get(&rollout.id)?;
                tracker.step(now, rollout, has_servers(members, rollout), has_converged)
            })
            .collect()
    }
}

fn has_servers(members: &Members, rollout: &Rollout) -> bool {
    members.servers.values().any(|member| {
        let announced = &member.announcement;
        member.is_up()
            && announced.service == rollout.service
            && announced.version == rollout.version
    })
}

impl RolloutTracker {
    fn step(
        &self,
        now: Timestamp,
        rollout: &Rollout,
        has_servers: bool,
        has_converged: bool,
    ) -> Option<RolloutStep> {
        let duration = rollout.deadline.since(rollout.started);
        let elapsed = now.since(self.since);
        let remaining = duration.saturating_sub(elapsed);
        let (state, share, description) = if let Some(description) = self.rollback_reason() {
            (RolloutState::RolledBack, Share::ZERO, description)
        } else if !has_servers && remaining.is_zero() {
            (
                RolloutState::RolledBack,
                Share::ZERO,
                "no servers of the version".to_owned(),
            )
        } else if !has_servers {
            (
                RolloutState::Running,
                Share::ZERO,
                "waiting for servers".to_owned(),
            )
        } else if rollout.share == Share::FULL
            && remaining <= COMPLETE_BEFORE_DEADLINE
            && (has_converged || remaining <= STOP_WAITING_BEFORE_DEADLINE)
        {
            (RolloutState::Completed, Share::FULL, self.describe_counts())
        } else {
            let share = self.share_at(rollout.share, duration, elapsed, remaining);
            (RolloutState::Running, share, self.describe_counts())
        };
        let is_changed = state != rollout.state || share != rollout.share;
        is_changed.then(|| RolloutStep {
            id: rollout.id,
            step: rollout.step + 1,
            state,
            share,
            evidence: description,
        })
    }

    /// The share at a time. It never decreases while the rollout runs.
    fn share_at(
        &self,
        current: Share,
        duration: Duration,
        elapsed: Duration,
        remaining: Duration,
    ) -> Share {
        let share = if remaining <= FULL_BEFORE_DEADLINE {
            Share::FULL
        } else if remaining <= RAMP_BEFORE_DEADLINE {
            Share::from_fraction(RAMP_SHARE)
        } else if current > Share::ZERO || elapsed < RATE_MEASUREMENT_TIME {
            current
        } else {
            Share::from_fraction(self.canary_share(duration, elapsed))
        };
        share.max(current)
    }

    /// The canary share. It is larger for services with few calls.
    #[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
    fn canary_share(&self, duration: Duration, elapsed: Duration) -> f64 {
        let calls = (self.old.calls + self.new.calls) as f64;
        let expected = calls / elapsed.as_secs_f64().max(1.0) * duration.as_secs_f64();
        (CANARY_SHARE + TARGET_CANARY_CALLS / expected.max(1.0)).min(MAX_CANARY_SHARE)
    }

    /// Why the new version is bad, or `None` if it is not known to be.
    #[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
    fn rollback_reason(&self) -> Option<String> {
        let (old, new) = (&self.old, &self.new);
        let rate = new.failures as f64 / new.calls.max(1) as f64;
        let expected = (old.failures as f64 + 1.0) / (old.calls as f64 + 20.0) * new.calls as f64;
        let max_failures = expected + FAILURE_DEVIATIONS * expected.max(1.0).sqrt();
        if new.failures >= MIN_FAILURES
            && rate > MIN_FAILURE_RATE
            && new.failures as f64 > max_failures
        {
            return Some(format!("failures: {}", self.describe_counts()));
        }
        let median = |pool: &PoolEvidence| {
            let has_enough = pool.latency.len() >= MIN_LATENCIES;
            pool.latency.quantile(0.5).filter(|_| has_enough)
        };
        let (old, new) = (median(old)?, median(new)?);
        if new.as_secs_f64() > old.as_secs_f64() * MAX_LATENCY_RATIO {
            return Some(format!(
                "latency {new:?} instead of {old:?}: {}",
                self.describe_counts()
            ));
        }
        None
    }

    /// Describes the failure counts of both versions.
    fn describe_counts(&self) -> String {
        format!(
            "old {} of {} failed, new {} of {}",
            self.old.failures, self.old.calls, self.new.failures, self.new.calls
        )
    }
}
