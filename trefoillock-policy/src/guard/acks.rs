//! The guards that are known to be active, on the leader.

use std::collections::{BTreeMap, BTreeSet};

use trefoillock_core::{Guard, GuardSet, GuardSlot, Incarnation, NodeId};

use super::GuardAck;

/// The guards that have reported to the leader that they are active.
///
/// A new leader starts with none and learns them from the guards, which repeat their messages.
#[derive(Debug, Clone, Default)]
pub struct GuardAcks {
    slots: BTreeMap<GuardSlot, (u64, BTreeSet<(NodeId, Incarnation)>)>,
}

impl GuardAcks {
    /// Creates a set without any active guards.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an incarnation of a node is active in the epoch of the message. An older epoch
    /// of the slot is dropped, and messages of an older epoch are ignored.
    pub fn record(&mut self, ack: GuardAck, node: &NodeId, incarnation: Incarnation) {
        let (epoch, guards) = self.slots.entry(ack.slot).or_default();
        if ack.epoch < *epoch {
            return;
        }
        if ack.epoch > *epoch {
            *epoch = ack.epoch;
            guards.clear();
        }
        guards.insert((node.clone(), incarnation));
    }

    /// Whether a majority of the guards of a set is active, so that claims can be won.
    #[must_use]
    pub fn is_settled(&self, slot: GuardSlot, set: &GuardSet) -> bool {
        let active = set.guards.iter();
        let active = active.filter(|guard| self.is_active(slot, set.epoch, guard));
        active.count() >= set.quorum()
    }

    /// Whether a guard is known to be active in an epoch of a slot.
    #[must_use]
    pub fn is_active(&self, slot: GuardSlot, epoch: u64, guard: &Guard) -> bool {
        let Some((newest, active)) = self.slots.get(&slot) else {
            return false;
        };
        *newest == epoch && active.contains(&(guard.node.clone(), guard.incarnation))
    }
}
