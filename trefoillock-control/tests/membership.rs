//! Leases, clashes, ended runs, flapping, and admission of a herd.

mod common;

use std::{net::SocketAddr, time::Duration};

use trefoillock_control::{
    Admission, LostNode, MemberTable, NodeRecord,
    timing::{ORPHAN_LEASE, REATTACH_LEASE},
};
use trefoillock_core::{Incarnation, NodeId, Timestamp};

const START: Timestamp = Timestamp::from_secs(1_000);

fn name(at: u32) -> NodeId {
    format!("vm-{at}").try_into().expect("a name")
}

fn record(at: u32, run: u64, port: u16) -> NodeRecord {
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    NodeRecord {
        node: name(at),
        incarnation: Incarnation::new(run),
        attachment: 1,
        revision: 1,
        data_centre: "wa-west-a".try_into().expect("a name"),
        peer_address: address,
        mesh_address: address,
        parent: None,
        announcements: vec![common::announcement(
            SocketAddr::from(([127, 0, 0, 1], 9_000)),
            run,
        )],
    }
}

#[test]
fn a_lost_node_keeps_its_place_until_its_lease_ends() {
    let mut table = MemberTable::default();
    let relay = record(1, 1, 1);
    let mut child = record(2, 1, 2);
    child.parent = Some(name(1));
    table.join(START, relay.clone());
    table.join(START, child.clone());
    table.leave(START, &LostNode::new(&relay, false));
    table.expire(START + REATTACH_LEASE / 2, std::iter::empty());
    assert_eq!(table.servers(START).len(), 2);
    table.expire(START + REATTACH_LEASE, std::iter::empty());
    assert_eq!(table.nodes().collect::<Vec<_>>(), [&name(2)]);
    table.expire(START + ORPHAN_LEASE, std::iter::empty());
    assert!(table.is_empty());
}

#[test]
fn a_loss_at_an_older_attachment_is_ignored() {
    let mut table = MemberTable::default();
    let old = record(1, 1, 1);
    let mut new = old.clone();
    new.attachment = 2;
    table.join(START, new.clone());
    table.join(START, old.clone());
    table.leave(START, &LostNode::new(&old, false));
    assert_eq!(table.lost().count(), 0);
    table.expire(START + ORPHAN_LEASE, std::iter::once(&new));
    assert_eq!(table.attached().collect::<Vec<_>>(), [&new]);
}

#[test]
fn an_announcement_of_an_ended_run_is_ignored() {
    let mut table = MemberTable::default();
    table.join(START, record(1, 5, 1));
    let mut late = record(1, 5, 1);
    late.revision = 2;
    late.announcements[0].incarnation = Incarnation::new(4);
    table.join(START, late);
    assert!(table.servers(START).is_empty());
}

#[test]
fn of_two_nodes_on_one_address_the_later_run_wins() {
    let mut table = MemberTable::default();
    table.join(START, record(1, 7, 1));
    table.join(START, record(2, 3, 1));
    let servers = table.servers(START);
    let nodes: Vec<_> = servers.keys().map(|id| id.node.clone()).collect();
    assert_eq!(nodes, [name(1)]);
    assert!(table.clashes().contains(&name(2)));
}

#[test]
fn a_server_that_starts_too_often_is_held_back_for_a_while() {
    let mut table = MemberTable::default();
    for run in 1..=4 {
        table.join(START, record(1, run, 1));
    }
    assert!(table.servers(START).is_empty(), "the fourth start is held");
    let later = START + Duration::from_secs(6);
    assert_eq!(table.servers(later).len(), 1);
}

#[test]
fn a_herd_is_admitted_in_turn_and_nobody_is_starved() {
    let mut admission = Admission::new(100);
    let mut turns = Vec::new();
    for at in 0..300 {
        if let Err(wait) = admission.admit(START, &name(at)) {
            turns.push((START + wait, name(at)));
        }
    }
    assert!(turns.len() >= 250, "most of the herd is told to wait");
    let last = turns.last().expect("a turn").0;
    assert!(last <= START + Duration::from_secs(4), "the rate is kept");
    for (at, (turn, node)) in turns.iter().enumerate() {
        let newcomer = name(1_000 + u32::try_from(at).expect("small"));
        assert!(
            admission.admit(*turn, &newcomer).is_err(),
            "the queue goes first"
        );
        assert_eq!(admission.admit(*turn, node), Ok(()));
    }
}
