//! Bounds on the time until an accepted configuration is served, while relays stop one after the
//! other and further configurations are accepted every second.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_control::{LeadershipRole, NodeMachine};
use trefoillock_core::{Config, ConfigVersion, Term, Timestamp};
use trefoillock_stand_ins::fleet::{Fleet, FleetSize, Process, sample};

/// The time after an acknowledgement within which every node serves the version.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// The time for which an acknowledgement waits while nodes lack the version.
const ACK_WAIT: Duration = Duration::from_millis(700);
/// The time after which the followers of a leader have applied what it accepted.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// The time between two accepted configurations.
const EDIT_INTERVAL: Duration = Duration::from_secs(1);
const EDITS: u64 = 8;
/// The one-way delay of the link of a busy node.
const BUSY_LINK_DELAY: Duration = Duration::from_millis(150);
/// The relays that stop in each group, and the time of the group after the first edit.
const GROUPS: [(usize, Duration); 4] = [
    (6, Duration::from_millis(300)),
    (3, Duration::from_millis(1_100)),
    (3, Duration::from_millis(1_900)),
    (2, Duration::from_millis(2_700)),
];

fn size(nodes: usize, data_centres: usize) -> FleetSize {
    FleetSize {
        controls: 5,
        nodes,
        data_centres,
        services: 4,
    }
}

fn config(version: u64) -> Arc<Config> {
    sample::config(version, 4, BTreeMap::new())
}

/// How a relay ends.
#[derive(Debug, Clone, Copy)]
enum End {
    /// Its connections are closed.
    Stopped,
    /// Its peers hear nothing more.
    Silent,
}

/// Something that happens at a time after the first edit.
#[derive(Debug, Clone, Copy)]
enum Step {
    Accept(u64),
    Replicate(u64),
    StopRelays(usize),
    Check(u64),
}

fn schedule() -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    for edit in 0..EDITS {
        let version = edit + 2;
        let at = EDIT_INTERVAL * u32::try_from(edit).expect("a small number");
        steps.push((at, Step::Accept(version)));
        steps.push((at + HEARTBEAT, Step::Replicate(version)));
        steps.push((at + ACK_WAIT + APPLY_LIMIT, Step::Check(version)));
    }
    steps.extend(GROUPS.map(|(count, at)| (at, Step::StopRelays(count))));
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// Returns the running node with the most children.
fn largest_relay(fleet: &Fleet) -> usize {
    let relays = fleet.running();
    let largest = relays.max_by_key(|(_, node)| node.child_count());
    largest.expect("a node runs").0
}

fn late_nodes(fleet: &Fleet, version: u64) -> Vec<usize> {
    let version = ConfigVersion::new(version);
    let is_late = |node: &NodeMachine| node.config().is_none_or(|c| c.version() < version);
    let late = fleet.running().filter(|(_, node)| is_late(node));
    late.map(|(at, _)| at).collect()
}

fn play(size: FleetSize, end: End, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = Fleet::new(size, &config(1), seed, false);
    (0..size.nodes).for_each(|at| fleet.start(at));
    fleet.run_for(Duration::from_secs(8));
    assert!(fleet.control(0).has_converged(), "seed {seed}");
    // A third of the nodes are busy.
    for at in 0..size.nodes {
        if rng.random_range(0..3) == 0 {
            fleet.delay_link(Process::Node(at), BUSY_LINK_DELAY);
        }
    }
    fleet.run_for(Duration::from_secs(1));
    let start: Timestamp = fleet.now();
    let leading = LeadershipRole::Leading { term: Term::new(1) };
    for (at, step) in schedule() {
        fleet.run_until(start + at, |_| false);
        match step {
            Step::Accept(version) => fleet.set_state(0, leading, &config(version)),
            Step::Replicate(version) => fleet.set_leader(Some(0), 1, &config(version)),
            Step::StopRelays(count) => {
                for _ in 0..count {
                    let relay = largest_relay(&fleet);
                    fleet.kill(relay, matches!(end, End::Silent));
                }
            }
            Step::Check(version) => {
                let late = late_nodes(&fleet, version);
                assert!(
                    late.is_empty(),
                    "seed {seed}, {end:?}: nodes {late:?} lack version {version}"
                );
            }
        }
    }
}

#[test]
fn edits_are_in_force_in_time_while_relays_stop_one_after_the_other() {
    for seed in 0..20 {
        play(size(60, 3), End::Stopped, seed);
    }
}

#[test]
fn edits_are_in_force_in_time_while_relays_fall_silent_one_after_the_other() {
    for seed in 0..20 {
        play(size(60, 3), End::Silent, seed);
    }
}

#[test]
fn edits_are_in_force_in_time_in_a_large_fleet_while_relays_stop() {
    play(size(1_600, 5), End::Stopped, 0);
}

#[test]
fn edits_are_in_force_in_time_in_a_large_fleet_while_relays_fall_silent() {
    play(size(1_600, 5), End::Silent, 0);
}
