//! The judge of a version over all routes that move to its pool.

use std::collections::BTreeSet;

use trefoillock_core::{Fingerprint, MoveEnd};

use crate::{
    baseline::{History, Limit},
    evidence_test::{EvidenceTest, Observation},
    judge::{Judge, Verdict, Window, verdict_of},
    sample::Sample,
};

/// The limit of requests that crash a backend server.
const CRASH_LIMIT: Limit = Limit {
    floor: 0.001,
    factor: 2.0,
};

/// Pools the evidence of routes, and judges crashes by the requests that caused them.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolJudge {
    judge: Judge,
    crashes: EvidenceTest,
    crash_history: History,
    crashed_old: BTreeSet<Fingerprint>,
    crashed_new: BTreeSet<Fingerprint>,
    /// Crashes by requests that were not seen before.
    pending: Sample,
}

impl PoolJudge {
    /// Counts a crash. Each request counts once, and a request that crashes the old version too
    /// does not speak against the new one.
    pub(crate) fn crash(&mut self, fingerprint: Fingerprint, is_new: bool) {
        if is_new {
            let is_first = self.crashed_new.insert(fingerprint);
            let is_counted = is_first && !self.crashed_old.contains(&fingerprint);
            self.pending.new_events += u64::from(is_counted);
        } else {
            let is_first = self.crashed_old.insert(fingerprint);
            self.pending.old_events += u64::from(is_first);
        }
    }

    /// Adds the windows of all routes.
    pub(crate) fn add(&mut self, windows: &[Window]) {
        if windows.is_empty() {
            return;
        }
        self.judge.add(windows);
        for window in windows {
            self.pending.old_calls += window.calls().old_calls;
            self.pending.new_calls += window.calls().new_calls;
        }
        if self.pending.is_comparable() {
            let sample = std::mem::take(&mut self.pending);
            let observation = Observation::new(sample, &mut self.crash_history, CRASH_LIMIT);
            self.crashes.add(&[observation]);
        }
    }

    /// What the evidence of all routes says.
    pub(crate) fn verdict(&self) -> Verdict {
        match self.crash_verdict() {
            Verdict::Clear => self.judge.verdict(),
            verdict => verdict,
        }
    }

    /// What the crashes say.
    pub(crate) fn crash_verdict(&self) -> Verdict {
        verdict_of(&[self.crashes.strength(MoveEnd::Crashes)])
    }

    /// Forgets the pooled evidence but for crashes, after one of the routes was taken back.
    pub(crate) fn restart(&mut self) {
        self.judge = Judge::new();
    }
}
