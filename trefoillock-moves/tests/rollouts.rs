//! Simulated rollouts of a few seconds: good versions complete before the deadline, bad versions
//! are rolled back within their exposure limit.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{
    Announcement, DataCentre, Evidence, Incarnation, Member, MemberState, Members, MoveEvidence,
    MoveId, NodeId, Rollout, RolloutProgress, RolloutState, ServerId, ServiceName, Share,
    Timestamp, VersionLabel,
};
use trefoillock_moves::RolloutController;

/// Number of time steps that evidence takes from the nodes to the leader.
const EVIDENCE_DELAY_STEPS: usize = 3;
/// The same where the nodes are two relays away from the leader, and each report waits its longest.
const LONG_EVIDENCE_DELAY_STEPS: usize = 6;
const TIME_STEP: Duration = Duration::from_millis(250);
const DURATION: Duration = Duration::from_secs(16);
/// The fraction of calls that fail in a good version.
const BASE_FAILURE_RATE: f64 = 0.004;
/// Calls that a bad version may get by the users' rule: a fraction of the calls until the
/// deadline, plus a fixed number.
const MAX_EXPOSURE: (f64, f64) = (0.1, 50.0);
/// Time after a restart of the leader for which the calls of a bad version do not count by the
/// users' rule.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// How the new version behaves from a time after its start, and from a share of the calls: the
/// fraction of calls that are affected, and how.
#[derive(Clone, Copy)]
struct Behaviour {
    affected: f64,
    effect: Effect,
    since: Duration,
    min_share: f64,
}

/// What an affected call suffers.
#[derive(Clone, Copy)]
enum Effect {
    Fails,
    Takes { factor: f64 },
}

const GOOD: Behaviour = Behaviour {
    affected: 0.0,
    effect: Effect::Fails,
    since: Duration::ZERO,
    min_share: 0.0,
};

/// What happens to the leader, to the evidence on its way and to the rate of calls.
#[derive(Clone, Copy)]
struct Disturbance {
    evidence_delay_steps: usize,
    /// When the process of the leader restarts.
    restart_at: Option<Duration>,
    /// The time for which the leader neither decides nor takes evidence.
    leader_pause: (Duration, Duration),
    /// The time before which no evidence reaches the leader.
    evidence_lost_until: Duration,
    /// When the rate of calls triples.
    burst_at: Duration,
}

const CALM: Disturbance = Disturbance {
    evidence_delay_steps: EVIDENCE_DELAY_STEPS,
    restart_at: None,
    leader_pause: (Duration::ZERO, Duration::ZERO),
    evidence_lost_until: Duration::ZERO,
    burst_at: Duration::MAX,
};

/// The leader stands still while the new version is due for all calls.
const LEADER_PAUSE: (Duration, Duration) =
    (Duration::from_millis(13_750), Duration::from_millis(15_750));
const LOST_UNTIL: Duration = Duration::from_secs(4);
const LATE_BURST: Duration = Duration::from_secs(13);
/// The factor by which the rate of calls grows in a burst.
const BURST_FACTOR: f64 = 3.0;

impl Disturbance {
    fn pauses_leader(&self, elapsed: Duration) -> bool {
        (self.leader_pause.0..self.leader_pause.1).contains(&elapsed)
    }

    fn calls_per_step(&self, rate: f64, elapsed: Duration) -> f64 {
        let factor = if elapsed >= self.burst_at {
            BURST_FACTOR
        } else {
            1.0
        };
        rate * factor * TIME_STEP.as_secs_f64()
    }

    /// The calls from the order to the deadline.
    fn calls(&self, rate: f64) -> f64 {
        let mut calls = 0.0;
        let mut elapsed = Duration::ZERO;
        while elapsed < DURATION {
            calls += self.calls_per_step(rate, elapsed);
            elapsed += TIME_STEP;
        }
        calls
    }
}

struct Outcome {
    state: RolloutState,
    at: Duration,
    exposed: f64,
    calls: f64,
}

fn members() -> Members {
    let address = ([127, 0, 0, 1], 8_000).into();
    let id = ServerId {
        node: NodeId::try_from("node").expect("a name"),
        address,
    };
    let member = Member {
        id: id.clone(),
        announcement: Announcement {
            address,
            service: ServiceName::try_from("desk").expect("a name"),
            version: VersionLabel::try_from("v2").expect("a name"),
            incarnation: Incarnation::new(1),
            slots: 9,
            connections: 18,
            state: MemberState::Up,
            instance: None,
        },
        peer_address: address,
        data_centre: DataCentre::try_from("dc").expect("a name"),
        node_incarnation: Incarnation::new(1),
    };
    Members {
        servers: BTreeMap::from([(id, Arc::new(member))]),
        ..Members::default()
    }
}

fn run(rate: f64, behaviour: Behaviour, disturbance: Disturbance, seed: u64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let start = Timestamp::from_secs(1_000);
    // The clock of the replica that accepted the order is one hour ahead.
    let ordered = start + Duration::from_hours(1);
    let service = ServiceName::try_from("desk").expect("a name");
    let rollout = Rollout {
        id: MoveId::new(1),
        service: service.clone(),
        version: VersionLabel::try_from("v2").expect("a name"),
        started: ordered,
        deadline: ordered + DURATION,
        state: RolloutState::Running,
        share: Share::ZERO,
        step: 0,
        evidence: String::new(),
        rejected: Vec::new(),
        progress: RolloutProgress::default(),
    };
    let mut rollouts = BTreeMap::from([(service.clone(), rollout)]);
    let mut controller = RolloutController::new();
    let mut in_transit: Vec<Evidence> = Vec::new();
    let mut outcome = Outcome {
        state: RolloutState::Running,
        at: DURATION,
        exposed: 0.0,
        calls: 0.0,
    };
    let mut elapsed = Duration::ZERO;
    while elapsed < DURATION {
        let now = start + elapsed;
        if disturbance.restart_at == Some(elapsed) {
            controller = RolloutController::new();
            in_transit.clear();
        }
        let is_leading = !disturbance.pauses_leader(elapsed);
        if is_leading {
            controller.track(now, &rollouts);
        }
        let current = &rollouts[&service];
        let mut evidence = MoveEvidence {
            step: current.step,
            ..MoveEvidence::default()
        };
        let calls = disturbance.calls_per_step(rate, elapsed);
        let mut remaining =
            calls.floor() + f64::from(u8::from(rng.random::<f64>() < calls.fract()));
        while remaining >= 1.0 {
            remaining -= 1.0;
            let is_new = rng.random::<f64>() < current.share.fraction();
            let restarted_at = disturbance.restart_at.unwrap_or(Duration::MAX);
            let is_disturbed =
                elapsed >= restarted_at && elapsed < restarted_at.saturating_add(CONTACT_TIME);
            outcome.exposed += f64::from(u8::from(is_new && !is_disturbed));
            let is_affected = is_new
                && elapsed >= behaviour.since
                && current.share.fraction() >= behaviour.min_share
                && rng.random::<f64>() < behaviour.affected;
            let (failure_rate, latency_factor) = match behaviour.effect {
                Effect::Fails if is_affected => (1.0, 1.0),
                Effect::Takes { factor } if is_affected => (BASE_FAILURE_RATE, factor),
                Effect::Fails | Effect::Takes { .. } => (BASE_FAILURE_RATE, 1.0),
            };
            let pool = if is_new {
                &mut evidence.new
            } else {
                &mut evidence.old
            };
            if rng.random::<f64>() < failure_rate {
                pool.record_failure();
            } else {
                let time = 0.16 * latency_factor * (0.6 + 0.8 * rng.random::<f64>());
                pool.record_answer(Duration::from_secs_f64(time));
            }
        }
        let moves = BTreeMap::from([(MoveId::new(1), evidence)]);
        in_transit.push(Evidence {
            moves,
            ..Evidence::default()
        });
        if elapsed < disturbance.evidence_lost_until {
            in_transit.clear();
        }
        if !is_leading {
            elapsed += TIME_STEP;
            continue;
        }
        while in_transit.len() > disturbance.evidence_delay_steps {
            controller.add_evidence(now, &in_transit.remove(0));
        }
        for step in controller.decide(now, &rollouts, Some(&members()), true) {
            let rollout = rollouts.get_mut(&service).expect("the rollout");
            assert_eq!(step.step, rollout.step + 1);
            rollout.step = step.step;
            rollout.state = step.state;
            rollout.share = step.share;
        }
        for (_, progress) in controller.due_progress(now, &rollouts) {
            let rollout = rollouts.get_mut(&service).expect("the rollout");
            rollout.progress = progress;
        }
        let state = rollouts[&service].state;
        if state.is_final() {
            outcome.state = state;
            outcome.at = elapsed;
            break;
        }
        elapsed += TIME_STEP;
    }
    outcome.calls = disturbance.calls(rate);
    outcome
}

#[test]
fn rollouts_of_good_versions_complete_before_the_deadline() {
    for rate in [15.0, 60.0, 290.0, 600.0] {
        for seed in 0..40 {
            let outcome = run(rate, GOOD, CALM, seed);
            assert_eq!(
                outcome.state,
                RolloutState::Completed,
                "{rate}/s, seed {seed}"
            );
            assert!(outcome.at < DURATION, "{rate}/s, seed {seed}");
        }
    }
}

/// Half of the calls fail or take eight times as long.
const fn half(effect: Effect, since: Duration, min_share: f64) -> Behaviour {
    Behaviour {
        affected: 0.5,
        effect,
        since,
        min_share,
    }
}

const SLOW: Effect = Effect::Takes { factor: 8.0 };

/// Asserts that a version is rolled back, after no more calls than the users' rule allows.
fn assert_rolled_back(rate: f64, behaviour: Behaviour, disturbance: Disturbance, case: &str) {
    for seed in 0..40 {
        let outcome = run(rate, behaviour, disturbance, seed);
        let case = format!("{case}, {rate}/s, seed {seed}");
        assert_eq!(outcome.state, RolloutState::RolledBack, "{case}");
        let max_exposed = MAX_EXPOSURE.0 * outcome.calls + MAX_EXPOSURE.1;
        assert!(
            outcome.exposed <= max_exposed,
            "{case}: {} of {max_exposed}",
            outcome.exposed
        );
    }
}

#[test]
fn bad_versions_are_rolled_back_within_the_exposure_limit() {
    let late = Duration::from_secs(6);
    let all_slow = Behaviour {
        affected: 1.0,
        ..half(SLOW, Duration::ZERO, 0.0)
    };
    let cases = [
        ("errors at once", half(Effect::Fails, Duration::ZERO, 0.0)),
        ("errors late", half(Effect::Fails, late, 0.0)),
        ("slow", all_slow),
    ];
    for rate in [60.0, 290.0, 600.0] {
        for (name, behaviour) in cases {
            assert_rolled_back(rate, behaviour, CALM, name);
        }
    }
}

#[test]
fn a_version_that_is_slow_for_half_of_its_calls_is_rolled_back() {
    for rate in [35.0, 60.0, 290.0, 600.0] {
        let behaviour = half(SLOW, Duration::ZERO, 0.0);
        assert_rolled_back(rate, behaviour, CALM, "half slow");
    }
}

#[test]
fn a_version_that_fails_only_at_the_full_share_is_not_completed() {
    let far = Disturbance {
        evidence_delay_steps: LONG_EVIDENCE_DELAY_STEPS,
        ..CALM
    };
    let behaviour = half(Effect::Fails, Duration::ZERO, 1.0);
    for rate in [35.0, 60.0] {
        assert_rolled_back(rate, behaviour, far, "fails at the full share, far");
    }
    for rate in [35.0, 60.0, 290.0, 600.0] {
        assert_rolled_back(rate, behaviour, CALM, "fails at the full share");
    }
}

#[test]
fn a_restart_of_the_leader_does_not_move_the_deadline_of_a_rollout() {
    for seconds in [2, 5, 9, 12] {
        let restarted = Disturbance {
            restart_at: Some(Duration::from_secs(seconds)),
            ..CALM
        };
        for seed in 0..40 {
            let outcome = run(60.0, GOOD, restarted, seed);
            let case = format!("restart after {seconds} s, seed {seed}");
            assert_eq!(outcome.state, RolloutState::Completed, "{case}");
            assert!(outcome.at < DURATION, "{case}");
        }
    }
}

#[test]
fn a_restart_of_the_leader_does_not_let_a_bad_version_pass() {
    for seconds in [5, 9, 12, 14, 15] {
        let restarted = Disturbance {
            restart_at: Some(Duration::from_secs(seconds)),
            ..CALM
        };
        for rate in [15.0, 35.0, 290.0] {
            let late = Duration::from_secs(seconds - 1);
            let behaviour = half(Effect::Fails, late, 0.0);
            let case = format!("fails 1 s before a restart after {seconds} s");
            assert_rolled_back(rate, behaviour, restarted, &case);
        }
    }
}

/// Half of the calls fail from a time on, or only at the full share.
const FAILS_LATE: [(&str, Behaviour); 3] = [
    (
        "fails from 6 s on",
        half(Effect::Fails, Duration::from_secs(6), 0.0),
    ),
    (
        "fails from 13 s on",
        half(Effect::Fails, Duration::from_secs(13), 0.0),
    ),
    (
        "fails at the full share",
        half(Effect::Fails, Duration::ZERO, 1.0),
    ),
];

fn assert_limit_kept(disturbance: Disturbance, rates: &[f64]) {
    for rate in rates {
        for (name, behaviour) in FAILS_LATE {
            assert_rolled_back(*rate, behaviour, disturbance, name);
        }
    }
}

#[test]
fn a_leader_that_stands_still_does_not_let_a_bad_version_exceed_its_limit() {
    let paused = Disturbance {
        leader_pause: LEADER_PAUSE,
        ..CALM
    };
    assert_limit_kept(paused, &[8.0, 35.0, 64.0, 290.0]);
}

#[test]
fn a_late_burst_does_not_let_a_bad_version_exceed_its_limit() {
    for evidence_delay_steps in [EVIDENCE_DELAY_STEPS, LONG_EVIDENCE_DELAY_STEPS] {
        let burst = Disturbance {
            evidence_delay_steps,
            burst_at: LATE_BURST,
            ..CALM
        };
        assert_limit_kept(burst, &[8.0, 35.0, 64.0, 290.0]);
    }
}

#[test]
fn missing_evidence_does_not_let_a_bad_version_exceed_its_limit() {
    for leader_pause in [(Duration::ZERO, Duration::ZERO), LEADER_PAUSE] {
        let silent = Disturbance {
            evidence_lost_until: LOST_UNTIL,
            leader_pause,
            ..CALM
        };
        assert_limit_kept(silent, &[8.0, 35.0, 64.0, 290.0]);
    }
}
