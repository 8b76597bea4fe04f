//! Analysis of a version over all routes that move to its pool.
//!
//! It adds up the evidence of the routes, and analyses crashes by the requests that caused them.

use std::collections::BTreeSet;

use trefoillock_core::{Fingerprint, TakeBackReason};

use crate::{
    baseline::{EventHistory, EventLimit},
    combined_test::{CombinedTest, Observation},
    sample::Sample,
    version_analysis::{Verdict, VersionAnalysis, Window, verdict_of},
};

/// Limit of the rate of distinct requests that crash a backend server.
const CRASH_LIMIT: EventLimit = EventLimit {
    floor: 0.001,
    history_factor: 2.0,
};

/// Combined evidence of all moves to one pool, with the crashes of its backend servers.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolAnalysis {
    analysis: VersionAnalysis,
    crashes: CombinedTest,
    crash_history: EventHistory,
    crashed_old: BTreeSet<Fingerprint>,
    crashed_new: BTreeSet<Fingerprint>,
    /// Crashes by requests not seen before, and calls, that have not been added to the test yet.
    pending_sample: Sample,
}

impl PoolAnalysis {
    /// Counts a crash. Each request counts once, and a request that has crashed the old version
    /// too does not count against the new one.
    pub(crate) fn record_crash(&mut self, fingerprint: Fingerprint, is_new: bool) {
        if is_new {
            let is_first = self.crashed_new.insert(fingerprint);
            let is_counted = is_first && !self.crashed_old.contains(&fingerprint);
            self.pending_sample.new_events += u64::from(is_counted);
        } else {
            let is_first = self.crashed_old.insert(fingerprint);
            self.pending_sample.old_events += u64::from(is_first);
        }
    }

    /// Adds the windows of all routes.
    pub(crate) fn add(&mut self, windows: &[Window]) {
        if windows.is_empty() {
            return;
        }
        self.analysis.add(windows);
        for window in windows {
            self.pending_sample.old_calls += window.calls().old_calls;
            self.pending_sample.new_calls += window.calls().new_calls;
        }
        if self.pending_sample.is_comparable() {
            let sample = std::mem::take(&mut self.pending_sample);
            let observation = Observation::new(sample, &mut self.crash_history, CRASH_LIMIT);
            self.crashes.add(&[observation]);
        }
    }

    /// The verdict on the evidence of all routes.
    pub(crate) fn verdict(&self) -> Verdict {
        match self.crash_verdict() {
            Verdict::Clear => self.analysis.verdict(),
            verdict => verdict,
        }
    }

    /// The verdict on the crashes alone.
    pub(crate) fn crash_verdict(&self) -> Verdict {
        verdict_of(&[self.crashes.strength(TakeBackReason::Crashes)])
    }

    /// Discards the combined evidence except crashes, after one of the routes was taken back.
    pub(crate) fn reset_except_crashes(&mut self) {
        self.analysis = VersionAnalysis::new();
    }
}
