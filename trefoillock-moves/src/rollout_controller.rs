//! The pace of roll-outs that end within seconds.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{
    Evidence, Members, MoveEvidence, MoveId, PoolEvidence, Rollout, RolloutState, RolloutStep,
    ServiceName, Share, Timestamp,
};

/// The share of the new version while evidence is gathered.
const CANARY_SHARE: f64 = 0.03;
/// The number of calls that the new version gets at least until the deadline, if there are any.
const CANARY_CALLS: f64 = 25.0;
/// The time for which calls are counted before the canary, since its share depends on their rate.
const MEASURE_TIME: Duration = Duration::from_millis(1_500);
/// The largest share while evidence is gathered.
const MAX_CANARY_SHARE: f64 = 0.25;
/// The share between the canary and the whole.
const RAMP_SHARE: f64 = 0.15;
/// The time before the deadline at which the share leaves that of the canary.
const RAMP_LEFT: Duration = Duration::from_millis(2_400);
/// The time before the deadline at which the new version takes all calls.
const FULL_LEFT: Duration = Duration::from_millis(1_700);
/// The time before the deadline at which the roll-out ends, with calls on the old version ended.
const END_LEFT: Duration = Duration::from_millis(600);
/// The time before the deadline at which nodes that are out of reach are waited for no more.
const LAST_LEFT: Duration = Duration::from_millis(250);
/// The failures from which on a version is called bad.
const MIN_FAILURES: u64 = 5;
/// The rate of failures from which on a version is called bad.
const MIN_FAILURE_RATE: f64 = 0.05;
/// The standard deviations by which failures must exceed those of the old version.
const FAILURE_DEVIATIONS: f64 = 3.0;
/// The answers of each version that a comparison of latencies needs.
const MIN_LATENCIES: u64 = 20;
/// The ratio of median latencies from which on a version is called bad.
const MAX_LATENCY_RATIO: f64 = 3.0;

/// What is known of one roll-out.
#[derive(Debug, Clone)]
struct Track {
    /// The time at which this replica first saw it.
    since: Timestamp,
    old: PoolEvidence,
    new: PoolEvidence,
}

/// Decides the steps of roll-outs.
///
/// Times count from when this replica first saw a roll-out, so the clock of the replica that
/// took the order does not matter. Every replica must be shown the roll-outs, leading or not.
#[derive(Debug, Clone, Default)]
pub struct RolloutController {
    tracks: BTreeMap<MoveId, Track>,
}

impl RolloutController {
    /// Creates a controller that has seen no roll-out.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes which roll-outs there are.
    pub fn follow(&mut self, now: Timestamp, rollouts: &BTreeMap<ServiceName, Rollout>) {
        let running = |id: &MoveId| {
            rollouts
                .values()
                .any(|r| r.id == *id && !r.state.is_final())
        };
        self.tracks.retain(|id, _| running(id));
        for rollout in rollouts.values().filter(|r| !r.state.is_final()) {
            self.tracks.entry(rollout.id).or_insert_with(|| Track {
                since: now,
                old: PoolEvidence::default(),
                new: PoolEvidence::default(),
            });
        }
    }

    /// Adds evidence of nodes.
    pub fn observe(&mut self, evidence: &Evidence) {
        for (id, MoveEvidence { old, new, .. }) in &evidence.moves {
            if let Some(track) = self.tracks.get_mut(id) {
                track.old.merge(old);
                track.new.merge(new);
            }
        }
    }

    /// The steps that are due. `is_in_force` tells whether all nodes hold the last step.
    #[must_use]
    pub fn decide(
        &self,
        now: Timestamp,
        rollouts: &BTreeMap<ServiceName, Rollout>,
        members: &Members,
        is_in_force: bool,
    ) -> Vec<RolloutStep> {
        let running = rollouts.values().filter(|r| !r.state.is_final());
        running
            .filter_map(|rollout| {
                let track = self.tracks.get(&rollout.id)?;
                track.step(now, rollout, has_servers(members, rollout), is_in_force)
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

impl Track {
    fn step(
        &self,
        now: Timestamp,
        rollout: &Rollout,
        has_servers: bool,
        is_in_force: bool,
    ) -> Option<RolloutStep> {
        let span = rollout.deadline.since(rollout.started);
        let passed = now.since(self.since);
        let left = span.saturating_sub(passed);
        let (state, share, why) = if let Some(why) = self.fault() {
            (RolloutState::RolledBack, Share::ZERO, why)
        } else if !has_servers && left.is_zero() {
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
            && left <= END_LEFT
            && (is_in_force || left <= LAST_LEFT)
        {
            (RolloutState::Completed, Share::FULL, self.counts())
        } else {
            let share = self.share(rollout.share, span, passed, left);
            (RolloutState::Running, share, self.counts())
        };
        let is_new = state != rollout.state || share != rollout.share;
        is_new.then(|| RolloutStep {
            id: rollout.id,
            step: rollout.step + 1,
            state,
            share,
            evidence: why,
        })
    }

    /// The share at a time; it never falls while the roll-out runs.
    fn share(&self, held: Share, span: Duration, passed: Duration, left: Duration) -> Share {
        let share = if left <= FULL_LEFT {
            Share::FULL
        } else if left <= RAMP_LEFT {
            Share::from_fraction(RAMP_SHARE)
        } else if held > Share::ZERO || passed < MEASURE_TIME {
            held
        } else {
            Share::from_fraction(self.canary(span, passed))
        };
        share.max(held)
    }

    /// The share of the canary: a small part of the calls, more where there are few.
    #[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
    fn canary(&self, span: Duration, passed: Duration) -> f64 {
        let calls = (self.old.calls + self.new.calls) as f64;
        let expected = calls / passed.as_secs_f64().max(1.0) * span.as_secs_f64();
        (CANARY_SHARE + CANARY_CALLS / expected.max(1.0)).min(MAX_CANARY_SHARE)
    }

    /// Why the new version is called bad, if it is.
    #[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
    fn fault(&self) -> Option<String> {
        let (old, new) = (&self.old, &self.new);
        let rate = new.failures as f64 / new.calls.max(1) as f64;
        let expected = (old.failures as f64 + 1.0) / (old.calls as f64 + 20.0) * new.calls as f64;
        let most = expected + FAILURE_DEVIATIONS * expected.max(1.0).sqrt();
        if new.failures >= MIN_FAILURES && rate > MIN_FAILURE_RATE && new.failures as f64 > most {
            return Some(format!("failures: {}", self.counts()));
        }
        let median = |pool: &PoolEvidence| {
            let enough = pool.latency.len() >= MIN_LATENCIES;
            pool.latency.quantile(0.5).filter(|_| enough)
        };
        let (old, new) = (median(old)?, median(new)?);
        if new.as_secs_f64() > old.as_secs_f64() * MAX_LATENCY_RATIO {
            return Some(format!(
                "latency {new:?} instead of {old:?}: {}",
                self.counts()
            ));
        }
        None
    }

    fn counts(&self) -> String {
        format!(
            "old {} of {} failed, new {} of {}",
            self.old.failures, self.old.calls, self.new.failures, self.new.calls
        )
    }
}
