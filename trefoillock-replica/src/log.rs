//! The part of the log that is in memory.

use std::collections::VecDeque;

use trefoillock_core::{LogIndex, Term};

use crate::{Entry, Position};

/// Entries without gaps after a base position. Entries up to the base are compacted.
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

    /// Returns the approximate size in bytes of the entries in memory.
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

    /// Returns the term of the entry at `index`, which may also be the base.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.position.term)
    }

    /// Returns the first index in memory that has the same term as the entry at `index`.
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

    /// Drops all entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        while self.last().index >= index {
            let Some(entry) = self.entries.pop_back() else {
                return;
            };
            self.bytes -= entry.size();
        }
    }

    /// Drops all entries up to and including `index`, which becomes the base.
    pub(crate) fn compact_to(&mut self, index: LogIndex) {
        while self.base.index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.size();
            self.base = entry.position;
        }
    }

    /// Returns entries from `from` on, up to `max_bytes` in size but at least one if there is one.
    pub(crate) fn batch_from(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        self.entries_from(from)
            .take_while(|entry| {
                let first = size == 0;
                size += entry.size();
                first || size <= max_bytes
            })
            .cloned()
            .collect()
    }

    /// Returns all entries from `index` on.
    pub(crate) fn entries_from(&self, index: LogIndex) -> impl Iterator<Item = &Entry> {
        let offset = index.get().saturating_sub(self.base.index.get() + 1);
        self.entries
            .iter()
            .skip(usize::try_from(offset).unwrap_or(usize::MAX))
    }
}
