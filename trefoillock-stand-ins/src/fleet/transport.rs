//! Connections of the in-memory network and the delivery times of messages.

use std::{net::SocketAddr, time::Duration};

use trefoillock_control::{ChildKey, DownMessage, LinkId, Payload, UpMessage};
use trefoillock_core::Timestamp;

use super::{Fleet, Process, event::Event, location::control_address};

/// The rate at which a process can send, in bytes per second: a link of 1 Gbit/s.
pub(super) const LINK_BYTES_PER_SECOND: u64 = 125_000_000;

/// A connection from a child node to its parent. `last_up_arrival` and `last_down_arrival` keep
/// the messages of one direction in order.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) node: usize,
    pub(super) node_incarnation: u64,
    pub(super) link: LinkId,
    pub(super) parent: Process,
    pub(super) parent_incarnation: u64,
    pub(super) key: ChildKey,
    pub(super) last_up_arrival: Timestamp,
    pub(super) last_down_arrival: Timestamp,
}

impl Fleet {
    /// Opens a connection from a node to the process at an address. If that process does not run,
    /// the node learns after a round trip that the connection was closed.
    pub(super) fn open(&mut self, at: usize, link: LinkId, address: SocketAddr) {
        let Some(parent) = self.process_at(address) else {
            return;
        };
        let id = self.connections.len();
        let parent_incarnation = self.incarnation_of(parent);
        let node_incarnation = self.nodes[at].incarnation;
        let key = ChildKey::new(id as u64);
        let opened_at = self.now + self.handshake_time(at, parent);
        self.connections.push(Connection {
            node: at,
            node_incarnation,
            link,
            parent,
            parent_incarnation,
            key,
            last_up_arrival: opened_at,
            last_down_arrival: opened_at,
        });
        self.links.insert((at, node_incarnation, link), id);
        self.keys.insert((parent, parent_incarnation, key), id);
        if !self.is_running(parent, parent_incarnation) && !self.is_partitioned(id) {
            let latency = self.latency(id) * 2;
            self.schedule(latency, Event::DownClosed(id));
        }
    }

    pub(super) fn send_up(&mut self, at: usize, link: LinkId, message: &UpMessage) {
        let incarnation = self.nodes[at].incarnation;
        if let Some(id) = self.links.get(&(at, incarnation, link)).copied() {
            let bytes = if self.counts_bytes {
                Payload::encode(message).len()
            } else {
                0
            };
            let parent = self.connections[id].parent;
            for arrival in self.arrivals(id, Process::Node(at), parent, bytes, true) {
                self.schedule_at(arrival, Event::Up(id, message.clone()));
            }
        }
    }

    pub(super) fn send_down(&mut self, parent: Process, key: ChildKey, message: &DownMessage) {
        let incarnation = self.incarnation_of(parent);
        if let Some(id) = self.keys.get(&(parent, incarnation, key)).copied() {
            let bytes = if self.counts_bytes {
                size_of_down(message)
            } else {
                0
            };
            let child = Process::Node(self.connections[id].node);
            for arrival in self.arrivals(id, parent, child, bytes, false) {
                self.schedule_at(arrival, Event::Down(id, message.clone()));
            }
        }
    }

    /// The times at which the copies of a message arrive; empty if the message is lost.
    fn arrivals(
        &mut self,
        id: usize,
        from: Process,
        to: Process,
        bytes: usize,
        is_up: bool,
    ) -> Vec<Timestamp> {
        let bytes = bytes as u64;
        self.update_load(from, |load| {
            load.sent += bytes;
            load.messages += 1;
        });
        self.update_load(to, |load| load.received += bytes);
        if self.is_partitioned(id) {
            return Vec::new();
        }
        let micros = bytes * 1_000_000 / LINK_BYTES_PER_SECOND;
        let now = self.now;
        let free = self.egress_free_at.entry(from).or_default();
        *free = (*free).max(now) + Duration::from_micros(micros);
        let in_order = *free + self.latency(id);
        let delays = self.faults.draw_copies(&mut self.rng);
        let connection = &mut self.connections[id];
        let last = if is_up {
            &mut connection.last_up_arrival
        } else {
            &mut connection.last_down_arrival
        };
        let arrival = |delay: Option<Duration>| {
            if let Some(delay) = delay {
                return in_order + delay;
            }
            *last = in_order.max(*last);
            *last
        };
        delays.into_iter().map(arrival).collect()
    }

    pub(super) fn close_up(&mut self, at: usize, link: LinkId) {
        let incarnation = self.nodes[at].incarnation;
        if let Some(id) = self.links.remove(&(at, incarnation, link))
            && !self.is_partitioned(id)
        {
            let arrival = self.connections[id]
                .last_up_arrival
                .max(self.now + self.latency(id));
            self.schedule_at(arrival, Event::UpClosed(id));
        }
    }

    pub(super) fn close_down(&mut self, parent: Process, key: ChildKey) {
        let incarnation = self.incarnation_of(parent);
        if let Some(id) = self.keys.remove(&(parent, incarnation, key))
            && !self.is_partitioned(id)
        {
            let arrival = self.connections[id]
                .last_down_arrival
                .max(self.now + self.latency(id));
            self.schedule_at(arrival, Event::DownClosed(id));
        }
    }

    fn is_partitioned(&self, id: usize) -> bool {
        let connection = &self.connections[id];
        let node = Process::Node(connection.node);
        let is_isolated =
            self.isolated.contains(&node) || self.isolated.contains(&connection.parent);
        is_isolated || self.partitions.contains(&(node, connection.parent))
    }

    fn latency(&self, id: usize) -> Duration {
        let connection = &self.connections[id];
        self.latency_between(connection.node, connection.parent)
    }

    fn latency_between(&self, node: usize, parent: Process) -> Duration {
        let node = Process::Node(node);
        let latency = self.location(node).latency_to(self.location(parent));
        let delay = |process| self.link_delays.get(&process).copied().unwrap_or_default();
        latency + delay(node) + delay(parent)
    }

    /// The time until the first message of a connection arrives: the handshake takes a round trip.
    fn handshake_time(&self, node: usize, parent: Process) -> Duration {
        self.latency_between(node, parent) * 3
    }

    fn process_at(&self, address: SocketAddr) -> Option<Process> {
        let controls = (0..self.size.controls).find(|at| control_address(*at) == address);
        let control = controls.map(Process::Control);
        control.or_else(|| {
            let SocketAddr::V4(v4) = address else {
                return None;
            };
            let [_, _, high, low] = v4.ip().octets();
            let at = usize::from(u16::from_be_bytes([high, low]));
            (at < self.nodes.len()).then_some(Process::Node(at))
        })
    }
}

/// The encoded size of a message in bytes, without framing. An update is estimated from its
/// payloads, with 8 bytes for each and 32 bytes for the rest.
fn size_of_down(message: &DownMessage) -> usize {
    match message {
        DownMessage::Update(update) => {
            let payloads = update.config.iter().chain(&update.members);
            payloads.map(|payload| payload.len() + 8).sum::<usize>() + 32
        }
        other => Payload::encode(other).len(),
    }
}
