//! Decides on a node which requests are refused because they crashed backend servers.

use std::collections::BTreeMap;

use trefoillock_core::{CrashReport, Fingerprint, Timestamp};

use crate::CrashCounter;

/// Decides whether a node refuses a request because it crashed backend servers. A request is
/// refused if the leader lists it, or if this node has itself seen its second distinct crash; the
/// latter takes effect without waiting for the leader.
#[derive(Debug, Default)]
pub struct Quarantine {
    listed: BTreeMap<Fingerprint, Timestamp>,
    observed: CrashCounter,
}

impl Quarantine {
    /// Creates a quarantine that refuses no request.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list received from the leader, `Members::quarantined`.
    pub fn sync(&mut self, listed: &BTreeMap<Fingerprint, Timestamp>) {
        if self.listed != *listed {
            self.listed.clone_from(listed);
        }
    }

    /// Counts a crash that this node saw, and returns whether the request is refused from now on.
    /// The caller sends the report to the leader in either case.
    pub fn record_crash(&mut self, now: Timestamp, report: &CrashReport) -> bool {
        self.observed.record(now, report);
        self.refuses(now, report.fingerprint)
    }

    /// Removes a request from this node's suspects because it was answered in full.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        self.observed.record_answer(fingerprint);
    }

    /// Whether a request is refused.
    #[must_use]
    pub fn refuses(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let listed = self.listed.get(&fingerprint);
        listed.is_some_and(|until| now < *until) || self.observed.is_quarantined(now, fingerprint)
    }
}
