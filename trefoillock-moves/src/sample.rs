//! Event counts of the two pools of a move, and p-values computed from them.

use std::ops::AddAssign;

/// Numbers of calls, and of calls with a certain event, in both pools over the same time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sample {
    /// Calls of the old pool.
    pub old_calls: u64,
    /// Calls of the old pool that had the event.
    pub old_events: u64,
    /// Calls of the new pool.
    pub new_calls: u64,
    /// Calls of the new pool that had the event.
    pub new_events: u64,
}

/// Ratio of the event rates, new pool to old pool, up to which the new version counts as good.
const RATE_TOLERANCE: f64 = 1.5;

impl Sample {
    /// Whether both pools had calls.
    #[must_use]
    pub const fn is_comparable(&self) -> bool {
        self.old_calls > 0 && self.new_calls > 0
    }

    /// P-value of the new pool's events: the probability of at least as many if the event rate
    /// were `RATE_TOLERANCE` times that of the old pool.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn excess_p_value(&self) -> f64 {
        let old_rate = (self.old_events as f64 + 1.0) / (self.old_calls as f64 + 1.0);
        let mean = self.new_calls as f64 * old_rate.min(1.0) * RATE_TOLERANCE;
        poisson_tail(self.new_events, mean)
    }

    /// P-value of the old pool's events: the probability of at most as many if the event rate
    /// were that of the new pool.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn old_deficit_p_value(&self) -> f64 {
        if self.new_calls == 0 {
            return 1.0;
        }
        let rate = self.new_events as f64 / self.new_calls as f64;
        1.0 - poisson_tail(self.old_events + 1, self.old_calls as f64 * rate)
    }
}

impl AddAssign for Sample {
    fn add_assign(&mut self, other: Self) {
        self.old_calls += other.old_calls;
        self.old_events += other.old_events;
        self.new_calls += other.new_calls;
        self.new_events += other.new_events;
    }
}

/// Upper bound of the probability that a Poisson variable with the given mean is at least
/// `count`.
#[expect(clippy::cast_precision_loss)]
pub(crate) fn poisson_tail(count: u64, mean: f64) -> f64 {
    let threshold = count as f64;
    if threshold <= mean {
        return 1.0;
    }
    let mut log_term = -mean + threshold * mean.max(f64::MIN_POSITIVE).ln();
    log_term -= (1..=count).map(|k| (k as f64).ln()).sum::<f64>();
    let ratio = mean / (threshold + 1.0);
    (log_term.exp() / (1.0 - ratio)).min(1.0)
}
