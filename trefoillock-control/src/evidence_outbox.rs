//! Aggregation and at-most-once delivery of evidence on its way to the leader.

use std::collections::BTreeSet;

use trefoillock_core::{CrashReport, Evidence, Timestamp, data};

use crate::timing::{EVIDENCE_INTERVAL, URGENT_EVIDENCE_INTERVAL};

/// The largest number of crash reports that are queued to be sent.
const MAX_CRASHES: usize = 256;

/// A batch of evidence, numbered within one incarnation of its sender.
#[data]
pub struct EvidenceBatch {
    /// The sequence number; a receiver drops a batch whose number is not higher than the last one.
    pub sequence: u64,
    /// The counts since the previous batch. The counts of a move's old and new pool always travel
    /// in the same batch.
    pub evidence: Evidence,
    /// Crash reports; receiving one twice has no further effect.
    pub crashes: BTreeSet<CrashReport>,
}

/// Aggregates evidence and batches it for the parent.
///
/// At most one batch is outstanding. It is sent again under the same number until the parent
/// acknowledges it. When the parent changes, the counts of the batch are dropped, because the old
/// parent may have accepted them.
#[derive(Debug, Default)]
pub struct EvidenceOutbox {
    evidence: Evidence,
    crashes: BTreeSet<CrashReport>,
    outstanding: Option<EvidenceBatch>,
    /// Whether the queued counts contain failures of a new version.
    is_urgent: bool,
    last_sequence: u64,
    last_batch: Timestamp,
}

impl EvidenceOutbox {
    /// Adds counts and crash reports; beyond the limit crash reports are dropped.
    pub fn add(&mut self, evidence: &Evidence, crashes: impl IntoIterator<Item = CrashReport>) {
        let mut moves = evidence.moves.values();
        self.is_urgent |= moves.any(|counts| counts.new.failures > 0);
        self.evidence.merge(evidence);
        self.crashes.extend(crashes);
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_last();
        }
    }

    /// Returns whether the queued counts contain failures of a new version, which are sent earlier.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Returns the outstanding batch, after forming a new one if none is outstanding and
    /// [`EVIDENCE_INTERVAL`] has passed, or [`URGENT_EVIDENCE_INTERVAL`] for failures of a new version.
    pub fn due_batch(&mut self, now: Timestamp) -> Option<EvidenceBatch> {
        let interval = if self.is_urgent {
            URGENT_EVIDENCE_INTERVAL
        } else {
            EVIDENCE_INTERVAL
        };
        let is_due = now.since(self.last_batch) >= interval;
        let has_content = !self.evidence.is_empty() || !self.crashes.is_empty();
        if self.outstanding.is_none() && is_due && has_content {
            self.last_sequence += 1;
            self.last_batch = now;
            self.is_urgent = false;
            self.outstanding = Some(EvidenceBatch {
                sequence: self.last_sequence,
                evidence: std::mem::take(&mut self.evidence),
                crashes: std::mem::take(&mut self.crashes),
            });
        }
        self.outstanding.clone()
    }

    /// Records that the parent accepted the batches up to this number.
    pub fn acknowledge(&mut self, sequence: u64) {
        if self
            .outstanding
            .as_ref()
            .is_some_and(|batch| batch.sequence <= sequence)
        {
            self.outstanding = None;
        }
    }

    /// Drops the counts of the outstanding batch, which the old parent may have accepted, and
    /// queues its crash reports again.
    pub fn discard_outstanding(&mut self) {
        if let Some(batch) = self.outstanding.take() {
            self.crashes.extend(batch.crashes);
        }
    }

    /// Removes and returns everything that was added, for a process that has no parent.
    pub fn drain(&mut self) -> (Evidence, BTreeSet<CrashReport>) {
        let evidence = std::mem::take(&mut self.evidence);
        (evidence, std::mem::take(&mut self.crashes))
    }
}
