//! Answers to nodes that ask a control replica for a parent.

use std::{net::SocketAddr, time::Duration};

use trefoillock_core::{DataCentre, Timestamp};

use super::{ControlEffect, ControlMachine, LeadershipRole, RETRY_DELAY};
use crate::{ChildKey, DownMessage, Hello, ParentAddress, Placement, distributor::retry_message};

/// How long a replica that knows no leader keeps a node waiting. It is shorter than
/// [`ATTACH_TIMEOUT`](crate::timing::ATTACH_TIMEOUT), so that the node soon asks another replica.
const LEADER_WAIT: Duration = Duration::from_millis(300);
/// The largest number of nodes that one replica keeps waiting.
const MAX_WAITING: usize = 2_048;

impl ControlMachine {
    pub(super) fn on_hello(&mut self, now: Timestamp, key: ChildKey, hello: &Hello) {
        let placement = match self.certain_role() {
            LeadershipRole::Leading { .. } => self.place(now, hello),
            LeadershipRole::Following {
                leader: Some(leader),
            } => Err(DownMessage::Redirect(ParentAddress::control(leader))),
            LeadershipRole::Unconfirmed { .. } | LeadershipRole::Following { leader: None } => {
                match self.redirect_without_leader(hello) {
                    Some(relay) => Err(relay),
                    None if hello.is_probe || self.waiting.len() >= MAX_WAITING => {
                        Err(retry_message(RETRY_DELAY))
                    }
                    // A replica without a membership, as after the loss of its disk, learns of a
                    // leader later than the others, so the node must not wait here.
                    None if self.replicas.is_empty() => {
                        self.effects.push(ControlEffect::Close(key));
                        return;
                    }
                    None => {
                        self.send_changes(key, hello);
                        self.waiting.insert(key, (hello.clone(), now + LEADER_WAIT));
                        return;
                    }
                }
            }
        };
        if let Err(rejection) = placement {
            self.send_changes(key, hello);
            self.reject(key, rejection);
            return;
        }
        let (reported, older) = self.distributor.on_hello(now, key, hello, 0);
        if let Some(older) = older {
            self.effects.push(ControlEffect::Close(older));
        }
        if self.distributor.contains(key) {
            self.effects
                .push(ControlEffect::Send(key, DownMessage::Welcome));
            self.process_changes(now, key, &hello.report, reported);
        }
    }

    /// Sends a node that is not accepted the changes that it lacks, since its search may take several
    /// more round trips. Followers send them too: all that they have applied is committed.
    fn send_changes(&mut self, key: ChildKey, hello: &Hello) {
        let held = hello.report.state.as_ref().map(|state| state.held.config);
        if let Some(changes) = held.and_then(|held| self.distributor.changes_since(held)) {
            self.effects.push(ControlEffect::Send(key, changes));
        }
    }

    /// Decides whether a node may attach to the leader; the error is the answer that rejects it.
    fn place(&mut self, now: Timestamp, hello: &Hello) -> Result<(), DownMessage> {
        match self.planner.place(now, &self.node_table, hello) {
            Placement::UnderRelay(relay) => Err(DownMessage::Redirect(ParentAddress::relay(relay))),
            Placement::RetryLater => Err(retry_message(RETRY_DELAY)),
            Placement::UnderLeader if hello.is_probe => {
                let own_address = ParentAddress::control(self.address);
                Err(DownMessage::Redirect(own_address))
            }
            Placement::UnderLeader => {
                let admitted = self.attach_limiter.admit(now, &hello.record.node);
                admitted.map_err(retry_message)
            }
        }
    }

    /// Returns a redirect to a relay in the node's data centre that was attached when this replica
    /// last led.
    fn redirect_without_leader(&self, hello: &Hello) -> Option<DownMessage> {
        let is_usable = |(data_centre, address): &&(DataCentre, SocketAddr)| {
            *data_centre == hello.record.data_centre
                && *address != hello.record.mesh_address
                && Some(*address) != hello.avoid
        };
        let relays: Vec<_> = self.last_relays.iter().filter(is_usable).collect();
        let index = usize::try_from(hello.record.order().attachment).unwrap_or_default();
        let (_, relay) = relays.get(index % relays.len().max(1))?;
        (!hello.is_probe).then(|| DownMessage::Redirect(ParentAddress::relay(*relay)))
    }

    /// Answers the waiting nodes once a leader is known, and closes the connections of those whose
    /// wait is over.
    pub(super) fn answer_waiting_nodes(&mut self, now: Timestamp) {
        let knows_leader = match self.certain_role() {
            LeadershipRole::Leading { .. } => true,
            LeadershipRole::Unconfirmed { .. } => false,
            LeadershipRole::Following { leader } => leader.is_some(),
        };
        if !knows_leader {
            let expired: Vec<ChildKey> = self
                .waiting
                .iter()
                .filter(|(_, (_, until))| now >= *until)
                .map(|(key, _)| *key)
                .collect();
            for key in expired {
                self.waiting.remove(&key);
                // The node asks another replica, which may be on the leader's side of a network
                // partition.
                self.effects.push(ControlEffect::Close(key));
            }
            return;
        }
        for (key, (hello, _)) in std::mem::take(&mut self.waiting) {
            self.on_hello(now, key, &hello);
        }
    }
}
