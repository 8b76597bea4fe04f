//! Limits and counts of the calls that local backend servers get of the new version of a rollout.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use trefoillock_core::{
    Incarnation, MoveId, NodeId, RolloutAllowance, RolloutShare, ServerId, ServiceName, Share,
    Timestamp, VersionLabel,
};
use trefoillock_policy::{AllowanceSpent, RolloutClaim, RolloutLedger, VersionCall};

const NOW: Timestamp = Timestamp::from_secs(1_000);
const THIS_RUN: Incarnation = Incarnation::new(7);

fn service() -> ServiceName {
    ServiceName::try_from("premium-ledger").expect("a name")
}

fn label(version: &str) -> VersionLabel {
    VersionLabel::try_from(version).expect("a name")
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 8_301).into()
}

fn server() -> ServerId {
    ServerId {
        node: NodeId::try_from("node-1").expect("a name"),
        address: address(),
    }
}

/// An allowance of `calls` for the server beside a run of the node.
fn allowance(calls: u64, node_incarnation: Incarnation) -> RolloutAllowance {
    RolloutAllowance::default().extended(&[(server(), node_incarnation)], calls)
}

/// The rollout of version v2 after a step.
fn rollout(id: u64, step: u32, allowance: Option<RolloutAllowance>) -> RolloutShare {
    RolloutShare {
        id: MoveId::new(id),
        step,
        version: label("v2"),
        share: Share::from_fraction(0.03),
        rejected: vec![label("v0")],
        allowance,
    }
}

/// The ledger of this run of the node.
struct Harness(RolloutLedger);

impl Harness {
    fn new() -> Self {
        Self(RolloutLedger::new(server().node, THIS_RUN))
    }

    fn observe(&mut self, now: Timestamp, rollout: RolloutShare) -> Vec<(u32, u64)> {
        let stepped = self.0.observe(now, &BTreeMap::from([(service(), rollout)]));
        stepped.iter().map(|row| (row.step, row.calls)).collect()
    }

    fn charge(
        &mut self,
        now: Timestamp,
        version: &str,
        claim: Option<RolloutClaim>,
    ) -> Result<(), AllowanceSpent> {
        let call = VersionCall {
            service: &service(),
            version: &label(version),
            address: address(),
            claim,
        };
        self.0.charge(now, &call)
    }

    /// The number of calls that are accepted of the version, at most 100.
    fn accepted(&mut self, now: Timestamp, version: &str, claim: Option<RolloutClaim>) -> usize {
        (0..100)
            .take_while(|_| self.charge(now, version, claim).is_ok())
            .count()
    }
}

const fn claim(id: u64, is_limited: bool) -> RolloutClaim {
    RolloutClaim {
        id: MoveId::new(id),
        is_limited,
    }
}

#[test]
fn a_version_gets_no_call_beyond_its_part_whoever_sends_it() {
    for claim in [None, Some(claim(1, true))] {
        let mut node = Harness::new();
        node.observe(NOW, rollout(1, 1, Some(allowance(3, THIS_RUN))));
        assert_eq!(node.accepted(NOW, "v2", claim), 3);
        assert_eq!(node.accepted(NOW, "v1", None), 100, "the old version");
        let next = allowance(3, THIS_RUN).extended(&[(server(), THIS_RUN)], 2);
        node.observe(NOW, rollout(1, 1, Some(next)));
        assert_eq!(node.accepted(NOW, "v2", claim), 2, "after an extension");
    }
}

#[test]
fn a_call_that_was_not_sent_leaves_its_place_to_another_one() {
    let mut node = Harness::new();
    node.observe(NOW, rollout(1, 1, Some(allowance(1, THIS_RUN))));
    assert_eq!(node.accepted(NOW, "v2", None), 1);
    node.0.withdraw(&VersionCall {
        service: &service(),
        version: &label("v2"),
        address: address(),
        claim: None,
    });
    assert_eq!(node.accepted(NOW, "v2", None), 1);
}

#[test]
fn a_restarted_node_does_not_spend_the_part_of_its_earlier_run() {
    let mut node = Harness::new();
    let earlier = Incarnation::new(6);
    node.observe(NOW, rollout(1, 1, Some(allowance(3, earlier))));
    assert_eq!(node.accepted(NOW, "v2", None), 0);
    let next = allowance(3, earlier).extended(&[(server(), THIS_RUN)], 2);
    assert_eq!((next.granted(), next.forfeited), (5, 3));
    node.observe(NOW, rollout(1, 1, Some(next)));
    assert_eq!(node.accepted(NOW, "v2", None), 2);
}

#[test]
fn a_node_that_has_not_learned_of_a_rollout_refuses_its_calls() {
    let mut node = Harness::new();
    assert_eq!(node.accepted(NOW, "v2", Some(claim(1, true))), 0);
    assert_eq!(node.accepted(NOW, "v2", None), 100, "no rollout");
    node.observe(NOW, rollout(1, 9, None));
    assert_eq!(node.accepted(NOW, "v3", Some(claim(2, true))), 0);
    assert_eq!(
        node.accepted(NOW, "v2", Some(claim(1, true))),
        100,
        "completed"
    );
}

#[test]
fn a_node_that_has_not_learned_of_a_completion_takes_the_word_of_the_entry_node() {
    let mut node = Harness::new();
    assert_eq!(node.accepted(NOW, "v2", Some(claim(1, false))), 100);
    node.observe(NOW, rollout(1, 1, Some(allowance(1, THIS_RUN))));
    assert_eq!(node.accepted(NOW, "v2", Some(claim(1, false))), 100);
}

#[test]
fn a_version_that_was_rolled_back_gets_no_call_of_a_node_that_is_late() {
    let mut node = Harness::new();
    node.observe(NOW, rollout(1, 1, Some(allowance(9, THIS_RUN))));
    node.observe(NOW, rollout(1, 2, Some(RolloutAllowance::default())));
    assert_eq!(node.accepted(NOW, "v2", Some(claim(1, true))), 0);
    assert_eq!(node.accepted(NOW, "v0", None), 0, "rolled back earlier");
}

#[test]
fn an_extension_ends_though_the_node_hears_nothing() {
    let mut node = Harness::new();
    let valid_for = Duration::from_secs(3);
    let timed = RolloutAllowance {
        valid_for: Some(valid_for),
        ..allowance(9, THIS_RUN)
    };
    node.observe(NOW, rollout(1, 1, Some(timed.clone())));
    assert_eq!(node.charge(NOW + valid_for, "v2", None), Ok(()));
    let late = NOW + valid_for + Duration::from_millis(1);
    assert_eq!(node.charge(late, "v2", None), Err(AllowanceSpent));
    node.observe(late, rollout(1, 2, Some(timed.clone())));
    assert_eq!(
        node.charge(late, "v2", None),
        Err(AllowanceSpent),
        "a step alone"
    );
    let next = timed.extended(&[(server(), THIS_RUN)], 1);
    node.observe(late, rollout(1, 2, Some(next)));
    assert_eq!(node.charge(late, "v2", None), Ok(()));
}

#[test]
fn a_step_tells_how_many_calls_the_new_version_got_since_the_order() {
    let mut node = Harness::new();
    let share = rollout(1, 0, Some(allowance(9, THIS_RUN)));
    assert!(node.observe(NOW, share.clone()).is_empty());
    for version in ["v2", "v2", "v1"] {
        assert_eq!(node.charge(NOW, version, None), Ok(()));
    }
    assert!(node.observe(NOW, share.clone()).is_empty(), "no step");
    let stepped = node.observe(NOW, RolloutShare { step: 1, ..share });
    assert_eq!(stepped, [(1, 2)]);
}

#[test]
fn a_later_rollout_is_counted_from_zero() {
    let mut node = Harness::new();
    node.observe(NOW, rollout(1, 0, Some(allowance(2, THIS_RUN))));
    assert_eq!(node.accepted(NOW, "v2", None), 2);
    node.observe(NOW, rollout(2, 0, Some(allowance(2, THIS_RUN))));
    assert_eq!(node.accepted(NOW, "v2", None), 2);
}
