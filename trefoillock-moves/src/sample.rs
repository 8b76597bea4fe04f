//! Counts of calls and of events among them.

use std::ops::AddAssign;

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

/// By how much more frequent an event may be in the new pool without a doubt.
const TOLERANCE: f64 = 1.5;

impl Sample {
    /// Whether both pools had calls.
    #[must_use]
    pub const fn is_comparable(&self) -> bool {
        self.old_calls > 0 && self.new_calls > 0
    }

    /// The probability of at least as many events in the new pool if they were hardly more
    /// frequent there than in the old one.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn plausibility(&self) -> f64 {
        let old_rate = (self.old_events as f64 + 1.0) / (self.old_calls as f64 + 1.0);
        let mean = self.new_calls as f64 * old_rate.min(1.0) * TOLERANCE;
        poisson_tail(self.new_events, mean)
    }

    /// The probability of at most as many events in the old pool if they were as frequent there
    /// as in the new one.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn chance_of_sparing_old(&self) -> f64 {
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

/// The probability that a Poisson variable with the given mean reaches `count`.
#[expect(clippy::cast_precision_loss)]
pub(crate) fn poisson_tail(count: u64, mean: f64) -> f64 {
    let reach = count as f64;
    if reach <= mean {
        return 1.0;
    }
    let mut log_term = -mean + reach * mean.max(f64::MIN_POSITIVE).ln();
    log_term -= (1..=count).map(|k| (k as f64).ln()).sum::<f64>();
    let ratio = mean / (reach + 1.0);
    (log_term.exp() / (1.0 - ratio)).min(1.0)
}
