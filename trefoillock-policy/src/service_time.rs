//! An estimate of the time that calls of one class take.

use std::time::Duration;

/// The weight of the newest call in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;
/// The part of the average that a call surely needs.
const SURE_PART: f64 = 0.5;
/// The mean deviations above the mean within which most calls end.
const USUAL_DEVIATIONS: f64 = 1.5;
/// The deviations above the average within which most calls end.
const LIKELY_DEVIATIONS: f64 = 2.0;

/// Moving averages of the service time and of its deviation, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceTime {
    mean_s: f64,
    deviation_s: f64,
    is_known: bool,
}

impl ServiceTime {
    /// Counts a call that has ended.
    pub(crate) fn record(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.is_known {
            let error = time - self.mean_s;
            self.mean_s += AVERAGE_WEIGHT * error;
            self.deviation_s += AVERAGE_WEIGHT * (error.abs() - self.deviation_s);
        } else {
            self.mean_s = time;
            self.is_known = true;
        }
    }

    /// The time that most calls take; zero while none is known.
    pub(crate) fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + USUAL_DEVIATIONS * self.deviation_s)
    }

    /// The mean time; zero while none is known.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// A time that nearly every call needs; zero if nothing is known.
    pub(crate) fn sure(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s * SURE_PART)
    }

    /// A time within which most calls end; zero if nothing is known.
    pub(crate) fn likely(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + LIKELY_DEVIATIONS * self.deviation_s)
    }
}
