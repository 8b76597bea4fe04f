//! The search of a node for a parent on links on which answers are slow.

mod common;

use std::{net::SocketAddr, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use trefoillock_control::{
    ChildKey, ChildState, ConfigId, ConfigUpdate, ControlEffect, ControlMachine, ControlState,
    DownMessage, HeldVersions, Hello, LeadershipRole, LinkEnd, LinkId, MinVersions, NodeEffect,
    NodeIdentity, NodeMachine, NodeRecord, ParentAddress, ParentEvent, Payload, Repair, Report,
    ReportReply, UpMessage, Update,
    timing::{ATTACH_TIMEOUT, SILENCE_TIMEOUT},
};
use trefoillock_core::{ConfigVersion, Incarnation, MembersVersion, Timestamp};

const START: Timestamp = Timestamp::from_secs(1_000);
const NODE: ChildKey = ChildKey::new(1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Returns a node that knows three control replicas.
fn node() -> NodeMachine {
    let identity = NodeIdentity {
        node: "vm-1".try_into().expect("a valid name"),
        incarnation: Incarnation::new(1),
        data_centre: "wa-west-a".try_into().expect("a valid name"),
        peer_address: address(9),
        mesh_address: address(9),
    };
    let control = vec![address(1), address(2), address(3)];
    NodeMachine::new(identity, control, Pcg64Mcg::seed_from_u64(1))
}

/// Runs the timers and returns the connection that the node opens.
fn opened(node: &mut NodeMachine, now: Timestamp) -> Option<(LinkId, SocketAddr)> {
    node.on_tick(now);
    node.take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            NodeEffect::OpenLink(link, parent) => Some((link, parent.address)),
            _ => None,
        })
}

/// Returns the attachment numbers of the states that a node sent on a connection.
fn sent_attachments(effects: &[NodeEffect], on: LinkId) -> Vec<u64> {
    let attachment = |effect: &NodeEffect| match effect {
        NodeEffect::SendUp(link, UpMessage::Hello(hello)) if *link == on => {
            Some(hello.record.attachment)
        }
        _ => None,
    };
    effects.iter().filter_map(attachment).collect()
}

fn delta(from: u64, to: u64) -> Update {
    let delta = common::config(from).delta_to(&common::config(to));
    Update {
        config: vec![Payload::encode(&ConfigUpdate::Delta(delta))],
        members: Vec::new(),
    }
}

/// Returns a node that serves version 1, and the address of its parent, a control replica.
fn attached_node() -> (NodeMachine, SocketAddr) {
    let mut node = node();
    let (link, parent) = opened(&mut node, START).expect("a connection");
    node.on_parent_message(START, link, &DownMessage::Welcome);
    let snapshot = ConfigUpdate::Snapshot(common::config(1).as_ref().clone());
    let update = Update {
        config: vec![Payload::encode(&snapshot)],
        members: Vec::new(),
    };
    node.on_parent_message(START, link, &DownMessage::Update(update));
    let reply = ReportReply {
        confirmed_round: 1,
        min_versions: MinVersions {
            config: ConfigVersion::new(1),
            members: MembersVersion::default(),
        },
        acknowledged_evidence: 0,
        needs_hello: false,
        searching_ms: 0,
        route: None,
    };
    node.on_parent_message(START, link, &DownMessage::ReportReply(Box::new(reply)));
    assert!(node.config().is_some());
    node.take_effects();
    (node, parent)
}

#[test]
fn an_attempt_goes_on_beside_the_next_one() {
    let mut node = node();
    let (first, _) = opened(&mut node, START).expect("a connection");
    let later = START + ATTACH_TIMEOUT;
    let (second, _) = opened(&mut node, later).expect("another connection");
    node.on_parent_message(later, first, &DownMessage::Welcome);
    assert!(node.is_attached());
    let effects = node.take_effects();
    assert!(effects.contains(&NodeEffect::CloseLink(second)));
    assert!(!effects.contains(&NodeEffect::CloseLink(first)));
}

#[test]
fn a_node_that_an_earlier_attempt_attached_sends_its_state_as_the_newest_attachment() {
    let mut node = node();
    let (first, _) = opened(&mut node, START).expect("a connection");
    let later = START + ATTACH_TIMEOUT;
    node.on_tick(later);
    let second = node.take_effects().into_iter().find_map(|e| match e {
        NodeEffect::SendUp(_, UpMessage::Hello(hello)) => Some(hello.record.attachment),
        _ => None,
    });
    let second = second.expect("another state");
    node.on_parent_message(later, first, &DownMessage::Welcome);
    let effects = node.take_effects();
    assert_eq!(sent_attachments(&effects, first), [second + 1]);
}

#[test]
fn a_node_that_the_latest_attempt_attached_does_not_send_its_state_again() {
    let mut node = node();
    node.on_tick(START);
    node.take_effects();
    let later = START + ATTACH_TIMEOUT;
    let (second, _) = opened(&mut node, later).expect("another connection");
    node.on_parent_message(later, second, &DownMessage::Welcome);
    assert!(sent_attachments(&node.take_effects(), second).is_empty());
}

#[test]
fn a_silent_control_replica_is_asked_last() {
    let (mut node, lost) = attached_node();
    let mut now = START + SILENCE_TIMEOUT;
    let mut asked = Vec::new();
    while asked.len() < 3 {
        now = now + Duration::from_millis(50);
        if let Some((link, address)) = opened(&mut node, now) {
            asked.push(address);
            node.on_link_closed(now, link, LinkEnd::Closed);
        }
    }
    assert_eq!(asked[2], lost, "{asked:?}");
    assert!(!asked[..2].contains(&lost), "{asked:?}");
    let events = node.take_parent_events();
    let is_silent = |event: &ParentEvent| {
        matches!(event, ParentEvent::Lost { parent, reason: LinkEnd::Silent, .. }
            if parent.address == lost)
    };
    assert!(events.iter().any(is_silent), "{events:?}");
}

#[test]
fn a_node_serves_the_changes_of_a_replica_that_redirects_it() {
    let (mut node, _) = attached_node();
    let mut now = START + SILENCE_TIMEOUT;
    let asked = loop {
        now = now + Duration::from_millis(50);
        if let Some((link, _)) = opened(&mut node, now) {
            break link;
        }
    };
    node.on_parent_message(now, asked, &DownMessage::Update(delta(1, 2)));
    let version = node.config().map(|config| config.version());
    assert_eq!(version, Some(ConfigVersion::new(2)));
    assert!(!node.is_attached());
}

#[test]
fn a_follower_sends_the_changes_that_a_node_lacks_before_it_redirects_the_node() {
    let mut machine = ControlMachine::new(address(1));
    let leader = ParentAddress::control(address(2));
    for version in [1, 2] {
        let state = ControlState {
            role: LeadershipRole::Following {
                leader: Some(leader.address),
            },
            config: common::config(version),
            replicas: vec![address(1), address(2)],
        };
        machine.set_state(START, &state);
    }
    machine.on_child_message(START, NODE, &hello_with_version_1());
    let expected = [
        ControlEffect::Send(NODE, DownMessage::Update(delta(1, 2))),
        ControlEffect::Send(NODE, DownMessage::Redirect(leader)),
        ControlEffect::Close(NODE),
    ];
    assert_eq!(machine.take_effects(), expected);
}

fn hello_with_version_1() -> UpMessage {
    let record = NodeRecord {
        node: "vm-1".try_into().expect("a valid name"),
        incarnation: Incarnation::new(1),
        attachment: 1,
        revision: 1,
        data_centre: "wa-west-a".try_into().expect("a valid name"),
        peer_address: address(9),
        mesh_address: address(9),
        parent: None,
        announcements: Vec::new(),
    };
    let held = HeldVersions {
        config: ConfigId::from(common::config(1).as_ref()),
        members: MembersVersion::default(),
    };
    let report = Report {
        sequence: 0,
        round: 1,
        awaits_confirmation: false,
        repair: Repair::None,
        state: Some(ChildState {
            held,
            ..ChildState::default()
        }),
        changes: Vec::new(),
        evidence: None,
    };
    UpMessage::Hello(Box::new(Hello {
        record,
        is_probe: false,
        avoid: None,
        subtree: Vec::new(),
        report,
    }))
}
