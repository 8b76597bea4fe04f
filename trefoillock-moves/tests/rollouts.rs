//! Roll-outs of seconds: good versions in time, bad ones taken back within their exposure.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{
    Announcement, DataCentre, Evidence, Incarnation, Member, MemberState, Members, MoveEvidence,
    MoveId, NodeId, Rollout, RolloutState, ServerId, ServiceName, Share, Timestamp, VersionLabel,
};
use trefoillock_moves::RolloutController;

/// The time that evidence takes from the nodes to the leader.
const EVIDENCE_DELAY: usize = 3;
const STEP: Duration = Duration::from_millis(250);
const SPAN: Duration = Duration::from_secs(16);
/// The share of the calls until the deadline that a bad version may get, and what it may get
/// besides, by the users' rule.
const EXPOSURE: (f64, f64) = (0.1, 50.0);

/// How the new version behaves at a time after its start.
#[derive(Clone, Copy)]
struct Behaviour {
    failures: f64,
    slowness: f64,
    from: Duration,
}

const GOOD: Behaviour = Behaviour {
    failures: 0.004,
    slowness: 1.0,
    from: Duration::ZERO,
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
    // The clock of the replica that took the order is an hour ahead.
    let ordered = start + Duration::from_hours(1);
    let service = ServiceName::try_from("desk").expect("a name");
    let rollout = Rollout {
        id: MoveId::new(1),
        service: service.clone(),
        version: VersionLabel::try_from("v2").expect("a name"),
        started: ordered,
        deadline: ordered + SPAN,
        state: RolloutState::Running,
        share: Share::ZERO,
        step: 0,
        evidence: String::new(),
    };
    let mut rollouts = BTreeMap::from([(service.clone(), rollout)]);
    let mut controller = RolloutController::new();
    let mut on_its_way: Vec<Evidence> = Vec::new();
    let mut outcome = Outcome {
        state: RolloutState::Running,
        at: SPAN,
        exposed: 0.0,
        calls: 0.0,
    };
    let mut passed = Duration::ZERO;
    while passed < SPAN {
        let now = start + passed;
        controller.follow(now, &rollouts);
        let held = &rollouts[&service];
        let mut evidence = MoveEvidence::default();
        let calls = rate * STEP.as_secs_f64();
        outcome.calls += calls;
        let mut left = calls.floor() + f64::from(u8::from(rng.random::<f64>() < calls.fract()));
        while left >= 1.0 {
            left -= 1.0;
            let is_new = rng.random::<f64>() < held.share.fraction();
            outcome.exposed += f64::from(u8::from(is_new));
            let acts = is_new && passed >= behaviour.from;
            let (failures, slowness) = if acts {
                (behaviour.failures, behaviour.slowness)
            } else {
                (0.004, 1.0)
            };
            let pool = if is_new {
                &mut evidence.new
            } else {
                &mut evidence.old
            };
            if rng.random::<f64>() < failures {
                pool.record_failure();
            } else {
                let time = 0.16 * slowness * (0.6 + 0.8 * rng.random::<f64>());
                pool.record_answer(Duration::from_secs_f64(time));
            }
        }
        let moves = BTreeMap::from([(MoveId::new(1), evidence)]);
        on_its_way.push(Evidence {
            moves,
            ..Evidence::default()
        });
        if on_its_way.len() > EVIDENCE_DELAY {
            controller.observe(&on_its_way.remove(0));
        }
        for step in controller.decide(now, &rollouts, &members(), true) {
            let rollout = rollouts.get_mut(&service).expect("the roll-out");
            assert_eq!(step.step, rollout.step + 1);
            rollout.step = step.step;
            rollout.state = step.state;
            rollout.share = step.share;
        }
        let state = rollouts[&service].state;
        if state.is_final() {
            outcome.state = state;
            outcome.at = passed;
            break;
        }
        passed += STEP;
    }
    outcome.calls = rate * SPAN.as_secs_f64();
    outcome
}

#[test]
fn good_versions_are_completed_before_the_deadline() {
    for rate in [15.0, 60.0, 290.0, 600.0] {
        for seed in 0..40 {
            let outcome = run(rate, GOOD, seed);
            assert_eq!(
                outcome.state,
                RolloutState::Completed,
                "{rate}/s, seed {seed}"
            );
            assert!(outcome.at < SPAN, "{rate}/s, seed {seed}");
        }
    }
}

#[test]
fn bad_versions_are_rolled_back_within_their_exposure() {
    let bad = |failures, slowness, from| Behaviour {
        failures,
        slowness,
        from: Duration::from_secs(from),
    };
    let kinds = [
        ("errors at once", bad(0.5, 1.0, 0)),
        ("errors late", bad(0.5, 1.0, 6)),
        ("slow", bad(0.004, 8.0, 0)),
    ];
    for rate in [60.0, 290.0, 600.0] {
        for (name, behaviour) in kinds {
            for seed in 0..40 {
                let outcome = run(rate, behaviour, seed);
                let place = format!("{name}, {rate}/s, seed {seed}");
                assert_eq!(outcome.state, RolloutState::RolledBack, "{place}");
                let most = EXPOSURE.0 * outcome.calls + EXPOSURE.1;
                assert!(
                    outcome.exposed <= most,
                    "{place}: {} of {most}",
                    outcome.exposed
                );
            }
        }
    }
}
