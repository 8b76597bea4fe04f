//! Leases of lost nodes, address conflicts, announcements of older incarnations, flap damping, and
//! rate-limited attachment of many nodes at once.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use trefoillock_control::{
    AttachLimiter, LostNode, NodeRecord, NodeTable,
    timing::{ORPHAN_LEASE, REATTACH_LEASE},
};
use trefoillock_core::{
    Departure, DrainedRuns, Incarnation, InstanceId, MemberState, NodeId, Timestamp,
};

const START: Timestamp = Timestamp::from_secs(1_000);

fn name(number: u32) -> NodeId {
    format!("vm-{number}").try_into().expect("a valid name")
}

fn record(number: u32, incarnation: u64, port: u16) -> NodeRecord {
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    NodeRecord {
        node: name(number),
        incarnation: Incarnation::new(incarnation),
        attachment: 1,
        revision: 1,
        data_centre: "wa-west-a".try_into().expect("a valid name"),
        peer_address: address,
        mesh_address: address,
        parent: None,
        announcements: vec![common::announcement(
            SocketAddr::from(([127, 0, 0, 1], 9_000)),
            incarnation,
        )],
    }
}

#[test]
fn a_lost_node_is_kept_until_its_lease_ends() {
    let mut table = NodeTable::default();
    let relay = record(1, 1, 1);
    let mut child = record(2, 1, 2);
    child.parent = Some(name(1));
    table.insert_record(START, relay.clone());
    table.insert_record(START, child.clone());
    table.mark_lost(START, &LostNode::new(&relay, false));
    table.expire(START + REATTACH_LEASE / 2, std::iter::empty());
    assert_eq!(table.servers(START).len(), 2);
    table.expire(START + REATTACH_LEASE, std::iter::empty());
    assert_eq!(table.nodes().collect::<Vec<_>>(), [&name(2)]);
    table.expire(START + ORPHAN_LEASE, std::iter::empty());
    assert!(table.is_empty());
}

#[test]
fn a_loss_at_an_older_attachment_is_ignored() {
    let mut table = NodeTable::default();
    let old = record(1, 1, 1);
    let mut new = old.clone();
    new.attachment = 2;
    table.insert_record(START, new.clone());
    table.insert_record(START, old.clone());
    table.mark_lost(START, &LostNode::new(&old, false));
    assert_eq!(table.lost().count(), 0);
    table.expire(START + ORPHAN_LEASE, std::iter::once(&new));
    assert_eq!(table.attached().collect::<Vec<_>>(), [&new]);
}

#[test]
fn an_announcement_of_an_older_incarnation_is_ignored() {
    let mut table = NodeTable::default();
    table.insert_record(START, record(1, 5, 1));
    let mut late = record(1, 5, 1);
    late.revision = 2;
    late.announcements[0].incarnation = Incarnation::new(4);
    table.insert_record(START, late);
    assert!(table.servers(START).is_empty());
}

#[test]
fn of_two_nodes_on_one_address_the_later_incarnation_wins() {
    let mut table = NodeTable::default();
    table.insert_record(START, record(1, 7, 1));
    table.insert_record(START, record(2, 3, 1));
    let servers = table.servers(START);
    let nodes: Vec<_> = servers.keys().map(|id| id.node.clone()).collect();
    assert_eq!(nodes, [name(1)]);
    assert!(table.clashes().contains(&name(2)));
}

#[test]
fn a_server_that_starts_too_often_is_suppressed_for_a_while() {
    let mut table = NodeTable::default();
    for incarnation in 1..=4 {
        table.insert_record(START, record(1, incarnation, 1));
    }
    assert!(
        table.servers(START).is_empty(),
        "the fourth start is suppressed"
    );
    let later = START + Duration::from_secs(6);
    assert_eq!(table.servers(later).len(), 1);
}

/// Guards against backend servers that are hidden, although they ran all the while, because their nodes
/// started again several times.
#[test]
fn starts_of_a_node_are_no_starts_of_its_server() {
    let mut table = NodeTable::default();
    for start in 1..=8 {
        let now = START + Duration::from_secs(6 * start);
        let mut started = record(1, start, 1);
        started.announcements.clear();
        table.insert_record(now, started);
        let mut announced = record(1, start, 1);
        announced.revision = 2;
        announced.announcements[0].incarnation = Incarnation::new(1);
        table.insert_record(now, announced);
        assert_eq!(table.servers(now).len(), 1, "start {start} of the node");
    }
}

/// Guards against backend servers that are hidden because their lease ended several times, for example
/// while a link lost packets.
#[test]
fn ends_of_a_lease_are_no_starts_of_a_server() {
    let mut table = NodeTable::default();
    let mut current = record(1, 1, 1);
    let announcements = current.announcements.clone();
    for turn in 1..=8 {
        let now = START + Duration::from_secs(6 * turn);
        current.announcements = announcements.clone();
        current.revision += 1;
        table.insert_record(now, current.clone());
        assert_eq!(table.servers(now).len(), 1, "turn {turn}");
        current.announcements.clear();
        current.revision += 1;
        table.insert_record(now, current.clone());
    }
}

/// Guards against damping that a server escapes by another identity with each of its starts.
#[test]
fn starts_under_new_identities_are_damped() {
    let mut table = NodeTable::default();
    for start in 1..=4 {
        let mut started = record(1, 1, 1);
        started.revision = start;
        let instance = InstanceId::try_from(format!("i-{start}")).expect("a valid name");
        started.announcements[0].instance = Some(instance);
        table.insert_record(START, started);
    }
    assert!(table.servers(START).is_empty());
}

#[test]
fn many_nodes_are_admitted_at_their_reserved_times() {
    let mut limiter = AttachLimiter::new(100);
    let mut reservations = Vec::new();
    for number in 0..300 {
        if let Err(wait) = limiter.admit(START, &name(number)) {
            reservations.push((START + wait, name(number)));
        }
    }
    assert!(
        reservations.len() >= 250,
        "most of the nodes are told to wait"
    );
    let last = reservations.last().expect("a reservation").0;
    assert!(
        last <= START + Duration::from_secs(4),
        "the last reservation exceeds the rate"
    );
    for (index, (admit_at, node)) in reservations.iter().enumerate() {
        let newcomer = name(1_000 + u32::try_from(index).expect("the index fits"));
        assert!(
            limiter.admit(*admit_at, &newcomer).is_err(),
            "nodes with a reservation go first"
        );
        assert_eq!(limiter.admit(*admit_at, node), Ok(()));
    }
}

#[test]
fn a_run_that_has_drained_is_not_up_again_after_a_restart_of_its_node() {
    let mut table = NodeTable::default();
    let mut draining = record(1, 1, 1);
    draining.announcements[0].state = MemberState::Draining;
    table.insert_record(START, draining.clone());
    let state_of = |table: &NodeTable| {
        let servers = table.servers(START);
        let member = servers.values().next().expect("a server");
        member.announcement.state
    };
    assert_eq!(state_of(&table), MemberState::Draining);

    let mut restarted = record(1, 2, 1);
    restarted.announcements[0].incarnation = Incarnation::new(1);
    table.insert_record(START, restarted.clone());
    assert_eq!(state_of(&table), MemberState::Draining);

    // A successor at the same address is not affected.
    restarted.revision = 2;
    restarted.announcements[0].incarnation = Incarnation::new(2);
    table.insert_record(START, restarted);
    assert_eq!(state_of(&table), MemberState::Up);
}

/// Guards against a leader that lets a run take calls whose departure an earlier leader has
/// acknowledged, because the node beside it and the leader started again.
#[test]
fn a_run_whose_departure_is_in_the_log_is_not_up_under_a_new_leader() {
    let mut table = NodeTable::default();
    let mut record = record(1, 2, 1);
    record.announcements[0].incarnation = Incarnation::new(1);
    let mut recorded = DrainedRuns::new();
    let departure = Departure::from(&record.announcements[0]);
    recorded.record(&record.node, &departure);
    table.set_recorded_departures(Arc::new(recorded));
    let state_of = |table: &NodeTable| {
        let servers = table.servers(START);
        let member = servers.values().next().expect("a server");
        member.announcement.state
    };
    table.insert_record(START, record.clone());
    assert_eq!(state_of(&table), MemberState::Draining);

    record.revision = 2;
    record.announcements[0].incarnation = Incarnation::new(2);
    table.insert_record(START, record);
    assert_eq!(state_of(&table), MemberState::Up);
}
