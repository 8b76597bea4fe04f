//! The relay part of a node: accepts children, aggregates their reports and replies to them.

use std::time::Duration;

use trefoillock_core::Timestamp;

use super::{MAX_ALTERNATES, NodeEffect, NodeMachine};
use crate::{
    ChildKey, DownMessage, Hello, Route, UpMessage,
    distributor::{ReportedChanges, retry_message},
    timing::MAX_CHILDREN,
};

/// The delay after which a child asks again if the relay cannot accept it.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl NodeMachine {
    /// Handles a message of a child.
    pub fn on_child_message(&mut self, now: Timestamp, key: ChildKey, message: &UpMessage) {
        let next_round = self.round + 1;
        let is_known = self.distributor.contains(key);
        let acks_before = self.distributor.acks_of(key).cloned();
        match message {
            UpMessage::Hello(hello) => {
                if !is_known && let Err(rejection) = self.admit(now, hello) {
                    self.effects.push(NodeEffect::SendDown(key, rejection));
                    self.effects.push(NodeEffect::CloseChild(key));
                    return;
                }
                let (reported, older) = self.distributor.on_hello(now, key, hello, next_round);
                self.effects.extend(older.map(NodeEffect::CloseChild));
                if !is_known && self.distributor.contains(key) {
                    self.effects
                        .push(NodeEffect::SendDown(key, DownMessage::Welcome));
                }
                self.process_changes(now, key, reported);
            }
            UpMessage::Report(report) if is_known => {
                let reported = self.distributor.on_report(now, key, report, next_round);
                self.process_changes(now, key, reported);
            }
            UpMessage::Report(_) => self.effects.push(NodeEffect::CloseChild(key)),
        }
        self.needs_early_report |= self.distributor.acks_of(key) != acks_before.as_ref();
        self.send_due_report(now);
    }

    fn admit(&mut self, now: Timestamp, hello: &Hello) -> Result<(), DownMessage> {
        let holds_nothing = self.config.held().is_none() && self.uplink.attached().is_none();
        let is_full = self.distributor.len() >= MAX_CHILDREN;
        let node = &hello.record.node;
        let is_above = *node == self.record.node || self.path.contains(node);
        if holds_nothing || is_full || is_above || hello.is_probe {
            return Err(retry_message(RETRY_DELAY));
        }
        let admitted = self.attach_limiter.admit(now, &hello.record.node);
        admitted.map_err(retry_message)
    }

    fn process_changes(&mut self, now: Timestamp, key: ChildKey, reported: ReportedChanges) {
        for change in reported.changes {
            self.queue_change(change);
        }
        if let Some(batch) = reported.evidence {
            self.needs_early_report |= !batch.crashes.is_empty();
            self.evidence_outbox.add(&batch.evidence, batch.crashes);
            self.needs_early_report |= self.evidence_outbox.is_urgent();
        }
        self.needs_early_report |= self.distributor.awaits_confirmation();
        self.send_reply(now, key);
        if let Some(update) = self.distributor.due_update(now, key) {
            self.effects.push(NodeEffect::SendDown(key, update));
        }
    }

    fn send_reply(&mut self, now: Timestamp, key: ChildKey) {
        let is_attached = self.uplink.attached().is_some();
        let mut route = Route {
            path: if is_attached {
                self.path.clone()
            } else {
                Vec::new()
            },
            alternates: self.uplink.parent_relay().into_iter().collect(),
            control: self.uplink.learned_control().to_vec(),
        };
        route.path.push(self.record.node.clone());
        route.alternates.extend(&self.alternates);
        route.alternates.truncate(MAX_ALTERNATES);
        let searching = self.uplink.search_duration(now);
        if let Some(reply) = self
            .distributor
            .reply(key, self.min_versions, searching, route)
        {
            let reply = DownMessage::ReportReply(Box::new(reply));
            self.effects.push(NodeEffect::SendDown(key, reply));
        }
    }

    /// Tells all children that the path to the leader has changed.
    pub(super) fn reply_to_children(&mut self, now: Timestamp) {
        let children: Vec<ChildKey> = self.distributor.children().map(|(key, _)| key).collect();
        for key in children {
            self.send_reply(now, key);
        }
    }

    /// Replies at once to children that serve nothing until a round is confirmed.
    pub(super) fn reply_to_awaiting_children(&mut self, now: Timestamp) {
        let children = self.distributor.children();
        let awaiting: Vec<ChildKey> = children
            .filter(|(_, child)| child.awaits_confirmation())
            .map(|(key, _)| key)
            .collect();
        for key in awaiting {
            self.send_reply(now, key);
        }
    }

    /// Handles the end of a child's connection.
    pub fn on_child_closed(&mut self, key: ChildKey) {
        if let Some(lost) = self.distributor.remove(key) {
            self.queue_change(lost);
        }
    }
}
