//! Simulated rollouts of a few seconds: good versions complete before the deadline, bad versions
//! are rolled back within their exposure limit.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{
    Announcement, DataCentre, Evidence, Incarnation, Member, MemberState, Members, MoveEvidence,
    MoveId, NodeId, Rollout, RolloutState, ServerId, ServiceName, Share, Timestamp, VersionLabel,
};
use trefoillock_moves::RolloutController;

/// Number of time steps that evidence takes from the nodes to the leader.
const EVIDENCE_DELAY_STEPS: usize = 3;
const TIME_STEP: Duration = Duration::from_millis(250);
const DURATION: Duration = Duration::from_secs(16);
/// Calls that a bad version may get by the users' rule: a fraction of the calls until the
/// deadline, plus a fixed number.
const MAX_EXPOSURE: (f64, f64) = (0.1, 50.0);

/// How the new version behaves from a time after its start: the fraction of calls that fail and
/// the factor on latencies.
#[derive(Clone, Copy)]
struct Behaviour {
    failure_rate: f64,
    latency_factor: f64,
    since: Duration,
}

const GOOD: Behaviour = Behaviour {
    failure_rate: 0.004,
    latency_factor: 1.0,
    since: Duration::ZERO,
};

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

fn run(rate: f64, behaviour: Behaviour, seed: u64) -> Outcome {
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
        controller.track(now, &rollouts);
        let current = &rollouts[&service];
        let mut evidence = MoveEvidence::default();
        let calls = rate * TIME_STEP.as_secs_f64();
        outcome.calls += calls;
        let mut remaining =
            calls.floor() + f64::from(u8::from(rng.random::<f64>() < calls.fract()));
        while remaining >= 1.0 {
            remaining -= 1.0;
            let is_new = rng.random::<f64>() < current.share.fraction();
            outcome.exposed += f64::from(u8::from(is_new));
            let is_affected = is_new && elapsed >= behaviour.since;
            let (failure_rate, latency_factor) = if is_affected {
                (behaviour.failure_rate, behaviour.latency_factor)
            } else {
                (0.004, 1.0)
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
        if in_transit.len() > EVIDENCE_DELAY_STEPS {
            controller.add_evidence(&in_transit.remove(0));
        }
        for step in controller.decide(now, &rollouts, &members(), true) {
            let rollout = rollouts.get_mut(&service).expect("the rollout");
            assert_eq!(step.step, rollout.step + 1);
            rollout.step = step.step;
            rollout.state = step.state;
            rollout.share = step.share;
        }
        let state = rollouts[&service].state;
        if state.is_final() {
            outcome.state = state;
            outcome.at = elapsed;
            break;
        }
        elapsed += TIME_STEP;
    }
    outcome.calls = rate * DURATION.as_secs_f64();
    outcome
}

#[test]
fn rollouts_of_good_versions_complete_before_the_deadline() {
    for rate in [15.0, 60.0, 290.0, 600.0] {
        for seed in 0..40 {
            let outcome = run(rate, GOOD, seed);
            assert_eq!(
                outcome.state,
                RolloutState::Completed,
                "{rate}/s, seed {seed}"
            );
            assert!(outcome.at < DURATION, "{rate}/s, seed {seed}");
        }
    }
}

#[test]
fn bad_versions_are_rolled_back_within_the_exposure_limit() {
    let bad = |failure_rate, latency_factor, from| Behaviour {
        failure_rate,
        latency_factor,
        since: Duration::from_secs(from),
    };
    let cases = [
        ("errors at once", bad(0.5, 1.0, 0)),
        ("errors late", bad(0.5, 1.0, 6)),
        ("slow", bad(0.004, 8.0, 0)),
    ];
    for rate in [60.0, 290.0, 600.0] {
        for (name, behaviour) in cases {
            for seed in 0..40 {
                let outcome = run(rate, behaviour, seed);
                let case = format!("{name}, {rate}/s, seed {seed}");
                assert_eq!(outcome.state, RolloutState::RolledBack, "{case}");
                let max_exposed = MAX_EXPOSURE.0 * outcome.calls + MAX_EXPOSURE.1;
                assert!(
                    outcome.exposed <= max_exposed,
                    "{case}: {} of {max_exposed}",
                    outcome.exposed
                );
            }
        }
    }
}
