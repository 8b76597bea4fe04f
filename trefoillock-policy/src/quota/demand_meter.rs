//! Counts of recent events, such as the calls of a workspace at one entry node.

use std::time::Duration;

use trefoillock_core::Timestamp;

/// Counts events with exponentially decreasing weight.
#[derive(Debug, Clone, Copy)]
pub(super) struct DemandMeter {
    averaging_time: Duration,
    weight: f64,
    updated: Timestamp,
}

impl DemandMeter {
    /// Creates a meter in which the weight of an event decreases to 1/e within a time.
    pub(super) const fn new(averaging_time: Duration) -> Self {
        Self {
            averaging_time,
            weight: 0.0,
            updated: Timestamp::EPOCH,
        }
    }

    pub(super) fn record(&mut self, now: Timestamp) {
        self.weight = self.decayed(now) + 1.0;
        self.updated = self.updated.max(now);
    }

    /// The number of events expected within `time`.
    pub(super) fn expected(&self, now: Timestamp, time: Duration) -> f64 {
        self.decayed(now) * time.as_secs_f64() / self.averaging_time.as_secs_f64()
    }

    /// The number of events here for each one of another meter, which counts as one at least.
    pub(super) fn ratio_to(&self, other: &Self, now: Timestamp) -> f64 {
        self.decayed(now) / other.decayed(now).max(1.0)
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.weight * (-elapsed / self.averaging_time.as_secs_f64()).exp()
    }
}
