//! Test martingale for differences of several sizes that may start in any window.
//!
//! The prior weight is spread over the alternatives and over the windows in which a difference
//! may start, so one threshold covers all of them.

/// Number of alternative hypotheses in a mixture.
pub(crate) const ALTERNATIVES: usize = 4;

/// Prior probability that a difference is present from the first window on.
const WEIGHT_AT_START: f64 = 0.5;

/// Number of windows over which the rest of the prior is spread, so that a difference that starts
/// later is found too.
const CHANGE_WINDOWS: u32 = 2_000;

/// Weighted sum of likelihood ratios over the alternatives and over the windows in which a
/// difference may start.
#[derive(Debug, Clone)]
pub(crate) struct MixtureMartingale {
    /// Logarithm of the weighted sum over all start windows, one per alternative.
    log_sums: [f64; ALTERNATIVES],
    window_count: u32,
}

impl Default for MixtureMartingale {
    fn default() -> Self {
        Self::new()
    }
}

impl MixtureMartingale {
    pub(crate) const fn new() -> Self {
        Self {
            log_sums: [f64::NEG_INFINITY; ALTERNATIVES],
            window_count: 0,
        }
    }

    /// Adds one window, given its log-likelihood ratio for each alternative.
    pub(crate) fn add(&mut self, log_ratios: [f64; ALTERNATIVES]) {
        let log_weight = self.next_weight().ln();
        for (sum, log_ratio) in self.log_sums.iter_mut().zip(log_ratios) {
            *sum = log_sum(*sum, log_weight) + log_ratio;
        }
    }

    /// The natural logarithm of the evidence for a difference.
    #[expect(clippy::cast_precision_loss)]
    pub(crate) fn log_evidence(&self) -> f64 {
        let sum = self
            .log_sums
            .iter()
            .copied()
            .fold(f64::NEG_INFINITY, log_sum);
        sum - (ALTERNATIVES as f64).ln()
    }

    /// Returns the prior weight of a difference that starts in the next window, and counts the
    /// window.
    fn next_weight(&mut self) -> f64 {
        let window = self.window_count;
        self.window_count = window.saturating_add(1);
        match window {
            0 => WEIGHT_AT_START,
            1..CHANGE_WINDOWS => (1.0 - WEIGHT_AT_START) / f64::from(CHANGE_WINDOWS),
            _ => 0.0,
        }
    }
}

/// Returns `ln(exp(left) + exp(right))` without overflow.
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
