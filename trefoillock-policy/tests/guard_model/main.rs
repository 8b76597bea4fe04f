//! Simulates the duplicate guard with random faults and counts keys that were granted twice. Runs
//! with an injected fault check that the simulation detects such grants.

mod simulation;

use simulation::{InjectedFault, Simulation};

/// The number of seeds. The variable `GUARD_MODEL_SEEDS` overrides it for longer runs.
fn seeds() -> u64 {
    let seeds = std::env::var("GUARD_MODEL_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(300)
}

const STEPS: usize = 3_000;

fn double_grants(fault: InjectedFault) -> usize {
    let run = |seed| {
        let mut simulation = Simulation::new(seed, fault);
        simulation.run(STEPS);
        simulation.double_grants
    };
    let double_grants = (0..seeds()).map(run).sum();
    println!(
        "{fault:?}: {double_grants} double grants in {} seeds",
        seeds()
    );
    double_grants
}

#[test]
fn no_key_is_granted_twice_and_no_refusal_is_false() {
    let mut grants = 0;
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(seed, InjectedFault::None);
        simulation.run(STEPS);
        assert_eq!(simulation.double_grants, 0, "seed {seed}");
        assert_eq!(simulation.false_refusals, 0, "seed {seed}");
        grants += simulation.grants as u64;
    }
    assert!(
        grants > 10 * seeds(),
        "only {grants} grants: too few for the test to be conclusive"
    );
}

#[test]
fn a_healthy_slot_grants_every_new_key() {
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(seed, InjectedFault::None);
        simulation.run(STEPS / 3);
        let granted = simulation.claim_without_faults();
        assert_eq!(
            granted,
            simulation.node_count(),
            "seed {seed}, set {:?}",
            simulation.guard_set()
        );
    }
}

#[test]
fn a_guard_that_skips_the_copy_is_detected() {
    assert!(double_grants(InjectedFault::SkipsCopy) > 0);
}

#[test]
fn a_broken_promise_is_detected() {
    assert!(double_grants(InjectedFault::BreaksPromise) > 0);
}

#[test]
fn an_unrecorded_loss_is_detected() {
    assert!(double_grants(InjectedFault::ForgetsLoss) > 0);
}

#[test]
fn a_restart_under_the_same_incarnation_is_detected() {
    assert!(double_grants(InjectedFault::KeepsIncarnation) > 0);
}
