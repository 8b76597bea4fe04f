//! The first seconds of a leader: nodes that wait for its election, and its first member list.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use trefoillock_control::{
    AckSummary, ChildKey, ChildState, ControlEffect, ControlMachine, ControlState, DownMessage,
    Hello, LeadershipRole, NodeRecord, Repair, Report, UpMessage,
    timing::{ATTACH_TIMEOUT, LEADER_GRACE, LEADER_GRACE_LIMIT},
};
use trefoillock_core::{Config, ConfigVersion, Incarnation, Term, Timestamp};

const START: Timestamp = Timestamp::from_secs(1_000);
const NODE: ChildKey = ChildKey::new(1);
const OTHER_NODE: ChildKey = ChildKey::new(2);

fn control_address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 9], 7_000))
}

fn machine() -> ControlMachine {
    ControlMachine::new(control_address())
}

fn state(role: LeadershipRole) -> ControlState {
    ControlState {
        role,
        config: Arc::new(Config::default()),
        replicas: vec![control_address()],
    }
}

fn leading_state() -> ControlState {
    state(LeadershipRole::Leading { term: Term::new(3) })
}

fn hello(servers_known: u32) -> UpMessage {
    hello_of(1, servers_known)
}

/// Returns the hello of a node that holds a member list with a number of backend servers.
fn hello_of(vm: u8, servers_known: u32) -> UpMessage {
    let address = SocketAddr::from(([10, 0, 0, vm], 7_000));
    let record = NodeRecord {
        node: format!("vm-{vm}").try_into().expect("a valid name"),
        incarnation: Incarnation::new(1),
        attachment: 1,
        revision: 1,
        data_centre: "wa-west-a".try_into().expect("a valid name"),
        peer_address: address,
        mesh_address: address,
        parent: None,
        announcements: vec![common::announcement(
            SocketAddr::from(([127, 0, 0, 1], 9_000)),
            1,
        )],
    };
    let mut acks = AckSummary::default();
    acks.add_node(ConfigVersion::ZERO);
    let state = ChildState {
        servers_known,
        acks,
        ..ChildState::default()
    };
    UpMessage::Hello(Box::new(Hello {
        record,
        is_probe: false,
        avoid: None,
        subtree: Vec::new(),
        report: Report {
            sequence: 1,
            round: 0,
            awaits_confirmation: false,
            repair: Repair::None,
            state: Some(state),
            changes: Vec::new(),
            evidence: None,
        },
    }))
}

fn is_welcomed(effects: &[ControlEffect]) -> bool {
    effects.contains(&ControlEffect::Send(NODE, DownMessage::Welcome))
}

/// Returns the time from the start of a leadership to its first member list.
fn time_to_first_list(servers_known: u32) -> Duration {
    let mut machine = machine();
    machine.set_state(START, &leading_state());
    machine.on_child_message(START, NODE, &hello(servers_known));
    let step = Duration::from_millis(10);
    let mut elapsed = Duration::ZERO;
    while machine.members().servers.is_empty() {
        elapsed += step;
        assert!(
            elapsed < Duration::from_secs(5),
            "no member list was published within 5 s"
        );
        machine.on_tick(START + elapsed);
    }
    elapsed
}

#[test]
fn a_waiting_node_is_accepted_once_the_replica_leads() {
    let mut machine = machine();
    machine.set_state(START, &state(LeadershipRole::Following { leader: None }));
    machine.on_child_message(START, NODE, &hello(0));
    assert_eq!(machine.take_effects(), []);
    let elected = START + Duration::from_millis(50);
    machine.set_state(elected, &leading_state());
    assert!(is_welcomed(&machine.take_effects()));
}

#[test]
fn a_waiting_node_is_redirected_once_another_replica_leads() {
    let mut machine = machine();
    machine.set_state(START, &state(LeadershipRole::Following { leader: None }));
    machine.on_child_message(START, NODE, &hello(0));
    let leader = Some(SocketAddr::from(([10, 0, 0, 8], 7_000)));
    machine.set_state(START, &state(LeadershipRole::Following { leader }));
    let effects = machine.take_effects();
    assert!(
        matches!(
            effects.as_slice(),
            [
                ControlEffect::Send(NODE, DownMessage::Redirect(_)),
                ControlEffect::Close(NODE)
            ]
        ),
        "{effects:?}"
    );
}

#[test]
fn a_waiting_node_is_disconnected_before_the_attach_timeout() {
    let mut machine = machine();
    machine.set_state(START, &state(LeadershipRole::Following { leader: None }));
    machine.on_child_message(START, NODE, &hello(0));
    machine.on_tick(START + ATTACH_TIMEOUT / 4);
    assert_eq!(machine.take_effects(), []);
    machine.on_tick(START + ATTACH_TIMEOUT * 3 / 4);
    assert_eq!(machine.take_effects(), [ControlEffect::Close(NODE)]);
}

#[test]
fn a_replica_without_a_membership_keeps_no_node_waiting() {
    let mut machine = machine();
    machine.on_child_message(START, NODE, &hello(0));
    assert_eq!(machine.take_effects(), [ControlEffect::Close(NODE)]);
}

#[test]
fn a_waiting_node_that_disconnected_is_not_accepted() {
    let mut machine = machine();
    machine.set_state(START, &state(LeadershipRole::Following { leader: None }));
    machine.on_child_message(START, NODE, &hello(0));
    machine.on_child_closed(START, NODE);
    machine.set_state(START, &leading_state());
    assert!(!is_welcomed(&machine.take_effects()));
}

#[test]
fn a_new_fleet_gets_its_first_member_list_before_the_leader_grace() {
    assert!(time_to_first_list(0) < LEADER_GRACE);
    assert!(time_to_first_list(1) >= LEADER_GRACE);
}

#[test]
fn a_version_is_not_in_force_before_a_new_leader_knows_the_fleet() {
    let mut machine = machine();
    let version = ConfigVersion::ZERO;
    machine.set_state(START, &leading_state());
    assert!(!machine.status().is_in_force(version));
    let attached_at = START + LEADER_GRACE_LIMIT / 2;
    machine.on_tick(attached_at);
    machine.on_child_message(attached_at, NODE, &hello(2));
    machine.on_tick(attached_at);
    assert!(!machine.status().is_in_force(version));
    let later = attached_at + Duration::from_secs(1);
    machine.on_child_message(later, OTHER_NODE, &hello_of(2, 2));
    machine.on_tick(later);
    assert!(machine.status().is_in_force(version));
}

#[test]
fn a_new_leader_publishes_no_member_list_before_a_node_has_attached() {
    let mut machine = machine();
    machine.set_state(START, &leading_state());
    machine.on_tick(START + LEADER_GRACE);
    machine.on_child_message(START + LEADER_GRACE, NODE, &hello(2));
    machine.on_tick(START + LEADER_GRACE * 2);
    assert!(machine.members().servers.is_empty());
}
