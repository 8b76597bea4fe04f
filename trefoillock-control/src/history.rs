//! A bounded history of encoded differences, and the newest state as a whole.

use std::collections::VecDeque;

use crate::Payload;

/// The largest number of differences that are kept.
const MAX_ENTRIES: usize = 512;
/// The largest size of all kept differences together, in bytes.
const MAX_BYTES: usize = 1024 * 1024;

/// The size up to which differences are sent whatever the size of a snapshot, in bytes.
const MIN_SNAPSHOT_BYTES: usize = 16 * 1024;

#[derive(Debug)]
struct Entry<M> {
    base: M,
    payload: Payload,
}

/// The differences that lead to the newest version, each starting where the one before ends.
///
/// `M` identifies a version.
#[derive(Debug)]
pub struct History<M> {
    newest: M,
    entries: VecDeque<Entry<M>>,
    bytes: usize,
    snapshot: Option<Payload>,
    /// The size of the last snapshot, in bytes; encoding one only to compare is too dear.
    snapshot_bytes: usize,
}

impl<M: Copy + PartialEq + Default> Default for History<M> {
    fn default() -> Self {
        Self {
            newest: M::default(),
            entries: VecDeque::new(),
            bytes: 0,
            snapshot: None,
            snapshot_bytes: 0,
        }
    }
}

impl<M: Copy + PartialEq + Default> History<M> {
    /// The newest version.
    #[must_use]
    pub const fn newest(&self) -> M {
        self.newest
    }

    /// Adds the difference that leads from the newest version to the next.
    pub fn push(&mut self, to: M, payload: Payload) {
        self.bytes += payload.len();
        self.entries.push_back(Entry {
            base: self.newest,
            payload,
        });
        self.newest = to;
        self.snapshot = None;
        while self.entries.len() > MAX_ENTRIES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= oldest.payload.len();
        }
    }

    /// Starts again at a version that was received as a whole.
    pub fn restart(&mut self, at: M, snapshot: Payload) {
        self.entries.clear();
        self.bytes = 0;
        self.newest = at;
        self.snapshot_bytes = snapshot.len();
        self.snapshot = Some(snapshot);
    }

    /// The payloads that lead from a held version to the newest, whichever way is shorter.
    ///
    /// `encode` gives the newest version as a whole; its result is kept.
    pub fn updates_from(&mut self, held: M, encode: impl FnOnce() -> Payload) -> Vec<Payload> {
        if held == self.newest {
            return Vec::new();
        }
        let chain: Vec<Payload> = self
            .entries
            .iter()
            .skip_while(|entry| entry.base != held)
            .map(|entry| entry.payload.clone())
            .collect();
        let bytes: usize = chain.iter().map(Payload::len).sum();
        if !chain.is_empty() && bytes <= self.snapshot_bytes.max(MIN_SNAPSHOT_BYTES) {
            return chain;
        }
        let snapshot = self.snapshot.get_or_insert_with(encode);
        self.snapshot_bytes = snapshot.len();
        vec![snapshot.clone()]
    }
}
