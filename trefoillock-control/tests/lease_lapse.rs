//! A leader whose lease lapses without being replaced keeps its nodes, but confirms nothing.

mod common;

use std::{net::SocketAddr, time::Duration};

use trefoillock_control::{
    ChildKey, ChildState, ControlEffect, ControlMachine, ControlState, DownMessage, Hello,
    LeadershipRole, NodeRecord, Repair, Report, UpMessage,
};
use trefoillock_core::{Incarnation, Term, Timestamp};

const START: Timestamp = Timestamp::from_secs(1_000);
const NODE: ChildKey = ChildKey::new(1);
const OTHER_NODE: ChildKey = ChildKey::new(2);
const LEADING: LeadershipRole = LeadershipRole::Leading { term: Term::new(3) };
const UNCONFIRMED: LeadershipRole = LeadershipRole::Unconfirmed { term: Term::new(3) };

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 9], port))
}

fn set_role(machine: &mut ControlMachine, now: Timestamp, role: LeadershipRole) {
    let state = ControlState {
        role,
        config: common::config(1),
        replicas: vec![address(7_000)],
    };
    machine.set_state(now, &state);
}

fn report(sequence: u64) -> Report {
    Report {
        sequence,
        round: sequence + 1,
        awaits_confirmation: false,
        repair: Repair::None,
        state: Some(ChildState::default()),
        changes: Vec::new(),
        evidence: None,
    }
}

fn hello(name: &str, port: u16) -> UpMessage {
    let record = NodeRecord {
        node: name.try_into().expect("a valid name"),
        incarnation: Incarnation::new(1),
        attachment: 1,
        revision: 1,
        data_centre: "wa-west-a".try_into().expect("a valid name"),
        peer_address: address(port),
        mesh_address: address(port),
        parent: None,
        announcements: Vec::new(),
    };
    UpMessage::Hello(Box::new(Hello {
        record,
        is_probe: false,
        avoid: None,
        subtree: Vec::new(),
        report: report(0),
    }))
}

/// Returns a leader with one node whose first round it has confirmed.
fn leader_with_node() -> ControlMachine {
    let mut machine = ControlMachine::new(address(7_000));
    set_role(&mut machine, START, LEADING);
    machine.on_child_message(START, NODE, &hello("vm-1", 7_001));
    assert_eq!(confirmed_rounds(&mut machine), [1]);
    machine
}

fn confirmed_rounds(machine: &mut ControlMachine) -> Vec<u64> {
    let effects = machine.take_effects().into_iter();
    let rounds = effects.filter_map(|effect| match effect {
        ControlEffect::Send(NODE, DownMessage::ReportReply(reply)) => Some(reply.confirmed_round),
        _ => None,
    });
    rounds.collect()
}

fn is_closed(machine: &mut ControlMachine, key: ChildKey) -> bool {
    machine.take_effects().contains(&ControlEffect::Close(key))
}

#[test]
fn an_unconfirmed_leader_keeps_its_nodes_and_confirms_no_round() {
    let mut machine = leader_with_node();
    let now = START + Duration::from_millis(100);
    set_role(&mut machine, now, UNCONFIRMED);
    assert!(!machine.is_leading());
    let next_report = UpMessage::Report(Box::new(report(1)));
    machine.on_child_message(now, NODE, &next_report);
    machine.on_tick(now);
    assert_eq!(confirmed_rounds(&mut machine), [1]);
    assert_eq!(machine.child_count(), 1);

    set_role(&mut machine, now, LEADING);
    let next_report = UpMessage::Report(Box::new(report(2)));
    machine.on_child_message(now, NODE, &next_report);
    assert_eq!(confirmed_rounds(&mut machine), [3]);
}

#[test]
fn an_unconfirmed_leader_publishes_no_member_list() {
    let mut machine = leader_with_node();
    set_role(&mut machine, START, UNCONFIRMED);
    let before = machine.members().version;
    machine.on_tick(START + Duration::from_secs(1));
    assert_eq!(machine.members().version, before);
}

#[test]
fn a_replaced_leader_rejects_its_nodes() {
    for role in [
        LeadershipRole::Following { leader: None },
        LeadershipRole::Unconfirmed { term: Term::new(5) },
        LeadershipRole::Leading { term: Term::new(5) },
    ] {
        let mut machine = leader_with_node();
        set_role(&mut machine, START, UNCONFIRMED);
        set_role(&mut machine, START, role);
        assert!(is_closed(&mut machine, NODE), "{role:?}");
        assert_eq!(machine.child_count(), 0, "{role:?}");
    }
}

#[test]
fn a_node_that_asks_an_unconfirmed_leader_waits_for_the_confirmation() {
    let mut machine = leader_with_node();
    set_role(&mut machine, START, UNCONFIRMED);
    machine.on_child_message(START, OTHER_NODE, &hello("vm-2", 7_002));
    assert_eq!(machine.take_effects(), []);
    set_role(&mut machine, START, LEADING);
    let welcome = ControlEffect::Send(OTHER_NODE, DownMessage::Welcome);
    assert!(machine.take_effects().contains(&welcome));
}

#[test]
fn a_leader_whose_lease_has_ended_confirms_nothing_before_it_is_told_so() {
    let mut machine = leader_with_node();
    machine.set_lease_held(false);
    assert!(!machine.is_leading());
    let next_report = UpMessage::Report(Box::new(report(1)));
    machine.on_child_message(START, NODE, &next_report);
    machine.on_child_message(START, OTHER_NODE, &hello("vm-2", 7_002));
    let welcome = ControlEffect::Send(OTHER_NODE, DownMessage::Welcome);
    let effects = machine.take_effects();
    assert!(!effects.contains(&welcome));
    let confirmed = effects.iter().filter_map(|effect| match effect {
        ControlEffect::Send(_, DownMessage::ReportReply(reply)) => Some(reply.confirmed_round),
        _ => None,
    });
    assert_eq!(confirmed.max(), Some(1));

    machine.set_lease_held(true);
    machine.on_tick(START);
    assert!(machine.take_effects().contains(&welcome));
    let next_report = UpMessage::Report(Box::new(report(2)));
    machine.on_child_message(START, NODE, &next_report);
    assert_eq!(confirmed_rounds(&mut machine), [3]);
}
