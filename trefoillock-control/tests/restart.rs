//! A node that restarts serves nothing older than what it may have served before.

mod common;

use std::{net::SocketAddr, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use trefoillock_control::{
    Beat, ChildKey, ConfigUpdate, DownMessage, Floor, LinkId, NodeEffect, NodeIdentity,
    NodeMachine, Payload, UpMessage, Update,
};
use trefoillock_core::{ConfigVersion, Incarnation, MembersVersion, Timestamp};

const START: Timestamp = Timestamp::from_secs(1_000);
const KEY: ChildKey = ChildKey::new(1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn node(name: &str, port: u16) -> NodeMachine {
    let identity = NodeIdentity {
        node: name.try_into().expect("a name"),
        incarnation: Incarnation::new(1),
        data_centre: "wa-west-a".try_into().expect("a name"),
        peer_address: address(port),
        mesh_address: address(port),
    };
    NodeMachine::new(identity, vec![address(1)], Pcg64Mcg::seed_from_u64(1))
}

/// The link that a node opened, and what it sent up.
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

fn beat(round: u64, version: u64) -> DownMessage {
    DownMessage::Beat(Box::new(Beat {
        confirmed_round: round,
        floor: Floor {
            config: ConfigVersion::new(version),
            members: MembersVersion::default(),
        },
        evidence_taken: 0,
        wants_hello: false,
        route: None,
    }))
}

/// Passes what a relay sends to its child on.
fn pass_down(now: Timestamp, relay: &mut NodeMachine, child: &mut NodeMachine, link: LinkId) {
    for effect in relay.take_effects() {
        if let NodeEffect::SendDown(_, message) = effect {
            child.on_down(now, link, &message);
        }
    }
}

fn served(node: &NodeMachine) -> Option<u64> {
    node.config().map(|config| config.version().get())
}

#[test]
fn a_relay_that_is_behind_does_not_take_a_restarted_node_back() {
    let mut relay = node("relay", 2);
    relay.on_tick(START);
    let hello = sent_up(&mut relay);
    let to_leader = hello[0].0;
    relay.on_down(START, to_leader, &DownMessage::Welcome);
    relay.on_down(START, to_leader, &update(1));
    relay.on_down(START, to_leader, &beat(round_of(&hello), 1));
    assert_eq!(served(&relay), Some(1));
    let before = round_of(&sent_up(&mut relay));

    // The child served version 5 before it restarted; the relay has not heard of it.
    let now = START + Duration::from_millis(100);
    let mut child = node("child", 3);
    child.on_tick(now);
    let hello = sent_up(&mut child);
    let to_relay = hello[0].0;
    relay.on_child_message(now, KEY, &hello[0].1);
    let mut effects = Vec::new();
    for effect in relay.take_effects() {
        match effect {
            NodeEffect::SendDown(_, message) => child.on_down(now, to_relay, &message),
            other => effects.push(other),
        }
    }
    let asked = effects.iter().find_map(|effect| match effect {
        NodeEffect::SendUp(_, UpMessage::Report(report)) => Some(report.round),
        _ => None,
    });
    let asked = asked.expect("the relay asks the leader at once");
    assert_eq!(child.held().config.version.get(), 1);
    assert_eq!(served(&child), None, "nothing was confirmed yet");

    // An answer to a question from before the child asked says nothing about the child.
    relay.on_down(now, to_leader, &beat(before, 1));
    pass_down(now, &mut relay, &mut child, to_relay);
    child.on_tick(now + Duration::from_millis(100));
    assert_eq!(
        served(&child),
        None,
        "the answer is older than the child's question"
    );

    relay.on_down(now, to_leader, &beat(asked, 5));
    pass_down(now, &mut relay, &mut child, to_relay);
    assert_eq!(
        served(&child),
        None,
        "version 1 is below what the leader has"
    );

    relay.on_down(now, to_leader, &update(5));
    pass_down(now, &mut relay, &mut child, to_relay);
    assert_eq!(served(&child), Some(5));
}
