//! Entries of the replicated log.

use trefoillock_core::{LogIndex, Term, data};

use crate::{Membership, Payload};

/// The estimated size of an entry besides its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// The term and index of an entry.
///
/// Positions compare by term first, so the greater of two last positions belongs to the log that
/// is more up to date.
#[data(key)]
#[derive(Default)]
pub struct Position {
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The index of the entry in the log.
    pub index: LogIndex,
}

impl Position {
    /// Creates the position of `index` in `term`.
    #[must_use]
    pub const fn new(term: Term, index: LogIndex) -> Self {
        Self { term, index }
    }
}

/// The content of an entry.
#[data]
pub enum Content {
    /// No content. A new leader appends such an entry to commit the entries of earlier terms.
    Blank,
    /// A command for the state machine.
    Command(Payload),
    /// A new membership, in force as soon as it is in the log.
    Members(Membership),
}

/// One entry of the replicated log.
#[data]
pub struct Entry {
    /// The term and index of the entry.
    pub position: Position,
    /// The command or membership.
    pub content: Content,
}

impl Entry {
    /// Creates an entry at a position.
    #[must_use]
    pub const fn new(position: Position, content: Content) -> Self {
        Self { position, content }
    }

    /// Returns the index of the entry in the log.
    #[must_use]
    pub const fn index(&self) -> LogIndex {
        self.position.index
    }

    /// Returns the approximate size of the entry in memory and in a message, in bytes.
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
