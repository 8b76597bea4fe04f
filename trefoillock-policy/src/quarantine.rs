//! The check of requests that crash backend servers, on a node.

use std::collections::BTreeMap;

use trefoillock_core::{CrashReport, Fingerprint, Timestamp};

use crate::CrashTally;

/// Refuses requests that crashed backend servers twice: those that the leader lists, and at
/// once those whose second crash this node saw itself.
#[derive(Debug, Default)]
pub struct Quarantine {
    listed: BTreeMap<Fingerprint, Timestamp>,
    seen: CrashTally,
}

impl Quarantine {
    /// Creates a quarantine that refuses nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the list of the leader, `Members::quarantined`.
    pub fn sync(&mut self, listed: &BTreeMap<Fingerprint, Timestamp>) {
        if self.listed != *listed {
            self.listed.clone_from(listed);
        }
    }

    /// Counts a crash that this node saw, and returns whether the request is refused from now
    /// on. The report is to be sent to the leader either way.
    pub fn crashed(&mut self, now: Timestamp, report: &CrashReport) -> bool {
        self.seen.record(now, report);
        self.refuses(now, report.fingerprint)
    }

    /// Clears a request of this node's suspicion, because it was answered in full.
    pub fn answered(&mut self, fingerprint: Fingerprint) {
        self.seen.answered(fingerprint);
    }

    /// Whether a request is refused.
    #[must_use]
    pub fn refuses(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let listed = self.listed.get(&fingerprint);
        listed.is_some_and(|until| now < *until) || self.seen.is_quarantined(now, fingerprint)
    }
}
