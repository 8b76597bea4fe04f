//! The leader's table of nodes and of the backend servers that they announce.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use trefoillock_core::{DrainedRuns, Guard, Map, Member, MemberState, NodeId, ServerId, Timestamp};

use crate::{
    LostNode, NodeRecord,
    flap_damper::FlapDamper,
    timing::{ORPHAN_LEASE, REATTACH_LEASE},
};

#[derive(Debug)]
struct NodeEntry {
    record: NodeRecord,
    /// The end of a lost node's lease, until which it may attach again; `None` while it is
    /// attached.
    lease_end: Option<Timestamp>,
}

/// The nodes that have reported to the leader, with the backend servers that they announce.
///
/// An attached node has no expiry: its parent reports it as long as it is attached. A lost node
/// keeps its entry until its lease ends, so that a change of parents removes no backend server.
#[derive(Debug, Default)]
pub struct NodeTable {
    nodes: BTreeMap<NodeId, NodeEntry>,
    damper: FlapDamper,
    /// The runs that nodes have announced as draining since this replica leads.
    drained: DrainedRuns,
    /// The runs whose departure is in the replicated log.
    recorded: Arc<DrainedRuns>,
}

impl NodeTable {
    /// Replaces the runs whose departure is in the replicated log. They are never up again, whatever
    /// their node announces.
    pub fn set_recorded_departures(&mut self, recorded: Arc<DrainedRuns>) {
        self.recorded = recorded;
    }

    /// Inserts or replaces the record of a node, unless a newer one is known, and marks the
    /// node as attached.
    pub fn insert_record(&mut self, now: Timestamp, record: NodeRecord) {
        let known = self.nodes.get(&record.node);
        if known.is_some_and(|known| known.record.order() > record.order()) {
            return;
        }
        self.damper.record_announcements(now, &record);
        for member in members_of(&record).filter(|member| !member.is_up()) {
            self.drained.insert(&member);
        }
        let entry = NodeEntry {
            record,
            lease_end: None,
        };
        self.nodes.insert(entry.record.node.clone(), entry);
    }

    /// Starts the lease of a lost node and of the nodes below it; a loss at an older attachment is
    /// ignored.
    pub fn mark_lost(&mut self, now: Timestamp, lost: &LostNode) {
        let Some(entry) = self.nodes.get_mut(&lost.node) else {
            return;
        };
        if !lost.matches(&entry.record) || entry.lease_end.is_some() {
            return;
        }
        let lease = if lost.is_orphan {
            ORPHAN_LEASE
        } else {
            REATTACH_LEASE
        };
        entry.lease_end = Some(now + lease);
        self.mark_orphans(now, &lost.node);
    }

    fn mark_orphans(&mut self, now: Timestamp, relay: &NodeId) {
        let mut orphans = Vec::new();
        for (node, entry) in &mut self.nodes {
            if entry.record.parent.as_ref() == Some(relay) && entry.lease_end.is_none() {
                entry.lease_end = Some(now + ORPHAN_LEASE);
                orphans.push(node.clone());
            }
        }
        for orphan in orphans {
            self.mark_orphans(now, &orphan);
        }
    }

    /// Removes the nodes whose lease has ended, and returns whether the number of nodes changed.
    ///
    /// `reported` are the records in the subtrees of the leader's children. A reported node is
    /// kept, and added if it is missing; the lease of an attached node that is not reported
    /// starts.
    pub fn expire<'a>(
        &mut self,
        now: Timestamp,
        reported: impl Iterator<Item = &'a NodeRecord>,
    ) -> bool {
        let mut newest: Map<&NodeId, &NodeRecord> = Map::default();
        for record in reported {
            let known = newest.entry(&record.node).or_insert(record);
            if known.order() < record.order() {
                *known = record;
            }
        }
        for (node, record) in &newest {
            if !self.nodes.contains_key(*node) {
                self.insert_record(now, (*record).clone());
            }
        }
        let before = self.nodes.len();
        self.nodes.retain(|node, entry| {
            let is_reported = newest
                .get(node)
                .is_some_and(|record| record.order() >= entry.record.order());
            let is_expired = entry.lease_end.is_some_and(|end| end <= now);
            match (is_reported, entry.lease_end) {
                (true, Some(_)) if is_expired => entry.lease_end = None,
                (false, None) => entry.lease_end = Some(now + ORPHAN_LEASE),
                (true, _) | (false, Some(_)) => {}
            }
            is_reported || !is_expired
        });
        self.damper.expire(now);
        self.nodes.len() != before
    }

    /// Returns the backend servers for the member list, without damped ones.
    ///
    /// If two nodes or two backend servers claim the same address, the later incarnation wins.
    #[must_use]
    pub fn servers(&self, now: Timestamp) -> BTreeMap<ServerId, Arc<Member>> {
        let superseded_ids = self.clashes();
        let mut servers = BTreeMap::new();
        for entry in self.nodes.values() {
            if superseded_ids.contains(&entry.record.node) {
                continue;
            }
            for mut member in members_of(&entry.record) {
                // A node that has restarted may not know that the run has drained.
                if self.drained.contains(&member) || self.recorded.contains(&member) {
                    member.announcement.state = MemberState::Draining;
                }
                if self.damper.allows(now, &member) {
                    servers.insert(member.id.clone(), Arc::new(member));
                }
            }
        }
        remove_address_conflicts(&mut servers);
        servers
    }

    /// Returns the nodes that claim the peer address of a node with a later incarnation.
    #[must_use]
    pub fn clashes(&self) -> BTreeSet<NodeId> {
        let mut holders: BTreeMap<SocketAddr, &NodeRecord> = BTreeMap::new();
        let mut superseded_ids = BTreeSet::new();
        for entry in self.nodes.values() {
            let record = &entry.record;
            let Some(other) = holders.insert(record.peer_address, record) else {
                continue;
            };
            let is_other_newer =
                (other.incarnation, &other.node) > (record.incarnation, &record.node);
            let superseded = if is_other_newer { record } else { other };
            superseded_ids.insert(superseded.node.clone());
            if is_other_newer {
                holders.insert(record.peer_address, other);
            }
        }
        superseded_ids
    }

    /// Returns the nodes that can guard idempotency keys: all known ones.
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

    /// Returns the known nodes, including lost ones whose lease has not ended.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.nodes.keys()
    }

    /// Returns the records of the attached nodes.
    pub fn attached(&self) -> impl Iterator<Item = &NodeRecord> {
        let entries = self
            .nodes
            .values()
            .filter(|entry| entry.lease_end.is_none());
        entries.map(|entry| &entry.record)
    }

    /// Returns the number of backend servers that the known nodes announce.
    #[must_use]
    pub fn announced_servers(&self) -> usize {
        let nodes = self.nodes.values();
        nodes.map(|entry| entry.record.announcements.len()).sum()
    }

    /// Returns the number of known nodes, including lost ones whose lease has not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether no node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the lost nodes whose lease has not ended.
    pub fn lost(&self) -> impl Iterator<Item = &NodeId> {
        let lost = self
            .nodes
            .iter()
            .filter(|(_, entry)| entry.lease_end.is_some());
        lost.map(|(node, _)| node)
    }
}

/// Returns the backend servers that a node announces, as members.
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

/// Keeps only the latest incarnation of backend servers that claim the same address.
///
/// Loopback addresses are exempt: they are local to each VM, so two nodes can announce the same
/// one.
fn remove_address_conflicts(servers: &mut BTreeMap<ServerId, Arc<Member>>) {
    let mut holders: BTreeMap<SocketAddr, Arc<Member>> = BTreeMap::new();
    let mut outdated = Vec::new();
    let recency = |member: &Member| (member.announcement.incarnation, member.node_incarnation);
    for member in servers
        .values()
        .filter(|m| !m.id.address.ip().is_loopback())
    {
        match holders.get(&member.id.address) {
            Some(other) if recency(other) >= recency(member) => outdated.push(member.id.clone()),
            Some(other) => {
                outdated.push(other.id.clone());
                holders.insert(member.id.address, member.clone());
            }
            None => {
                holders.insert(member.id.address, member.clone());
            }
        }
    }
    for id in outdated {
        servers.remove(&id);
    }
}
