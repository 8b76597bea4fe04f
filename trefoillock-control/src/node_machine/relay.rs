//! The part of a node that serves children.

use std::time::Duration;

use trefoillock_core::Timestamp;

use super::{MAX_ALTERNATES, NodeEffect, NodeMachine};
use crate::{
    ChildKey, DownMessage, Hello, Route, UpMessage,
    distributor::{Taken, retry_after},
    timing::MAX_CHILDREN,
};

/// The time after which a child asks again if the relay cannot take it yet.
const RETRY: Duration = Duration::from_millis(200);

impl NodeMachine {
    /// Takes a message of a child.
    pub fn on_child_message(&mut self, now: Timestamp, key: ChildKey, message: &UpMessage) {
        let next_round = self.round + 1;
        let is_known = self.distributor.contains(key);
        match message {
            UpMessage::Hello(hello) => {
                if !is_known && let Err(answer) = self.admit(now, hello) {
                    self.effects.push(NodeEffect::SendDown(key, answer));
                    self.effects.push(NodeEffect::CloseChild(key));
                    return;
                }
                let (taken, older) = self.distributor.hello(now, key, hello, next_round);
                self.effects.extend(older.map(NodeEffect::CloseChild));
                if !is_known && self.distributor.contains(key) {
                    self.effects
                        .push(NodeEffect::SendDown(key, DownMessage::Welcome));
                }
                self.take(now, key, taken);
            }
            UpMessage::Report(report) if is_known => {
                let taken = self.distributor.report(now, key, report, next_round);
                self.take(now, key, taken);
            }
            UpMessage::Report(_) => self.effects.push(NodeEffect::CloseChild(key)),
        }
        self.report(now);
    }

    fn admit(&mut self, now: Timestamp, hello: &Hello) -> Result<(), DownMessage> {
        let holds_nothing = self.config.held().is_none() && self.uplink.attached().is_none();
        let is_full = self.distributor.len() >= MAX_CHILDREN;
        let node = &hello.record.node;
        let is_above = *node == self.record.node || self.path.contains(node);
        if holds_nothing || is_full || is_above || hello.is_probe {
            return Err(retry_after(RETRY));
        }
        let admitted = self.admission.admit(now, &hello.record.node);
        admitted.map_err(retry_after)
    }

    fn take(&mut self, now: Timestamp, key: ChildKey, taken: Taken) {
        for change in taken.changes {
            self.note(change);
        }
        if let Some(batch) = taken.evidence {
            self.is_prompt |= !batch.crashes.is_empty();
            self.outbox.add(&batch.evidence, batch.crashes);
        }
        self.is_prompt |= self.distributor.is_urgent();
        self.answer(key);
        if let Some(update) = self.distributor.update(now, key) {
            self.effects.push(NodeEffect::SendDown(key, update));
        }
    }

    fn answer(&mut self, key: ChildKey) {
        let is_attached = self.uplink.attached().is_some();
        let mut route = Route {
            path: if is_attached {
                self.path.clone()
            } else {
                Vec::new()
            },
            alternates: self.uplink.relay().into_iter().collect(),
            control: self.uplink.known_control().to_vec(),
        };
        route.path.push(self.record.node.clone());
        route.alternates.extend(&self.alternates);
        route.alternates.truncate(MAX_ALTERNATES);
        if let Some(beat) = self.distributor.beat(key, self.floor, route) {
            let beat = DownMessage::Beat(Box::new(beat));
            self.effects.push(NodeEffect::SendDown(key, beat));
        }
    }

    /// Tells children that wait for the leader's versions that they are known.
    pub(super) fn answer_urgent(&mut self) {
        let children = self.distributor.children();
        let urgent: Vec<ChildKey> = children
            .filter(|(_, child)| child.is_urgent())
            .map(|(key, _)| key)
            .collect();
        for key in urgent {
            self.answer(key);
        }
    }

    /// Notes that the connection of a child ended.
    pub fn on_child_closed(&mut self, key: ChildKey) {
        if let Some(lost) = self.distributor.remove(key) {
            self.note(lost);
        }
    }
}
