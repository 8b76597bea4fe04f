//! Limits that backend servers state, and servers that leave, with faults drawn from seeds.

use trefoillock_stand_ins::limit_simulation::{Outcome, Scenario, run};

/// The number of seeds of each kind; `--example server_limits` runs more.
const SEEDS: u64 = 20;

fn total(scenario: impl Fn(u64) -> Scenario) -> Outcome {
    let mut total = Outcome::default();
    for seed in 0..SEEDS {
        total.add(&run(&scenario(seed)));
    }
    total
}

#[test]
fn limited_servers_get_their_limits_and_no_more_in_steady_demand() {
    let total = total(Scenario::steady);
    assert!(total.broken.is_empty(), "{total}");
    assert!(total.used.is_some());
}

#[test]
fn no_fault_lets_more_calls_through_than_a_limit_allows_or_any_to_a_server_that_leaves() {
    let total = total(Scenario::with_faults);
    assert!(total.broken.is_empty(), "{total}");
}

#[test]
fn entries_that_learn_the_limits_send_fewer_calls_in_vain() {
    let learned = total(Scenario::steady);
    let unlearned = total(|seed| Scenario::steady(seed).entries_learn(false));
    assert!(
        2 * learned.sent_in_vain < unlearned.sent_in_vain,
        "{learned}\n{unlearned}"
    );
    assert!(
        learned.answered >= unlearned.answered / 100 * 99,
        "{learned}\n{unlearned}"
    );
}
