//! The time that counts of calls take from the nodes to the leader.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{Evidence, MoveEvidence, MoveId};
use trefoillock_stand_ins::fleet::{Fleet, FleetSize, sample};

const SIZE: FleetSize = FleetSize {
    controls: 3,
    nodes: 66,
    data_centres: 3,
    services: 4,
};
/// The time between two reports of a node's own counts, of which one is always in progress here.
const REPORT_TIME: Duration = Duration::from_millis(250);
/// The time after which failures of a new version are known to the leader.
const FAILURE_LIMIT: Duration = Duration::from_millis(400);
/// The time after which a good call of a new version is known to the leader.
const LIMIT: Duration = Duration::from_millis(1_600);

fn counts(failures: u64) -> Evidence {
    let mut counts = MoveEvidence::default();
    counts.new.calls = 10;
    counts.new.failures = failures;
    Evidence {
        moves: BTreeMap::from([(MoveId::new(1), counts)]),
        ..Evidence::default()
    }
}

/// Returns the calls of the new version that the leader knows `limit` after every node has counted
/// some, while each node reports its counts periodically.
fn known_calls(failures: u64, limit: Duration, seed: u64) -> u64 {
    let config = sample::config(1, SIZE.services, BTreeMap::new());
    let mut fleet = Fleet::new(SIZE, &config, seed, false);
    (0..SIZE.nodes).for_each(|at| fleet.start(at));
    fleet.run_for(Duration::from_secs(8));
    assert!(fleet.control(0).has_converged(), "seed {seed}");
    for at in 0..SIZE.nodes {
        fleet.with_node(at, |node| node.add_evidence(&counts(0), Vec::new()));
    }
    fleet.run_for(REPORT_TIME);
    fleet.take_evidence(0);
    for at in 0..SIZE.nodes {
        fleet.with_node(at, |node| node.add_evidence(&counts(failures), Vec::new()));
    }
    fleet.run_for(limit);
    let known = fleet.take_evidence(0);
    known.moves.values().map(|counts| counts.new.calls).sum()
}

#[test]
fn failures_of_a_new_version_reach_the_leader_sooner_than_good_calls() {
    for seed in 0..10 {
        let all = 10 * u64::try_from(SIZE.nodes).expect("a small number");
        let known = known_calls(3, FAILURE_LIMIT, seed);
        assert!(known >= all, "seed {seed}: {known} of {all}");
        let known = known_calls(0, LIMIT, seed);
        assert!(known >= all, "seed {seed}: {known} of {all}");
    }
}
