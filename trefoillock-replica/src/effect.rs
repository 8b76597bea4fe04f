//! What the replica's machine asks of its surroundings.

use std::sync::Arc;

use trefoillock_core::{ReplicaId, data};

use crate::{Entry, HardState, Message, Position, Snapshot};

/// The number of a batch of writes; a batch is synced after all batches with lower numbers.
#[data(key)]
#[derive(Default)]
#[serde(transparent)]
pub struct Ticket(u64);

impl Ticket {
    /// The ticket that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The number of a read that waits for confirmation.
#[data(key)]
#[serde(transparent)]
pub struct ReadId(u64);

impl ReadId {
    /// Creates the number of a read.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

/// A write to the disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Replaces the term and the vote.
    HardState(HardState),
    /// Appends entries; those in the log from the first one's index on are dropped.
    Entries(Vec<Entry>),
    /// Replaces the snapshot, then the log.
    Snapshot {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// The position before the first entry of the new log.
        base: Position,
        /// All entries of the new log.
        entries: Vec<Entry>,
    },
}

/// What the replica's machine asks of its surroundings, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Writes to the disk and syncs, then reports the ticket as synced.
    Write {
        /// The ticket to report.
        ticket: Ticket,
        /// The writes in order.
        writes: Vec<Write>,
    },
    /// Sends a message; it may be lost.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Applies committed entries to the state machine.
    Apply(Vec<Entry>),
    /// Replaces the state machine's state.
    Restore(Arc<Snapshot>),
    /// Asks for a snapshot of the state machine's present state.
    TakeSnapshot {
        /// The position of the last applied entry.
        position: Position,
    },
    /// A read may be answered from the state machine's present state.
    ReadReady(ReadId),
    /// A read cannot be answered by this replica.
    ReadFailed(ReadId),
    /// An invariant does not hold; the replica must stop.
    Halt {
        /// What was seen.
        reason: String,
    },
}
