//! The two sequential tests on one kind of event.

use trefoillock_core::MoveEnd;

use crate::{
    baseline::{Baseline, History, Limit},
    comparison::Comparison,
    mixture::ALTERNATIVES,
    sample::Sample,
};

/// The counts of one window and what they say against the history of the route.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Observation {
    pub(crate) sample: Sample,
    gains: Option<[f64; ALTERNATIVES]>,
}

impl Observation {
    /// Judges a window against the history of its route, and adds it to the history.
    pub(crate) fn new(sample: Sample, history: &mut History, limit: Limit) -> Self {
        let gains = history.judge(&sample, limit);
        history.add(&sample);
        Self { sample, gains }
    }
}

/// Compares new with old at the same time, and new with the history of old.
#[derive(Debug, Clone, Default)]
pub(crate) struct EvidenceTest {
    comparison: Comparison,
    baseline: Baseline,
    total: Sample,
}

/// How strongly a test speaks against the new version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Strength {
    /// The logarithm of the evidence that may take a version back.
    pub(crate) proof: f64,
    /// The logarithm of the evidence that may lower a share.
    pub(crate) suspicion: f64,
    /// What the version would be taken back for.
    pub(crate) end: MoveEnd,
}

impl EvidenceTest {
    /// Adds one window of one or more routes.
    pub(crate) fn add(&mut self, window: &[Observation]) {
        let samples: Vec<Sample> = window.iter().map(|o| o.sample).collect();
        self.comparison.add_strata(&samples);
        let judged = window.iter().filter_map(|o| Some((&o.sample, o.gains?)));
        self.baseline.add(judged);
        for sample in samples {
            self.total += sample;
        }
    }

    /// All counts so far.
    pub(crate) const fn total(&self) -> Sample {
        self.total
    }

    /// How strongly the test speaks against the new version.
    pub(crate) fn strength(&self, end: MoveEnd) -> Strength {
        let compared = self.comparison.log_evidence();
        let baseline = self.baseline.log_evidence();
        let proof = if self.baseline.is_confirmed() {
            compared.max(baseline)
        } else {
            compared
        };
        Strength {
            proof,
            suspicion: compared.max(baseline),
            end,
        }
    }
}
