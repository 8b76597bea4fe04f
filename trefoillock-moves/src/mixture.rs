//! A test martingale that looks for differences of several sizes that may start at any time.

/// The number of alternatives that a mixture looks for.
pub(crate) const ALTERNATIVES: usize = 4;

/// The part of the prior weight that lies on a difference that stands from the first window on.
const WEIGHT_AT_START: f64 = 0.5;

/// The number of windows over which the rest of the prior weight is spread, so that a
/// difference that appears later is found too.
const CHANGE_WINDOWS: u32 = 2_000;

/// The weighted sum of likelihood ratios over alternatives and over the windows at which a
/// difference may start.
#[derive(Debug, Clone)]
pub(crate) struct Mixture {
    /// The logarithm of the weighted sum over all starts, by alternative.
    logs: [f64; ALTERNATIVES],
    windows: u32,
}

impl Default for Mixture {
    fn default() -> Self {
        Self::new()
    }
}

impl Mixture {
    pub(crate) const fn new() -> Self {
        Self {
            logs: [f64::NEG_INFINITY; ALTERNATIVES],
            windows: 0,
        }
    }

    /// Adds one window, given the logarithm of its likelihood ratio for each alternative.
    pub(crate) fn add(&mut self, gains: [f64; ALTERNATIVES]) {
        let log_weight = self.next_weight().ln();
        for (log, gain) in self.logs.iter_mut().zip(gains) {
            *log = log_sum(*log, log_weight) + gain;
        }
    }

    /// The logarithm of the evidence for a difference.
    #[expect(clippy::cast_precision_loss)]
    pub(crate) fn log_evidence(&self) -> f64 {
        let sum = self.logs.iter().copied().fold(f64::NEG_INFINITY, log_sum);
        sum - (ALTERNATIVES as f64).ln()
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
