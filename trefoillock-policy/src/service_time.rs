//! Estimates the service time of calls of one kind from moving averages.

use std::time::Duration;

/// The weight of the newest call in the moving averages. With 0.1, a single call that takes seven
/// times as long raised the mean by more than half, and calls were refused without need.
const AVERAGE_WEIGHT: f64 = 0.03;
/// The deviation assumed after the first sample, as a share of it.
const FIRST_DEVIATION: f64 = 0.5;
/// The factor on the mean that gives a time which nearly every call needs.
const LOWER_BOUND_FACTOR: f64 = 0.5;
/// The number of mean deviations above the mean within which calls typically end; used for
/// objectives. With 1.5, calls of widely spread times that could still be in time were given up.
const TYPICAL_DEVIATIONS: f64 = 0.5;
/// The number of mean deviations above the mean within which nearly every call ends; used for
/// deadlines.
const UPPER_BOUND_DEVIATIONS: f64 = 2.0;

/// Moving averages of the service time and its absolute deviation, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceTime {
    mean_s: f64,
    deviation_s: f64,
    has_samples: bool,
}

impl ServiceTime {
    /// Records the service time of a call that ended.
    pub(crate) fn record(&mut self, sample: Duration) {
        let sample_s = sample.as_secs_f64();
        if self.has_samples {
            let error = sample_s - self.mean_s;
            self.mean_s += AVERAGE_WEIGHT * error;
            self.deviation_s += AVERAGE_WEIGHT * (error.abs() - self.deviation_s);
        } else {
            self.mean_s = sample_s;
            self.deviation_s = FIRST_DEVIATION * sample_s;
            self.has_samples = true;
        }
    }

    /// A time within which calls typically end, compared with objectives. Zero before the first
    /// sample.
    pub(crate) fn typical(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + TYPICAL_DEVIATIONS * self.deviation_s)
    }

    /// The mean service time. Zero before the first sample.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// A time that nearly every call needs. Zero before the first sample.
    pub(crate) fn lower_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s * LOWER_BOUND_FACTOR)
    }

    /// A time within which nearly every call ends, compared with deadlines. Zero before the first
    /// sample.
    pub(crate) fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + UPPER_BOUND_DEVIATIONS * self.deviation_s)
    }
}
