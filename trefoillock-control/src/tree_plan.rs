//! Which node relays for which.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use trefoillock_core::{DataCentre, Map, NodeId, Timestamp};

use crate::{
    Hello, MemberTable, NodeRecord,
    timing::{FAN_OUT, ROOTS_PER_DATA_CENTRE},
};

/// The time for which a place is kept for a node that was sent there.
const RESERVATION: Duration = Duration::from_secs(2);
/// The number of nodes below a node from which on it is a relay worth keeping at the top.
const LARGE_SUBTREE: usize = 8;
/// The number of relays with many nodes below that a data centre may have at the top.
const MAX_ROOTS: usize = 5;
/// The largest number of relays above a node.
const MAX_DEPTH: usize = 8;

/// Where a node shall attach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// To the leader itself.
    Direct,
    /// To the relay at this address.
    Under(SocketAddr),
    /// Nowhere yet: relays are on their way.
    Later,
}

#[derive(Debug)]
struct Reservation {
    data_centre: DataCentre,
    parent: Option<NodeId>,
    until: Timestamp,
}

/// Chooses a parent for each node that asks: few nodes of each data centre attach to the
/// leader, every other one to a relay of its data centre that is as near to the leader as
/// possible and has the fewest children.
#[derive(Debug, Default)]
pub struct TreePlan {
    reserved: BTreeMap<NodeId, Reservation>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Load {
    children: usize,
    depth: usize,
}

impl TreePlan {
    /// Chooses a place and keeps it for a while.
    pub fn place(&mut self, now: Timestamp, table: &MemberTable, hello: &Hello) -> Placement {
        self.reserved
            .retain(|_, reservation| reservation.until > now);
        self.reserved.remove(&hello.record.node);
        let placement = self.choose(table, hello);
        let parent = match placement {
            Placement::Later => return placement,
            Placement::Direct => None,
            Placement::Under(address) => table
                .attached()
                .find(|record| record.mesh_address == address)
                .map(|record| record.node.clone()),
        };
        let until = now + RESERVATION;
        let reservation = Reservation {
            data_centre: hello.record.data_centre.clone(),
            parent,
            until,
        };
        self.reserved.insert(hello.record.node.clone(), reservation);
        placement
    }

    fn choose(&self, table: &MemberTable, hello: &Hello) -> Placement {
        let node = &hello.record;
        let peers: Vec<&NodeRecord> = table
            .attached()
            .filter(|record| record.data_centre == node.data_centre && record.node != node.node)
            .collect();
        let mut parents: Map<&NodeId, Option<&NodeId>> = peers
            .iter()
            .map(|record| (&record.node, record.parent.as_ref()))
            .collect();
        let mut is_pending = false;
        for (child, reservation) in &self.reserved {
            let is_here = reservation.data_centre == node.data_centre;
            if is_here && !parents.contains_key(child) {
                is_pending = true;
                parents.insert(child, reservation.parent.as_ref());
            }
        }
        let roots = parents.values().filter(|parent| parent.is_none()).count();
        let is_large = hello.subtree.len() >= LARGE_SUBTREE;
        if roots < ROOTS_PER_DATA_CENTRE || (is_large && roots < MAX_ROOTS) {
            return Placement::Direct;
        }
        let mut children: Map<&NodeId, usize> = Map::default();
        for parent in parents.values().flatten() {
            *children.entry(parent).or_default() += 1;
        }
        let candidates = peers.iter().filter_map(|record| {
            let depth = depth_of(&record.node, &node.node, &parents)?;
            let load = Load {
                children: children.get(&record.node).copied().unwrap_or_default(),
                depth,
            };
            let is_free = load.children < FAN_OUT && Some(record.mesh_address) != hello.avoid;
            is_free.then_some((load, record))
        });
        let best =
            candidates.min_by_key(|(load, record)| (load.depth, load.children, &record.node));
        match best {
            Some((_, relay)) => Placement::Under(relay.mesh_address),
            None if is_pending => Placement::Later,
            None => Placement::Direct,
        }
    }
}

/// The number of relays above a node, or `None` if it does not hang from the leader or hangs
/// below `excluded`.
fn depth_of(
    node: &NodeId,
    excluded: &NodeId,
    parents: &Map<&NodeId, Option<&NodeId>>,
) -> Option<usize> {
    let mut at = node;
    for depth in 0..MAX_DEPTH {
        if at == excluded {
            return None;
        }
        match parents.get(at) {
            Some(Some(parent)) => at = parent,
            Some(None) => return Some(depth),
            None => return None,
        }
    }
    None
}
