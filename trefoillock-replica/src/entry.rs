//! Entries of the replicated log.

use trefoillock_core::{LogIndex, Term, data};

use crate::{Membership, Payload};

/// The estimated size of an entry besides its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// The place of an entry: its term and its index.
///
/// The order compares terms first, so the greater of two last positions belongs to the log that
/// is more up to date.
#[data(key)]
#[derive(Default)]
pub struct Position {
    /// The term in which the entry was made.
    pub term: Term,
    /// The index of the entry.
    pub index: LogIndex,
}

impl Position {
    /// Creates a position.
    #[must_use]
    pub const fn new(term: Term, index: LogIndex) -> Self {
        Self { term, index }
    }
}

/// What an entry says.
#[data]
pub enum Content {
    /// Nothing; a new leader appends it to commit the entries of earlier terms.
    Blank,
    /// A command of the state machine.
    Command(Payload),
    /// A new membership, in force from the moment it is in the log.
    Members(Membership),
}

/// One entry of the replicated log.
#[data]
pub struct Entry {
    /// The place of the entry.
    pub position: Position,
    /// What the entry says.
    pub content: Content,
}

impl Entry {
    /// Creates an entry.
    #[must_use]
    pub const fn new(position: Position, content: Content) -> Self {
        Self { position, content }
    }

    /// The index of the entry.
    #[must_use]
    pub const fn index(&self) -> LogIndex {
        self.position.index
    }

    /// The approximate size of the entry in memory and in a message, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let content = match &self.content {
            Content::Blank => 0,
            Content::Command(command) => command.len(),
            Content::Members(members) => members.len() * ENTRY_OVERHEAD_BYTES,
        };
        ENTRY_OVERHEAD_BYTES + content
    }
}
