//! A simulated disk that loses unsynced writes in a crash.

use std::collections::VecDeque;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{LogIndex, Term};
use trefoillock_replica::{
    BatchId, Entry, HardState, Membership, Position, RecoveredState, ReplicaIdentity, Snapshot,
    Write,
};

/// The synced content of a disk, and the writes that are not synced yet.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disk {
    hard_state: HardState,
    snapshot: Snapshot,
    base: Position,
    entries: Vec<Entry>,
    unsynced: VecDeque<(BatchId, u64, Vec<Write>)>,
}

impl Disk {
    pub(crate) fn new(members: Membership) -> Self {
        Self {
            snapshot: Snapshot {
                members,
                ..Snapshot::default()
            },
            ..Self::default()
        }
    }

    pub(crate) fn write(&mut self, batch: BatchId, due: u64, writes: Vec<Write>) {
        let last = self.unsynced.back().map_or(0, |(_, due, _)| *due);
        self.unsynced.push_back((batch, due.max(last), writes));
    }

    /// Syncs the next batch that is due. Returns its number.
    pub(crate) fn sync(&mut self, now: u64) -> Option<BatchId> {
        let (_, due, _) = self.unsynced.front()?;
        if *due > now {
            return None;
        }
        let (batch, _, writes) = self.unsynced.pop_front()?;
        for write in writes {
            self.apply(write);
        }
        Some(batch)
    }

    pub(crate) fn has_unsynced(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// Loses a random suffix of the unsynced writes. The last write that is kept may be torn.
    pub(crate) fn crash(&mut self, rng: &mut Pcg64Mcg) {
        if rng.random_range(0..4) == 0 {
            self.lose_unsynced();
        }
        let batches = std::mem::take(&mut self.unsynced);
        for write in batches.into_iter().flat_map(|(_, _, writes)| writes) {
            match rng.random_range(0..3) {
                0 => self.apply(write),
                1 => {
                    self.tear(write, rng);
                    return;
                }
                _ => return,
            }
        }
    }

    /// Loses all unsynced writes.
    pub(crate) fn lose_unsynced(&mut self) {
        self.unsynced.clear();
    }

    fn tear(&mut self, write: Write, rng: &mut Pcg64Mcg) {
        match write {
            Write::HardState(_) => {}
            Write::Entries(mut entries) => {
                entries.truncate(rng.random_range(0..=entries.len()));
                self.append(entries);
            }
            Write::Snapshot { snapshot, .. } => self.snapshot = snapshot.as_ref().clone(),
        }
    }

    fn apply(&mut self, write: Write) {
        match write {
            Write::HardState(state) => self.hard_state = state,
            Write::Entries(entries) => self.append(entries),
            Write::Snapshot {
                snapshot,
                base,
                entries,
            } => {
                self.snapshot = snapshot.as_ref().clone();
                self.base = base;
                self.entries = entries;
            }
        }
    }

    fn append(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let kept = entry.index().get() - self.base.index.get() - 1;
            let kept = usize::try_from(kept).expect("a small log");
            assert!(
                kept <= self.entries.len(),
                "a gap before {:?}",
                entry.position
            );
            self.entries.truncate(kept);
            self.entries.push(entry);
        }
    }

    pub(crate) const fn hard_state(&self) -> HardState {
        self.hard_state
    }

    pub(crate) const fn term(&self) -> Term {
        self.hard_state.term
    }

    pub(crate) fn last(&self) -> LogIndex {
        let last = self.entries.last().map_or(self.base, |e| e.position);
        last.index.max(self.snapshot.position.index)
    }

    /// Returns whether an entry is synced or covered by a synced snapshot.
    pub(crate) fn contains(&self, entry: &Entry) -> bool {
        let index = entry.index();
        let offset = index.get().checked_sub(self.base.index.get() + 1);
        let offset = offset.and_then(|offset| usize::try_from(offset).ok());
        let own = offset.and_then(|offset| self.entries.get(offset));
        own.map_or(index <= self.snapshot.position.index, |own| own == entry)
    }

    /// Returns the state that a restart reads, by the same rule as the data folder.
    pub(crate) fn recover(&mut self, identity: ReplicaIdentity) -> RecoveredState {
        let position = self.snapshot.position;
        let holds = |e: &Entry| e.position == position;
        if self.base != position && !self.entries.iter().any(holds) {
            self.base = position;
            self.entries.clear();
        }
        RecoveredState {
            identity,
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            base: self.base,
            entries: self.entries.clone(),
        }
    }
}
