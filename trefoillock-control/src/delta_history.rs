//! A bounded history of encoded deltas that lead to the newest version, with a cached snapshot of
//! that version.
//!
//! It chooses for each receiver between the chain of deltas from its version and the snapshot.

use std::collections::VecDeque;

use crate::Payload;

/// The largest number of deltas that are kept.
const MAX_DELTAS: usize = 512;
/// The largest total size of all kept deltas, in bytes.
const MAX_BYTES: usize = 1024 * 1024;

/// The total size up to which deltas are preferred to a snapshot whatever the snapshot's size, in
/// bytes.
const MIN_DELTA_BUDGET_BYTES: usize = 16 * 1024;

#[derive(Debug)]
struct Delta<V> {
    base: V,
    payload: Payload,
}

/// The deltas that lead to the newest version, each starting at the version at which the previous
/// one ends.
///
/// `V` identifies a version.
#[derive(Debug)]
pub struct DeltaHistory<V> {
    newest: V,
    deltas: VecDeque<Delta<V>>,
    bytes: usize,
    snapshot: Option<Payload>,
    /// The size of the last encoded snapshot, in bytes; encoding a new one only to compare sizes
    /// would cost too much.
    snapshot_bytes: usize,
}

impl<V: Copy + PartialEq + Default> Default for DeltaHistory<V> {
    fn default() -> Self {
        Self {
            newest: V::default(),
            deltas: VecDeque::new(),
            bytes: 0,
            snapshot: None,
            snapshot_bytes: 0,
        }
    }
}

impl<V: Copy + PartialEq + Default> DeltaHistory<V> {
    /// Returns the newest version.
    #[must_use]
    pub const fn newest(&self) -> V {
        self.newest
    }

    /// Adds the delta from the newest version to version `to`, which becomes the newest.
    pub fn push(&mut self, to: V, payload: Payload) {
        self.bytes += payload.len();
        self.deltas.push_back(Delta {
            base: self.newest,
            payload,
        });
        self.newest = to;
        self.snapshot = None;
        while self.deltas.len() > MAX_DELTAS || self.bytes > MAX_BYTES {
            let Some(oldest) = self.deltas.pop_front() else {
                break;
            };
            self.bytes -= oldest.payload.len();
        }
    }

    /// Clears the history and starts it at version `at`, of which `snapshot` is the encoded whole.
    pub fn reset(&mut self, at: V, snapshot: Payload) {
        self.deltas.clear();
        self.bytes = 0;
        self.newest = at;
        self.snapshot_bytes = snapshot.len();
        self.snapshot = Some(snapshot);
    }

    /// Returns the payloads that lead from a held version to the newest: the chain of deltas if
    /// it is complete and small enough, otherwise a snapshot.
    ///
    /// `encode` produces the snapshot of the newest version; its result is cached.
    pub fn updates_from(&mut self, held: V, encode: impl FnOnce() -> Payload) -> Vec<Payload> {
        if held == self.newest {
            return Vec::new();
        }
        if let Some(chain) = self.deltas_from(held) {
            return chain;
        }
        let snapshot = self.snapshot.get_or_insert_with(encode);
        self.snapshot_bytes = snapshot.len();
        vec![snapshot.clone()]
    }

    /// Returns the chain of deltas that leads from a held version to the newest, if it is complete
    /// and small enough, and not empty.
    #[must_use]
    pub fn deltas_from(&self, held: V) -> Option<Vec<Payload>> {
        let chain: Vec<Payload> = self
            .deltas
            .iter()
            .skip_while(|delta| delta.base != held)
            .map(|delta| delta.payload.clone())
            .collect();
        let bytes: usize = chain.iter().map(Payload::len).sum();
        let budget = self.snapshot_bytes.max(MIN_DELTA_BUDGET_BYTES);
        (!chain.is_empty() && bytes <= budget).then_some(chain)
    }
}
