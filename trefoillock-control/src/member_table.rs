//! The nodes and backend servers that a leader has heard of.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use trefoillock_core::{Guard, Map, Member, NodeId, ServerId, Timestamp};

use crate::{
    LostNode, NodeRecord,
    flap_damper::FlapDamper,
    timing::{ORPHAN_LEASE, REATTACH_LEASE},
};

#[derive(Debug)]
struct Entry {
    record: NodeRecord,
    /// The time until which a lost node may attach again; `None` while it is attached.
    lease_end: Option<Timestamp>,
}

/// The nodes that a leader has heard of, with the backend servers beside them.
///
/// While a node is attached, its parent renews its lease. A node that was lost keeps its place
/// until its lease ends, so that a change of parents removes no backend server.
#[derive(Debug, Default)]
pub struct MemberTable {
    nodes: BTreeMap<NodeId, Entry>,
    damper: FlapDamper,
}

impl MemberTable {
    /// Takes a record, unless a newer one of the same node is known.
    pub fn join(&mut self, now: Timestamp, record: NodeRecord) {
        let known = self.nodes.get(&record.node);
        if known.is_some_and(|known| known.record.order() > record.order()) {
            return;
        }
        let before = known.map(|known| known.record.announcements.as_slice());
        self.damper.note(now, &record, before.unwrap_or_default());
        let entry = Entry {
            record,
            lease_end: None,
        };
        self.nodes.insert(entry.record.node.clone(), entry);
    }

    /// Starts the last lease of a lost node and of the nodes below it.
    pub fn leave(&mut self, now: Timestamp, lost: &LostNode) {
        let Some(entry) = self.nodes.get_mut(&lost.node) else {
            return;
        };
        if !lost.is_of(&entry.record) || entry.lease_end.is_some() {
            return;
        }
        let lease = if lost.is_orphan {
            ORPHAN_LEASE
        } else {
            REATTACH_LEASE
        };
        entry.lease_end = Some(now + lease);
        self.orphan_below(now, &lost.node);
    }

    fn orphan_below(&mut self, now: Timestamp, relay: &NodeId) {
        let mut orphans = Vec::new();
        for (node, entry) in &mut self.nodes {
            if entry.record.parent.as_ref() == Some(relay) && entry.lease_end.is_none() {
                entry.lease_end = Some(now + ORPHAN_LEASE);
                orphans.push(node.clone());
            }
        }
        for orphan in orphans {
            self.orphan_below(now, &orphan);
        }
    }

    /// Removes the nodes whose lease has ended, and returns whether there were any.
    ///
    /// `covered` are the records that the children of the leader stand for: a node that none
    /// of them stands for starts its last lease, and one that a child stands for is kept.
    pub fn expire<'a>(
        &mut self,
        now: Timestamp,
        covered: impl Iterator<Item = &'a NodeRecord>,
    ) -> bool {
        let mut newest: Map<&NodeId, &NodeRecord> = Map::default();
        for record in covered {
            let known = newest.entry(&record.node).or_insert(record);
            if known.order() < record.order() {
                *known = record;
            }
        }
        for (node, record) in &newest {
            if !self.nodes.contains_key(*node) {
                self.join(now, (*record).clone());
            }
        }
        let before = self.nodes.len();
        self.nodes.retain(|node, entry| {
            let is_covered = newest
                .get(node)
                .is_some_and(|record| record.order() >= entry.record.order());
            let is_over = entry.lease_end.is_some_and(|end| end <= now);
            match (is_covered, entry.lease_end) {
                (true, Some(_)) if is_over => entry.lease_end = None,
                (false, None) => entry.lease_end = Some(now + ORPHAN_LEASE),
                (true, _) | (false, Some(_)) => {}
            }
            is_covered || !is_over
        });
        self.damper.expire(now);
        self.nodes.len() != before
    }

    /// The backend servers that nodes shall know of.
    ///
    /// Of two nodes, or two backend servers, that claim the same address, the later run wins.
    #[must_use]
    pub fn servers(&self, now: Timestamp) -> BTreeMap<ServerId, Arc<Member>> {
        let losers = self.clashes();
        let mut servers = BTreeMap::new();
        for entry in self.nodes.values() {
            if losers.contains(&entry.record.node) {
                continue;
            }
            for member in members_of(&entry.record) {
                if self.damper.allows(now, &member) {
                    servers.insert(member.id.clone(), Arc::new(member));
                }
            }
        }
        remove_address_clashes(&mut servers);
        servers
    }

    /// The nodes that claim the address of a node with a later run.
    #[must_use]
    pub fn clashes(&self) -> BTreeSet<NodeId> {
        let mut owners: BTreeMap<SocketAddr, &NodeRecord> = BTreeMap::new();
        let mut losers = BTreeSet::new();
        for entry in self.nodes.values() {
            let record = &entry.record;
            let Some(other) = owners.insert(record.peer_address, record) else {
                continue;
            };
            let other_wins = (other.incarnation, &other.node) > (record.incarnation, &record.node);
            let loser = if other_wins { record } else { other };
            losers.insert(loser.node.clone());
            if other_wins {
                owners.insert(record.peer_address, other);
            }
        }
        losers
    }

    /// The nodes that can guard idempotency keys.
    #[must_use]
    pub fn guards(&self) -> Vec<Guard> {
        let guards = self.nodes.values().map(|entry| Guard {
            node: entry.record.node.clone(),
            incarnation: entry.record.incarnation,
            peer_address: entry.record.peer_address,
            data_centre: entry.record.data_centre.clone(),
        });
        guards.collect()
    }

    /// The nodes that are known.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.nodes.keys()
    }

    /// The records of the attached nodes.
    pub fn attached(&self) -> impl Iterator<Item = &NodeRecord> {
        let entries = self
            .nodes
            .values()
            .filter(|entry| entry.lease_end.is_none());
        entries.map(|entry| &entry.record)
    }

    /// The number of backend servers that were announced.
    #[must_use]
    pub fn servers_heard(&self) -> usize {
        let nodes = self.nodes.values();
        nodes.map(|entry| entry.record.announcements.len()).sum()
    }

    /// The number of nodes that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The nodes that were lost and whose lease has not ended yet.
    pub fn lost(&self) -> impl Iterator<Item = &NodeId> {
        let lost = self
            .nodes
            .iter()
            .filter(|(_, entry)| entry.lease_end.is_some());
        lost.map(|(node, _)| node)
    }
}

/// The backend servers beside a node.
fn members_of(record: &NodeRecord) -> impl Iterator<Item = Member> {
    record.announcements.iter().map(|announcement| Member {
        id: ServerId {
            node: record.node.clone(),
            address: announcement.address,
        },
        announcement: announcement.clone(),
        peer_address: record.peer_address,
        data_centre: record.data_centre.clone(),
        node_incarnation: record.incarnation,
    })
}

/// Removes all but the latest run of backend servers that claim the same address.
///
/// Loopback addresses belong to each machine, so two nodes can name the same one.
fn remove_address_clashes(servers: &mut BTreeMap<ServerId, Arc<Member>>) {
    let mut owners: BTreeMap<SocketAddr, Arc<Member>> = BTreeMap::new();
    let mut losers = Vec::new();
    let age = |member: &Member| (member.announcement.incarnation, member.node_incarnation);
    for member in servers
        .values()
        .filter(|m| !m.id.address.ip().is_loopback())
    {
        match owners.get(&member.id.address) {
            Some(other) if age(other) >= age(member) => losers.push(member.id.clone()),
            Some(other) => {
                losers.push(other.id.clone());
                owners.insert(member.id.address, member.clone());
            }
            None => {
                owners.insert(member.id.address, member.clone());
            }
        }
    }
    for loser in losers {
        servers.remove(&loser);
    }
}
