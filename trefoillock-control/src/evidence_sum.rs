//! Evidence on its way to the leader: each count arrives at most once.

use std::collections::BTreeSet;

use trefoillock_core::{CrashReport, Evidence, Timestamp, data};

use crate::timing::EVIDENCE_INTERVAL;

/// The largest number of crash reports that wait to be sent.
const MAX_CRASHES: usize = 256;

/// Evidence of a sender, numbered within one run of the sender.
#[data]
pub struct EvidenceBatch {
    /// The number; a receiver drops a batch whose number is not higher than the last one.
    pub sequence: u64,
    /// The counts since the batch before; old and new pool of a move always together.
    pub evidence: Evidence,
    /// Crashes. Taking one twice changes nothing.
    pub crashes: BTreeSet<CrashReport>,
}

/// Sums evidence and sends it upwards.
///
/// At most one batch is on its way. It is repeated under the same number until the parent
/// confirms it, and dropped when the parent changes, since the old parent may have taken it.
#[derive(Debug, Default)]
pub struct EvidenceOutbox {
    evidence: Evidence,
    crashes: BTreeSet<CrashReport>,
    outstanding: Option<EvidenceBatch>,
    last_sequence: u64,
    last_batch: Timestamp,
}

impl EvidenceOutbox {
    /// Adds counts.
    pub fn add(&mut self, evidence: &Evidence, crashes: impl IntoIterator<Item = CrashReport>) {
        self.evidence.merge(evidence);
        self.crashes.extend(crashes);
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_last();
        }
    }

    /// The batch to send now, if there is one.
    pub fn batch(&mut self, now: Timestamp) -> Option<EvidenceBatch> {
        let is_due = now.since(self.last_batch) >= EVIDENCE_INTERVAL;
        let has_news = !self.evidence.is_empty() || !self.crashes.is_empty();
        if self.outstanding.is_none() && is_due && has_news {
            self.last_sequence += 1;
            self.last_batch = now;
            self.outstanding = Some(EvidenceBatch {
                sequence: self.last_sequence,
                evidence: std::mem::take(&mut self.evidence),
                crashes: std::mem::take(&mut self.crashes),
            });
        }
        self.outstanding.clone()
    }

    /// Notes that the parent took a batch.
    pub fn confirm(&mut self, sequence: u64) {
        if self
            .outstanding
            .as_ref()
            .is_some_and(|batch| batch.sequence <= sequence)
        {
            self.outstanding = None;
        }
    }

    /// Drops the counts that the parent before may or may not have taken.
    pub fn change_parent(&mut self) {
        if let Some(batch) = self.outstanding.take() {
            self.crashes.extend(batch.crashes);
        }
    }

    /// Takes everything that was added, for a sender that has no parent.
    pub fn drain(&mut self) -> (Evidence, BTreeSet<CrashReport>) {
        let evidence = std::mem::take(&mut self.evidence);
        (evidence, std::mem::take(&mut self.crashes))
    }
}
