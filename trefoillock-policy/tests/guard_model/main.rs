//! The duplicate guard under random faults, against a naive count of grants.

mod world;

use world::{Flaw, World};

/// The number of seeds; the variable `GUARD_MODEL_SEEDS` sets another one for longer runs.
fn seeds() -> u64 {
    let seeds = std::env::var("GUARD_MODEL_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(300)
}

const STEPS: usize = 3_000;

fn doubles(flaw: Flaw) -> usize {
    let run = |seed| {
        let mut world = World::new(seed, flaw);
        world.run(STEPS);
        world.doubles
    };
    let doubles = (0..seeds()).map(run).sum();
    println!("{flaw:?}: {doubles} doubles in {} seeds", seeds());
    doubles
}

#[test]
fn no_key_is_granted_twice_and_no_refusal_is_false() {
    let mut grants = 0;
    for seed in 0..seeds() {
        let mut world = World::new(seed, Flaw::None);
        world.run(STEPS);
        assert_eq!(world.doubles, 0, "seed {seed}");
        assert_eq!(world.false_refusals, 0, "seed {seed}");
        grants += world.grants as u64;
    }
    assert!(
        grants > 10 * seeds(),
        "only {grants} grants: the test shows nothing"
    );
}

#[test]
fn a_healthy_slot_grants_every_new_key() {
    for seed in 0..seeds() {
        let mut world = World::new(seed, Flaw::None);
        world.run(STEPS / 3);
        let granted = world.calm_down();
        assert_eq!(granted, world.len(), "seed {seed}, set {:?}", world.set());
    }
}

#[test]
fn a_joiner_that_skips_the_copy_is_noticed() {
    assert!(doubles(Flaw::SkipsCopy) > 0);
}

#[test]
fn a_broken_promise_is_noticed() {
    assert!(doubles(Flaw::BreaksPromise) > 0);
}

#[test]
fn a_forgotten_loss_is_noticed() {
    assert!(doubles(Flaw::ForgetsLoss) > 0);
}

#[test]
fn a_restart_under_the_same_incarnation_is_noticed() {
    assert!(doubles(Flaw::KeepsIncarnation) > 0);
}
