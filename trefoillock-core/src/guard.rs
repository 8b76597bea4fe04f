//! Which nodes remember the idempotency keys of postings.

use std::{collections::BTreeMap, net::SocketAddr};

use trefoillock_macros::data;

use crate::{DataCentre, Incarnation, NodeId, Timestamp};

/// The number of slots into which idempotency keys are divided.
pub const GUARD_SLOTS: u16 = 256;

/// The number of guards of a slot.
pub const GUARDS_PER_SLOT: usize = 3;

/// A slot of idempotency keys.
#[data(key)]
#[serde(transparent)]
pub struct GuardSlot(u16);

impl GuardSlot {
    /// The slot of a key with a given hash.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the remainder is below GUARD_SLOTS"
    )]
    pub const fn of_hash(hash: u64) -> Self {
        Self((hash % GUARD_SLOTS as u64) as u16)
    }

    /// All slots.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..GUARD_SLOTS).map(Self)
    }

    /// The number of the slot.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }
}

/// One run of a node that remembers keys in memory. After a restart it is another guard.
#[data]
#[derive(PartialOrd, Ord, Hash)]
pub struct Guard {
    /// The node.
    pub node: NodeId,
    /// The run of the node.
    pub incarnation: Incarnation,
    /// The address on which the node takes calls from other nodes.
    pub peer_address: SocketAddr,
    /// The data centre of the node.
    pub data_centre: DataCentre,
}

/// The guards of one slot.
///
/// A key is granted once a majority of the guards of the newest epoch took the claim. In a new
/// epoch each guard first copies the claims of a majority of the guards of the epoch before,
/// which from then on take no claim of the older epoch.
#[data]
pub struct GuardSet {
    /// The number of this set; it rises with every change of the slot.
    pub epoch: u64,
    /// The guards.
    pub guards: Vec<Guard>,
    /// The guards of an epoch before, which are copied from; empty if there is none to copy.
    pub previous: Vec<Guard>,
    /// The epoch of `previous`. Zero if their memory need not be complete, because there was
    /// no epoch before or its memory is lost.
    #[serde(default)]
    pub previous_epoch: u64,
    /// The time at which a majority of the guards was lost together with their memory. Keys
    /// that may be older than this cannot be proved to be new.
    pub lost_at: Option<Timestamp>,
}

impl GuardSet {
    /// The number of guards that must take a claim.
    #[must_use]
    pub const fn quorum(&self) -> usize {
        self.guards.len() / 2 + 1
    }
}

/// The guards of all slots; part of the configuration.
pub type GuardTable = BTreeMap<GuardSlot, GuardSet>;
