//! Bounds on the time until an accepted configuration is served, while leaders, leases, relays and
//! links fail.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use trefoillock_control::{LeadershipRole, NodeMachine};
use trefoillock_core::{Config, ConfigVersion, Term, Timestamp};
use trefoillock_stand_ins::fleet::{Fleet, FleetSize, Process, sample};

const SIZE: FleetSize = FleetSize {
    controls: 5,
    nodes: 66,
    data_centres: 3,
    services: 4,
};
const SEEDS: u64 = 20;
/// The time after an acknowledgement within which every node serves the version.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// The time for which an acknowledgement waits while nodes lack the version.
const ACK_WAIT: Duration = Duration::from_millis(700);
/// The time after which a healed or replaced leader must have the whole fleet again.
const CONTACT_LIMIT: Duration = Duration::from_secs(3);
/// The time from the loss of a leader to the election of the next one, at most.
const ELECTION_TIME: Duration = Duration::from_secs(1);
/// The time after which the followers of a leader have applied what it accepted.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// The one-way delay of a link on which packets wait.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(200);

fn config(version: u64) -> Arc<Config> {
    sample::config(version, SIZE.services, BTreeMap::new())
}

/// Starts a fleet whose nodes all serve version 1.
fn converged_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(SIZE, &config(1), seed, false);
    (0..SIZE.nodes).for_each(|at| fleet.start(at));
    fleet.run_for(Duration::from_secs(8));
    assert!(fleet.control(0).has_converged(), "seed {seed}");
    fleet
}

fn leading(term: u64) -> LeadershipRole {
    LeadershipRole::Leading {
        term: Term::new(term),
    }
}

/// Returns the nodes that do not serve a version, except for one.
fn late_nodes(fleet: &Fleet, version: u64, except: Option<usize>) -> Vec<usize> {
    let version = ConfigVersion::new(version);
    let is_late = |node: &NodeMachine| node.config().is_none_or(|c| c.version() < version);
    let running = fleet.running().filter(|(at, _)| Some(*at) != except);
    running
        .filter(|(_, node)| is_late(node))
        .map(|(at, _)| at)
        .collect()
}

/// Runs until a time and asserts that all nodes but one serve a version then.
fn assert_in_force(fleet: &mut Fleet, version: u64, by: Timestamp, except: Option<usize>) {
    let start = fleet.now();
    fleet.run_until(by, |fleet| late_nodes(fleet, version, except).is_empty());
    let late = late_nodes(fleet, version, except);
    let waited = fleet.now().since(start);
    assert!(late.is_empty(), "nodes {late:?} are late after {waited:?}");
}

/// Returns the relay with the most children.
fn largest_relay(fleet: &Fleet) -> usize {
    let relays = fleet.running();
    let largest = relays.max_by_key(|(_, node)| node.child_count());
    largest.expect("a node runs").0
}

/// Isolates the leader silently, and makes another replica leader that then accepts version 2.
/// Returns the times of the isolation and of the acceptance.
fn replace_leader(fleet: &mut Fleet) -> (Timestamp, Timestamp) {
    let cut_at = fleet.now();
    fleet.isolate(Process::Control(0), true);
    fleet.run_for(ELECTION_TIME / 2);
    let following = LeadershipRole::Following { leader: None };
    fleet.set_state(0, following, &config(1));
    fleet.run_for(ELECTION_TIME / 2);
    fleet.set_leader(Some(1), 2, &config(1));
    fleet.set_state(0, following, &config(1));
    fleet.set_state(1, leading(2), &config(2));
    let accepted_at = fleet.now();
    fleet.run_for(HEARTBEAT);
    fleet.set_leader(Some(1), 2, &config(2));
    (cut_at, accepted_at)
}

#[test]
fn a_lapse_of_the_lease_does_not_detach_the_nodes() {
    for seed in 0..SEEDS {
        let mut fleet = converged_fleet(seed);
        fleet.lapse_lease(0, Term::new(1), &config(2));
        fleet.run_for(Duration::from_millis(15));
        fleet.set_state(0, leading(1), &config(2));
        let end = fleet.now() + Duration::from_secs(1);
        let is_detached = |fleet: &Fleet| fleet.running().any(|(_, node)| !node.is_attached());
        assert!(!fleet.run_until(end, is_detached), "seed {seed}");
        assert!(late_nodes(&fleet, 2, None).is_empty(), "seed {seed}");
    }
}

#[test]
fn a_new_leader_reaches_nodes_behind_slow_links_in_time() {
    for seed in 0..SEEDS {
        let mut fleet = converged_fleet(seed);
        let relay = largest_relay(&fleet);
        fleet.delay_link(Process::Node(relay), SLOW_LINK_DELAY);
        fleet.run_for(Duration::from_secs(2));
        let (cut_at, accepted_at) = replace_leader(&mut fleet);
        let by = (accepted_at + APPLY_LIMIT).max(cut_at + CONTACT_LIMIT);
        assert_in_force(&mut fleet, 2, by, None);
    }
}

#[test]
fn nodes_leave_a_relay_that_has_lost_the_leader_in_time() {
    for seed in 0..SEEDS {
        let mut fleet = converged_fleet(seed);
        let relay = largest_relay(&fleet);
        let controls = (0..SIZE.controls).map(Process::Control);
        controls.for_each(|control| fleet.partition(relay, control));
        fleet.set_state(0, leading(1), &config(2));
        let by = fleet.now() + ACK_WAIT + APPLY_LIMIT;
        assert_in_force(&mut fleet, 2, by, Some(relay));
    }
}

#[test]
fn nodes_leave_a_silent_relay_in_time() {
    for seed in 0..SEEDS {
        let mut fleet = converged_fleet(seed);
        let relay = largest_relay(&fleet);
        fleet.kill(relay, true);
        fleet.set_state(0, leading(1), &config(2));
        let by = fleet.now() + ACK_WAIT + APPLY_LIMIT;
        assert_in_force(&mut fleet, 2, by, None);
    }
}

#[test]
fn a_new_leader_reaches_all_nodes_in_time_while_relays_and_a_follower_are_silent() {
    for seed in 0..SEEDS {
        let mut fleet = converged_fleet(seed);
        for _ in 0..2 {
            let relay = largest_relay(&fleet);
            fleet.kill(relay, true);
        }
        fleet.isolate(Process::Control(4), true);
        let slow_relay = largest_relay(&fleet);
        fleet.delay_link(Process::Node(slow_relay), SLOW_LINK_DELAY / 4);
        let (cut_at, accepted_at) = replace_leader(&mut fleet);
        let by = (accepted_at + APPLY_LIMIT).max(cut_at + CONTACT_LIMIT);
        assert_in_force(&mut fleet, 2, by, None);
    }
}
