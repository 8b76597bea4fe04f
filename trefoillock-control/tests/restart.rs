//! After a restart a node serves no configuration older than what it may have served before.
//!
//! Guards against a node that attaches to a relay lagging behind the leader and serves the relay's
//! configuration although no leader has confirmed it since the restart.

mod common;

use std::{net::SocketAddr, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use trefoillock_control::{
    ChildKey, ConfigUpdate, DownMessage, LinkId, MinVersions, NodeEffect, NodeIdentity,
    NodeMachine, Payload, ReportReply, UpMessage, Update,
};
use trefoillock_core::{ConfigVersion, Incarnation, MembersVersion, Timestamp};

const START: Timestamp = Timestamp::from_secs(1_000);
const KEY: ChildKey = ChildKey::new(1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn node(name: &str, port: u16) -> NodeMachine {
    let identity = NodeIdentity {
        node: name.try_into().expect("a valid name"),
        incarnation: Incarnation::new(1),
        data_centre: "wa-west-a".try_into().expect("a valid name"),
        peer_address: address(port),
        mesh_address: address(port),
    };
    NodeMachine::new(identity, vec![address(1)], Pcg64Mcg::seed_from_u64(1))
}

/// Returns the messages that a node sent to its parent, with their links.
fn sent_up(node: &mut NodeMachine) -> Vec<(LinkId, UpMessage)> {
    let effects = node.take_effects().into_iter();
    let sent = effects.filter_map(|effect| match effect {
        NodeEffect::SendUp(link, message) => Some((link, message)),
        _ => None,
    });
    sent.collect()
}

fn round_of(messages: &[(LinkId, UpMessage)]) -> u64 {
    match &messages.last().expect("a report").1 {
        UpMessage::Hello(hello) => hello.report.round,
        UpMessage::Report(report) => report.round,
    }
}

fn update(version: u64) -> DownMessage {
    let snapshot = ConfigUpdate::Snapshot(common::config(version).as_ref().clone());
    DownMessage::Update(Update {
        config: vec![Payload::encode(&snapshot)],
        members: Vec::new(),
    })
}

fn reply(round: u64, version: u64) -> DownMessage {
    DownMessage::ReportReply(Box::new(ReportReply {
        confirmed_round: round,
        min_versions: MinVersions {
            config: ConfigVersion::new(version),
            members: MembersVersion::default(),
        },
        acknowledged_evidence: 0,
        searching_ms: 0,
        needs_hello: false,
        route: None,
    }))
}

/// Delivers the messages that a relay sent to its child.
fn deliver_down(now: Timestamp, relay: &mut NodeMachine, child: &mut NodeMachine, link: LinkId) {
    for effect in relay.take_effects() {
        if let NodeEffect::SendDown(_, message) = effect {
            child.on_parent_message(now, link, &message);
        }
    }
}

fn served_version(node: &NodeMachine) -> Option<u64> {
    node.config().map(|config| config.version().get())
}

#[test]
fn a_restarted_node_serves_no_older_version_of_a_lagging_relay() {
    let mut relay = node("relay", 2);
    relay.on_tick(START);
    let hello = sent_up(&mut relay);
    let to_leader = hello[0].0;
    relay.on_parent_message(START, to_leader, &DownMessage::Welcome);
    relay.on_parent_message(START, to_leader, &update(1));
    relay.on_parent_message(START, to_leader, &reply(round_of(&hello), 1));
    assert_eq!(served_version(&relay), Some(1));
    let earlier_round = round_of(&sent_up(&mut relay));

    // The child served version 5 before its restart; the relay has not received that version.
    let now = START + Duration::from_millis(100);
    let mut child = node("child", 3);
    child.on_tick(now);
    let hello = sent_up(&mut child);
    let to_relay = hello[0].0;
    relay.on_child_message(now, KEY, &hello[0].1);
    let mut effects = Vec::new();
    for effect in relay.take_effects() {
        match effect {
            NodeEffect::SendDown(_, message) => child.on_parent_message(now, to_relay, &message),
            other => effects.push(other),
        }
    }
    let requested_round = effects.iter().find_map(|effect| match effect {
        NodeEffect::SendUp(_, UpMessage::Report(report)) => Some(report.round),
        _ => None,
    });
    let requested_round =
        requested_round.expect("the relay sends its confirmation request at once");
    assert_eq!(child.held_versions().config.version.get(), 1);
    assert_eq!(served_version(&child), None, "nothing was confirmed yet");

    // A confirmation of a round that the relay started before the child asked must not confirm
    // the child's round.
    relay.on_parent_message(now, to_leader, &reply(earlier_round, 1));
    deliver_down(now, &mut relay, &mut child, to_relay);
    child.on_tick(now + Duration::from_millis(100));
    assert_eq!(
        served_version(&child),
        None,
        "the confirmed round is older than the child's request"
    );

    relay.on_parent_message(now, to_leader, &reply(requested_round, 5));
    deliver_down(now, &mut relay, &mut child, to_relay);
    assert_eq!(
        served_version(&child),
        None,
        "version 1 is lower than the leader's version 5"
    );

    relay.on_parent_message(now, to_leader, &update(5));
    deliver_down(now, &mut relay, &mut child, to_relay);
    assert_eq!(served_version(&child), Some(5));
}
