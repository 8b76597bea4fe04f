//! A sequential test of whether an event is more frequent in the new pool than in the old one
//! at the same time.

use crate::{
    mixture::{ALTERNATIVES, Mixture},
    sample::Sample,
};

/// The ratios of the event's frequency, new to old, that the test looks for.
const RATIOS: [f64; ALTERNATIVES] = [3.0, 10.0, 40.0, 200.0];

/// A test martingale for "the event is not more frequent in the new pool".
///
/// While that holds, the probability that [`Comparison::log_evidence`] ever reaches `ln(1/a)`
/// is at most `a`, however often it is looked at.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    mixture: Mixture,
}

impl Comparison {
    /// Creates a comparison without evidence.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            mixture: Mixture::new(),
        }
    }

    /// Adds the counts of one window of time.
    pub fn add(&mut self, sample: Sample) {
        self.add_strata(&[sample]);
    }

    /// Adds the counts of several routes over one window of time; each route is compared with
    /// itself only.
    pub fn add_strata(&mut self, samples: &[Sample]) {
        if !samples.iter().any(Sample::is_comparable) {
            return;
        }
        let gain = |ratio| samples.iter().map(|s| log_likelihood_ratio(s, ratio)).sum();
        self.mixture.add(RATIOS.map(gain));
    }

    /// The logarithm of the evidence that the event is more frequent in the new pool.
    #[must_use]
    pub fn log_evidence(&self) -> f64 {
        self.mixture.log_evidence()
    }
}

/// The logarithm of the likelihood ratio of "the event is `ratio` times as frequent in the new
/// pool" against "it is as frequent in both", given the number of events.
#[expect(clippy::cast_precision_loss)]
fn log_likelihood_ratio(sample: &Sample, ratio: f64) -> f64 {
    if !sample.is_comparable() {
        return 0.0;
    }
    let calls = (sample.new_calls + sample.old_calls) as f64;
    let new_part = sample.new_calls as f64 / calls;
    let events = (sample.new_events + sample.old_events) as f64;
    sample.new_events as f64 * ratio.ln() - events * (new_part * (ratio - 1.0)).ln_1p()
}
