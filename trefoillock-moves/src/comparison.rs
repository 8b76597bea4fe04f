//! A sequential test of whether an event is more frequent in the new pool than in the old one.

/// The ratios of the event's frequency, new to old, that the test looks for.
const RATIOS: [f64; 4] = [3.0, 10.0, 40.0, 200.0];

/// The part of the prior weight that lies on a difference that stands from the first window on.
const WEIGHT_AT_START: f64 = 0.5;

/// The number of windows over which the rest of the prior weight is spread, so that a
/// difference that appears later is found too.
const CHANGE_WINDOWS: u32 = 2_000;

/// Counts of calls and of events among them, in both pools over the same time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sample {
    /// Calls of the old pool.
    pub old_calls: u64,
    /// Events among the calls of the old pool.
    pub old_events: u64,
    /// Calls of the new pool.
    pub new_calls: u64,
    /// Events among the calls of the new pool.
    pub new_events: u64,
}

impl Sample {
    /// The logarithm of the likelihood ratio of "the event is `ratio` times as frequent in the
    /// new pool" against "it is as frequent in both", given the number of events.
    #[expect(clippy::cast_precision_loss)]
    fn log_likelihood_ratio(self, ratio: f64) -> f64 {
        if self.old_calls == 0 || self.new_calls == 0 {
            return 0.0;
        }
        let new_part = self.new_calls as f64 / (self.new_calls + self.old_calls) as f64;
        let events = (self.new_events + self.old_events) as f64;
        self.new_events as f64 * ratio.ln() - events * (new_part * (ratio - 1.0)).ln_1p()
    }
}

/// A test martingale for "the event is not more frequent in the new pool".
///
/// While that holds, the probability that [`Comparison::log_evidence`] ever reaches `ln(1/a)`
/// is at most `a`, however often it is looked at.
#[derive(Debug, Clone)]
pub struct Comparison {
    /// The logarithm of the weighted sum of the likelihood ratios from all starts, by ratio.
    logs: [f64; RATIOS.len()],
    windows: u32,
}

impl Default for Comparison {
    fn default() -> Self {
        Self::new()
    }
}

impl Comparison {
    /// Creates a comparison without evidence.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            logs: [f64::NEG_INFINITY; RATIOS.len()],
            windows: 0,
        }
    }

    /// Adds the counts of one window of time.
    pub fn add(&mut self, sample: Sample) {
        self.add_strata(&[sample]);
    }

    /// Adds the counts of several routes over one window of time; each route is compared with
    /// itself only.
    pub fn add_strata(&mut self, samples: &[Sample]) {
        let comparable = |s: &Sample| s.old_calls > 0 && s.new_calls > 0;
        if !samples.iter().any(comparable) {
            return;
        }
        let log_weight = self.next_weight().ln();
        for (log, ratio) in self.logs.iter_mut().zip(RATIOS) {
            let gain: f64 = samples.iter().map(|s| s.log_likelihood_ratio(ratio)).sum();
            *log = log_sum(*log, log_weight) + gain;
        }
    }

    /// The logarithm of the evidence that the event is more frequent in the new pool.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn log_evidence(&self) -> f64 {
        let sum = self.logs.iter().copied().fold(f64::NEG_INFINITY, log_sum);
        sum - (RATIOS.len() as f64).ln()
    }

    /// The prior weight of a difference that starts with the coming window.
    fn next_weight(&mut self) -> f64 {
        let window = self.windows;
        self.windows = window.saturating_add(1);
        match window {
            0 => WEIGHT_AT_START,
            1..CHANGE_WINDOWS => (1.0 - WEIGHT_AT_START) / f64::from(CHANGE_WINDOWS),
            _ => 0.0,
        }
    }
}

/// The logarithm of the sum of two numbers that are given by their logarithms.
fn log_sum(left: f64, right: f64) -> f64 {
    let (low, high) = if left < right {
        (left, right)
    } else {
        (right, left)
    };
    if high == f64::NEG_INFINITY {
        return high;
    }
    high + (low - high).exp().ln_1p()
}
