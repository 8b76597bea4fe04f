//! The part of the log that is held in memory.

use std::collections::VecDeque;

use trefoillock_core::{LogIndex, Term};

use crate::{Entry, Position};

/// Entries without gaps that follow a base position.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    pub(crate) fn new(base: Position, entries: Vec<Entry>) -> Self {
        let bytes = entries.iter().map(Entry::size).sum();
        Self {
            base,
            entries: entries.into(),
            bytes,
        }
    }

    pub(crate) const fn base(&self) -> Position {
        self.base
    }

    /// The approximate size in bytes of the entries in memory.
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |e| e.position)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.get().checked_sub(self.base.index.get() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The term of the entry at an index, also of the base.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.position.term)
    }

    /// The first index in memory with the term of the entry at `index`.
    pub(crate) fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first.get() > self.base.index.get() + 1
            && self.term_at(LogIndex::new(first.get() - 1)) == term
        {
            first = LogIndex::new(first.get() - 1);
        }
        first
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Drops all entries from an index on.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        while self.last().index >= index {
            let Some(entry) = self.entries.pop_back() else {
                return;
            };
            self.bytes -= entry.size();
        }
    }

    /// Drops all entries up to and including an index that is in memory.
    pub(crate) fn compact_to(&mut self, index: LogIndex) {
        while self.base.index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.size();
            self.base = entry.position;
        }
    }

    /// Entries from an index on, at least one if there is one, up to a size in bytes.
    pub(crate) fn batch(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        self.from(from)
            .take_while(|entry| {
                let first = size == 0;
                size += entry.size();
                first || size <= max_bytes
            })
            .cloned()
            .collect()
    }

    /// All entries from an index on.
    pub(crate) fn from(&self, index: LogIndex) -> impl Iterator<Item = &Entry> {
        let offset = index.get().saturating_sub(self.base.index.get() + 1);
        self.entries
            .iter()
            .skip(usize::try_from(offset).unwrap_or(usize::MAX))
    }
}
