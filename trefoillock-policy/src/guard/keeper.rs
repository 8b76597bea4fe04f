//! The records that one node keeps for the slots that it guards.

use std::collections::BTreeMap;

use trefoillock_core::{Guard, GuardSet, GuardSlot, GuardTable, Incarnation, NodeId, Timestamp};

use super::{
    ClaimAnswer, ClaimRequest, CopyAnswer, CopyRequest, FinishRequest, GuardAck, Vote,
    slot_keeper::SlotKeeper,
};

/// The records that one incarnation of a node keeps for the slots that it guards.
///
/// The parent module lists the rules that it follows. The slots of a node can be divided among
/// several keepers, each behind its own lock.
#[derive(Debug, Clone)]
pub struct GuardKeeper {
    node: NodeId,
    incarnation: Incarnation,
    shard: u16,
    shards: u16,
    slots: BTreeMap<GuardSlot, SlotKeeper>,
}

impl GuardKeeper {
    /// Creates a keeper without records for one incarnation of a node.
    #[must_use]
    pub const fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            node,
            incarnation,
            shard: 0,
            shards: 1,
            slots: BTreeMap::new(),
        }
    }

    /// Restricts the keeper to the slots whose number modulo `shards` is `shard`.
    #[must_use]
    pub fn for_shard(mut self, shard: u16, shards: u16) -> Self {
        self.shard = shard;
        self.shards = shards.max(1);
        self
    }

    /// Applies the guard table of a newer configuration. Afterwards [`Self::copy_requests`] returns
    /// the copies that are needed.
    pub fn sync(&mut self, table: &GuardTable) {
        for (slot, set) in table {
            if slot.get() % self.shards == self.shard {
                self.sync_slot(*slot, set);
            }
        }
    }

    fn sync_slot(&mut self, slot: GuardSlot, set: &GuardSet) {
        let is_guard = set.guards.iter().any(|guard| self.is_self(guard));
        if is_guard {
            let keeper = self.slots.entry(slot).or_default();
            keeper.join_set(set, &self.node, self.incarnation);
        } else if let Some(keeper) = self.slots.get_mut(&slot) {
            keeper.leave_set(set);
        }
    }

    fn is_self(&self, guard: &Guard) -> bool {
        guard.node == self.node && guard.incarnation == self.incarnation
    }

    /// The copy requests that have not been answered. The caller sends them repeatedly until none
    /// is left.
    #[must_use]
    pub fn copy_requests(&self) -> Vec<(Guard, CopyRequest)> {
        let mut requests = Vec::new();
        for (slot, keeper) in &self.slots {
            let request = |guard: &Guard| CopyRequest {
                to: guard.incarnation,
                slot: *slot,
                epoch: keeper.epoch(),
            };
            requests.extend(
                keeper
                    .pending_sources()
                    .map(|guard| (guard.clone(), request(guard))),
            );
        }
        requests
    }

    /// Answers a copy request. Returns `None` if the request addresses an earlier incarnation of
    /// this node.
    #[must_use]
    pub fn answer_copy_request(&mut self, now: Timestamp, req: &CopyRequest) -> Option<CopyAnswer> {
        if req.to != self.incarnation {
            return None;
        }
        // A slot that is not known yet gets a keeper, so that the promise is recorded.
        let keeper = self.slots.entry(req.slot).or_default();
        Some(keeper.answer_copy_request(now, req))
    }

    /// Applies the answer of a guard to a copy request.
    pub fn apply_copy(&mut self, from: &Guard, answer: CopyAnswer) {
        if let Some(keeper) = self.slots.get_mut(&answer.slot) {
            keeper.apply_copy(from, answer);
        }
    }

    /// Decides on a claim.
    #[must_use]
    pub fn claim(&mut self, now: Timestamp, req: &ClaimRequest) -> ClaimAnswer {
        let vote = if req.to == self.incarnation {
            match self.slots.get_mut(&req.key.slot()) {
                Some(keeper) => keeper.claim(now, req),
                None => Vote::Syncing,
            }
        } else {
            Vote::Gone
        };
        ClaimAnswer {
            id: req.id,
            epoch: req.epoch,
            vote,
        }
    }

    /// Records how the call of a claim ended.
    pub fn finish(&mut self, now: Timestamp, req: &FinishRequest) {
        if req.to == self.incarnation
            && let Some(keeper) = self.slots.get_mut(&req.key.slot())
        {
            keeper.finish(now, req);
        }
    }

    /// The slots in which this node is an active guard, to be sent to the leader.
    #[must_use]
    pub fn acks(&self) -> Vec<GuardAck> {
        let active = self.slots.iter().filter(|(_, keeper)| keeper.is_active());
        let ack = |(slot, keeper): (&GuardSlot, &SlotKeeper)| GuardAck {
            slot: *slot,
            epoch: keeper.epoch(),
        };
        active.map(ack).collect()
    }

    /// The number of slots whose newest known guard set includes this node. When a node that is
    /// about to stop is excluded from the live nodes, the leader replaces it slot by slot; once
    /// this number is zero, stopping the node loses no guard. Without a spare node the number does
    /// not reach zero, so the wait must be bounded.
    #[must_use]
    pub fn guarded_slots(&self) -> usize {
        let keepers = self.slots.values();
        keepers.filter(|keeper| keeper.is_guard()).count()
    }

    /// The number of keys with a record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.values().map(SlotKeeper::len).sum()
    }

    /// Whether no key has a record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
