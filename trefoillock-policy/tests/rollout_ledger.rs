//! Counts of the calls that local backend servers get of the new version of a rollout.

use std::{collections::BTreeMap, net::SocketAddr};

use trefoillock_core::{MoveId, RolloutShare, ServiceName, Share, VersionLabel};
use trefoillock_policy::RolloutLedger;

fn service() -> ServiceName {
    ServiceName::try_from("premium-ledger").expect("a name")
}

fn label(version: &str) -> VersionLabel {
    VersionLabel::try_from(version).expect("a name")
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 8_301).into()
}

/// The rollout of version v2 after a step.
fn rollout(id: u64, step: u32) -> BTreeMap<ServiceName, RolloutShare> {
    let share = RolloutShare {
        id: MoveId::new(id),
        step,
        version: label("v2"),
        share: Share::from_fraction(0.03),
        rejected: Vec::new(),
    };
    BTreeMap::from([(service(), share)])
}

#[test]
fn a_step_tells_how_many_calls_the_new_version_got_since_the_order() {
    let mut ledger = RolloutLedger::new();
    assert!(ledger.observe(&rollout(1, 0)).is_empty());
    for _ in 0..3 {
        ledger.record(&service(), &label("v2"), address());
    }
    ledger.record(&service(), &label("v1"), address());
    ledger.withdraw(&service(), &label("v2"), address());
    assert!(ledger.observe(&rollout(1, 0)).is_empty(), "no step");
    let counts = ledger.observe(&rollout(1, 1));
    assert_eq!(counts.len(), 1);
    assert_eq!(
        (counts[0].step, counts[0].calls, counts[0].address),
        (1, 2, address())
    );
}

#[test]
fn a_later_rollout_is_counted_from_zero() {
    let mut ledger = RolloutLedger::new();
    ledger.observe(&rollout(1, 0));
    ledger.record(&service(), &label("v2"), address());
    ledger.observe(&rollout(2, 0));
    assert!(ledger.observe(&rollout(2, 1)).is_empty());
}
