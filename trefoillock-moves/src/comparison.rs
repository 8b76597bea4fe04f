//! Sequential test of whether an event is more frequent in the new pool than in the old pool over
//! the same time.
//!
//! It compares the pools window by window, so an increase that affects both pools alike is not
//! evidence against the new version.

use crate::{
    mixture::{ALTERNATIVES, MixtureMartingale},
    sample::Sample,
};

/// Ratios of the event rates, new pool to old pool, that the test looks for.
const RATE_RATIOS: [f64; ALTERNATIVES] = [3.0, 10.0, 40.0, 200.0];

/// Test martingale for the null hypothesis "the event is not more frequent in the new pool".
///
/// Under the null hypothesis, the probability that [`Comparison::log_evidence`] ever reaches
/// `ln(1/a)` is at most `a`, however often it is checked.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    mixture: MixtureMartingale,
}

impl Comparison {
    /// Creates a test without evidence.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            mixture: MixtureMartingale::new(),
        }
    }

    /// Adds the counts of one time window.
    pub fn add(&mut self, sample: Sample) {
        self.add_strata(&[sample]);
    }

    /// Adds the counts of several routes over one time window. The pools are compared within each
    /// route, never across routes.
    pub fn add_strata(&mut self, samples: &[Sample]) {
        if !samples.iter().any(Sample::is_comparable) {
            return;
        }
        let log_ratio = |ratio| samples.iter().map(|s| log_likelihood_ratio(s, ratio)).sum();
        self.mixture.add(RATE_RATIOS.map(log_ratio));
    }

    /// The natural logarithm of the evidence that the event is more frequent in the new pool.
    #[must_use]
    pub fn log_evidence(&self) -> f64 {
        self.mixture.log_evidence()
    }
}

/// The log-likelihood ratio of "the event is `ratio` times as frequent in the new pool" against
/// "it is equally frequent in both pools", conditional on the total number of events.
#[expect(clippy::cast_precision_loss)]
fn log_likelihood_ratio(sample: &Sample, ratio: f64) -> f64 {
    if !sample.is_comparable() {
        return 0.0;
    }
    let calls = (sample.new_calls + sample.old_calls) as f64;
    let new_fraction = sample.new_calls as f64 / calls;
    let events = (sample.new_events + sample.old_events) as f64;
    sample.new_events as f64 * ratio.ln() - events * (new_fraction * (ratio - 1.0)).ln_1p()
}
