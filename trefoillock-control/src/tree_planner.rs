//! Placement of nodes in the distribution tree: the leader chooses a parent for each node that
//! attaches.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use trefoillock_core::{DataCentre, Map, NodeId, Timestamp};

use crate::{
    Hello, NodeRecord, NodeTable,
    timing::{FAN_OUT, ROOTS_PER_DATA_CENTRE},
};

/// How long a place is reserved for a node that was redirected to it.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(2);
/// The smallest size of a subtree whose relay may attach directly to the leader even beyond
/// [`ROOTS_PER_DATA_CENTRE`], so that a relay of many nodes stays near the leader.
const MIN_LARGE_SUBTREE: usize = 8;
/// The limit that replaces [`ROOTS_PER_DATA_CENTRE`] for relays with a large subtree.
const MAX_ROOTS: usize = 5;
/// The largest number of relays above a node; it also bounds the walk along a cycle of parents.
const MAX_DEPTH: usize = 8;

/// The place in the tree that is chosen for a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Directly below the leader.
    UnderLeader,
    /// Below the relay at this mesh address.
    UnderRelay(SocketAddr),
    /// None yet: nodes that may become its relay were placed but have not attached.
    RetryLater,
}

#[derive(Debug)]
struct Reservation {
    data_centre: DataCentre,
    parent: Option<NodeId>,
    until: Timestamp,
}

/// Chooses a parent for each node that asks.
///
/// A few nodes of each data centre attach directly to the leader. Every other node attaches to a
/// relay of its data centre: the one nearest to the leader, and among those the one with the
/// fewest children. Places of nodes that were redirected but have not attached are reserved.
#[derive(Debug, Default)]
pub struct TreePlanner {
    reservations: BTreeMap<NodeId, Reservation>,
}

#[derive(Debug, Default, Clone, Copy)]
struct RelayLoad {
    children: usize,
    depth: usize,
}

impl TreePlanner {
    /// Chooses a place for a node and reserves it.
    pub fn place(&mut self, now: Timestamp, node_table: &NodeTable, hello: &Hello) -> Placement {
        self.reservations
            .retain(|_, reservation| reservation.until > now);
        self.reservations.remove(&hello.record.node);
        let placement = self.choose_place(node_table, hello);
        let parent = match placement {
            Placement::RetryLater => return placement,
            Placement::UnderLeader => None,
            Placement::UnderRelay(address) => node_table
                .attached()
                .find(|record| record.mesh_address == address)
                .map(|record| record.node.clone()),
        };
        let until = now + RESERVATION_LIFETIME;
        let reservation = Reservation {
            data_centre: hello.record.data_centre.clone(),
            parent,
            until,
        };
        self.reservations
            .insert(hello.record.node.clone(), reservation);
        placement
    }

    fn choose_place(&self, node_table: &NodeTable, hello: &Hello) -> Placement {
        let node = &hello.record;
        let peers: Vec<&NodeRecord> = node_table
            .attached()
            .filter(|record| record.data_centre == node.data_centre && record.node != node.node)
            .collect();
        let mut parents: Map<&NodeId, Option<&NodeId>> = peers
            .iter()
            .map(|record| (&record.node, record.parent.as_ref()))
            .collect();
        let mut is_pending = false;
        for (child, reservation) in &self.reservations {
            let is_same_data_centre = reservation.data_centre == node.data_centre;
            if is_same_data_centre && !parents.contains_key(child) {
                is_pending = true;
                parents.insert(child, reservation.parent.as_ref());
            }
        }
        let roots = parents.values().filter(|parent| parent.is_none()).count();
        let is_large = hello.subtree.len() >= MIN_LARGE_SUBTREE;
        if roots < ROOTS_PER_DATA_CENTRE || (is_large && roots < MAX_ROOTS) {
            return Placement::UnderLeader;
        }
        let mut children: Map<&NodeId, usize> = Map::default();
        for parent in parents.values().flatten() {
            *children.entry(parent).or_default() += 1;
        }
        let candidates = peers.iter().filter_map(|record| {
            let depth = depth_of(&record.node, &node.node, &parents)?;
            let load = RelayLoad {
                children: children.get(&record.node).copied().unwrap_or_default(),
                depth,
            };
            let is_candidate = load.children < FAN_OUT && Some(record.mesh_address) != hello.avoid;
            is_candidate.then_some((load, record))
        });
        let best =
            candidates.min_by_key(|(load, record)| (load.depth, load.children, &record.node));
        match best {
            Some((_, relay)) => Placement::UnderRelay(relay.mesh_address),
            None if is_pending => Placement::RetryLater,
            None => Placement::UnderLeader,
        }
    }
}

/// Returns the number of relays above a node, or `None` if no path leads from it to the leader or
/// the path leads through `excluded`.
fn depth_of(
    node: &NodeId,
    excluded: &NodeId,
    parents: &Map<&NodeId, Option<&NodeId>>,
) -> Option<usize> {
    let mut current = node;
    for depth in 0..MAX_DEPTH {
        if current == excluded {
            return None;
        }
        match parents.get(current) {
            Some(Some(parent)) => current = parent,
            Some(None) => return Some(depth),
            None => return None,
        }
    }
    None
}
