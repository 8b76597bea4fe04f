//! Effects: the outputs of [`Replica`](crate::Replica), which its caller executes.

use std::sync::Arc;

use trefoillock_core::{ReplicaId, data};

use crate::{Entry, HardState, Message, Position, Snapshot};

/// The sequence number of a batch of writes. Batches are synced in the order of their numbers.
#[data(key)]
#[derive(Default)]
#[serde(transparent)]
pub struct BatchId(u64);

impl BatchId {
    /// Returns the number of the next batch.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The identifier of a read, chosen by the caller.
#[data(key)]
#[serde(transparent)]
pub struct ReadId(u64);

impl ReadId {
    /// Creates an identifier from a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

/// A write to persistent storage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Replaces the term and vote.
    HardState(HardState),
    /// Appends entries, after dropping those in the log from the index of the first one on.
    Entries(Vec<Entry>),
    /// Replaces the snapshot, and then the log.
    Snapshot {
        /// The new snapshot.
        snapshot: Arc<Snapshot>,
        /// The position before the first entry of the new log.
        base: Position,
        /// All entries of the new log.
        entries: Vec<Entry>,
    },
}

/// An output of a replica. Effects are executed in the order in which they are returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Performs writes and syncs them, then calls
    /// [`Replica::report_synced`](crate::Replica::report_synced).
    Write {
        /// The number of the batch.
        batch: BatchId,
        /// The writes, in order.
        writes: Vec<Write>,
    },
    /// Sends a message, which may be lost.
    Send {
        /// The replica that the message is for.
        to: ReplicaId,
        /// The content.
        message: Message,
    },
    /// Applies committed entries to the state machine.
    Apply(Vec<Entry>),
    /// Replaces the state of the state machine by a snapshot.
    Restore(Arc<Snapshot>),
    /// Requests a snapshot of the current state of the state machine, to be passed to
    /// [`Replica::record_snapshot`](crate::Replica::record_snapshot).
    TakeSnapshot {
        /// The position of the last applied entry.
        position: Position,
    },
    /// A read may be answered from the current state of the state machine.
    ReadReady(ReadId),
    /// A read cannot be answered by this replica.
    ReadFailed(ReadId),
    /// An invariant is violated and the replica must stop.
    Halt {
        /// A description of the violation.
        reason: String,
    },
}
