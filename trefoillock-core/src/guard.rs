//! The assignment of idempotency keys to guards, the nodes that remember which keys were used.
//!
//! The hash of a key selects a [`GuardSlot`], and each slot has a [`GuardSet`]. The guards keep
//! the keys in memory only.

use std::{collections::BTreeMap, net::SocketAddr};

use trefoillock_macros::data;

use crate::{DataCentre, Incarnation, NodeId, Timestamp};

/// The number of slots into which idempotency keys are divided.
pub const GUARD_SLOTS: u16 = 256;

/// The number of guards per slot.
pub const GUARDS_PER_SLOT: usize = 3;

/// One of the groups into which idempotency keys are divided by their hash.
#[data(key)]
#[serde(transparent)]
pub struct GuardSlot(u16);

impl GuardSlot {
    /// The slot of a key, given the hash of the key.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the remainder is below GUARD_SLOTS"
    )]
    pub const fn from_hash(hash: u64) -> Self {
        Self((hash % GUARD_SLOTS as u64) as u16)
    }

    /// All slots, in increasing order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..GUARD_SLOTS).map(Self)
    }

    /// The number of the slot.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }
}

/// One run of a node that remembers idempotency keys.
///
/// The keys are kept in memory, so a restarted node counts as a different guard.
#[data]
#[derive(PartialOrd, Ord, Hash)]
pub struct Guard {
    /// The identity of the node.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The address on which the node accepts calls from other nodes and messages to the guard.
    pub peer_address: SocketAddr,
    /// The data centre of the node.
    pub data_centre: DataCentre,
}

/// The guards of one slot.
///
/// A claim on a key is granted once a majority of the guards of the newest epoch have accepted
/// it. In a new epoch each guard first copies the claims of so many guards of the previous epoch
/// that every majority of them includes one that was copied from: two of three, one of two. A guard
/// that has been copied from accepts no more claims of the older epoch.
#[data]
pub struct GuardSet {
    /// The number of this set; it increases with every change of the guards of the slot.
    pub epoch: u64,
    /// The current guards.
    pub guards: Vec<Guard>,
    /// The guards of an earlier epoch from which the current guards copy; empty if there is
    /// nothing to copy.
    pub previous: Vec<Guard>,
    /// The epoch of `previous`. Zero if the keys of `previous` need not be complete, because
    /// there was no earlier epoch or its keys are lost.
    #[serde(default)]
    pub previous_epoch: u64,
    /// If a majority of the guards was lost together with the keys in their memory, the time at
    /// which the leader then changed the guards; `None` if there was no such loss or it is too long
    /// ago to matter. A key that may be older than this cannot be proved to be unused.
    pub lost_at: Option<Timestamp>,
}

impl GuardSet {
    /// The number of guards that must accept a claim: a majority.
    #[must_use]
    pub const fn quorum(&self) -> usize {
        self.guards.len() / 2 + 1
    }
}

/// The guards of all slots, as part of the configuration.
pub type GuardTable = BTreeMap<GuardSlot, GuardSet>;
