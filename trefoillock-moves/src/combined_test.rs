//! The two sequential tests of one event type: new pool against old pool over the same time, and
//! new pool against the history of the old pool.

use trefoillock_core::TakeBackReason;

use crate::{
    baseline::{BaselineTest, EventHistory, EventLimit},
    comparison::Comparison,
    mixture::ALTERNATIVES,
    sample::Sample,
};

/// Counts of one window of a route, with its log-likelihood ratios against the route's history.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Observation {
    pub(crate) sample: Sample,
    /// `None` if the window cannot be compared with the history.
    log_ratios: Option<[f64; ALTERNATIVES]>,
}

impl Observation {
    /// Compares a window with the history of its route, then adds it to the history.
    pub(crate) fn new(sample: Sample, history: &mut EventHistory, limit: EventLimit) -> Self {
        let log_ratios = history.log_likelihood_ratios(&sample, limit);
        history.add(&sample);
        Self { sample, log_ratios }
    }
}

/// Combines [`Comparison`] and [`BaselineTest`] on one event type.
#[derive(Debug, Clone, Default)]
pub(crate) struct CombinedTest {
    comparison: Comparison,
    baseline: BaselineTest,
    total: Sample,
}

/// Strength of the evidence of one test against the new version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EvidenceStrength {
    /// Natural logarithm of the evidence that can take the move back.
    pub(crate) proof: f64,
    /// Natural logarithm of the evidence that can lower the share.
    pub(crate) suspicion: f64,
    /// The reason given if the move is taken back on this evidence.
    pub(crate) reason: TakeBackReason,
}

impl CombinedTest {
    /// Adds one window of one or more routes.
    pub(crate) fn add(&mut self, window: &[Observation]) {
        let samples: Vec<Sample> = window.iter().map(|o| o.sample).collect();
        self.comparison.add_strata(&samples);
        let comparable = window
            .iter()
            .filter_map(|o| Some((&o.sample, o.log_ratios?)));
        self.baseline.add(comparable);
        for sample in samples {
            self.total += sample;
        }
    }

    /// Sum of all counts so far.
    pub(crate) const fn total(&self) -> Sample {
        self.total
    }

    /// Returns the strength of the evidence against the new version. The baseline test counts as
    /// proof only if the old pool was unaffected at the same time.
    pub(crate) fn strength(&self, reason: TakeBackReason) -> EvidenceStrength {
        let concurrent = self.comparison.log_evidence();
        let baseline = self.baseline.log_evidence();
        let proof = if self.baseline.is_old_pool_unaffected() {
            concurrent.max(baseline)
        } else {
            concurrent
        };
        EvidenceStrength {
            proof,
            suspicion: concurrent.max(baseline),
            reason,
        }
    }
}
