//! Estimates the timeout that callers of a route usually set.

use std::{collections::VecDeque, time::Duration};

/// The number of most recent calls that the estimate is based on.
const WINDOW: usize = 256;
/// The number of calls before the first estimate and between two updates of it.
const CALLS_PER_UPDATE: usize = 32;
/// The divisor that gives the share of calls whose timeout may exceed the estimate: 10 makes the
/// estimate the 90th percentile.
const LONGER_DIVISOR: usize = 10;
/// The difference, in percent of the estimate, that is attributed to variation between callers.
/// Only a timeout that is shorter by more than this counts as partly elapsed.
const TOLERANCE_PERCENT: u32 = 20;

/// Estimates the timeout that the callers of one route set on their first attempt.
///
/// A caller that retries passes on only the time left. A call with a much shorter timeout than
/// usual is therefore likely a retry, and its caller has already waited for the difference.
///
/// ```
/// use std::time::Duration;
/// use trefoillock_policy::CallerTimeoutEstimate;
///
/// let mut estimate = CallerTimeoutEstimate::default();
/// for _ in 0..50 {
///     estimate.record(Duration::from_millis(800));
/// }
/// assert_eq!(estimate.waited_before(Duration::from_millis(500)), Duration::from_millis(300));
/// assert_eq!(estimate.waited_before(Duration::from_millis(700)), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CallerTimeoutEstimate {
    recent: VecDeque<Duration>,
    calls_since_update: usize,
    estimate: Option<Duration>,
}

impl CallerTimeoutEstimate {
    /// Records the timeout of a call.
    pub fn record(&mut self, timeout: Duration) {
        if self.recent.len() >= WINDOW {
            self.recent.pop_front();
        }
        self.recent.push_back(timeout);
        self.calls_since_update += 1;
        if self.calls_since_update >= CALLS_PER_UPDATE {
            self.calls_since_update = 0;
            self.estimate = self.percentile();
        }
    }

    /// Estimates how long the caller of a call with this timeout has already waited in earlier
    /// attempts. Zero before the first estimate.
    #[must_use]
    pub fn waited_before(&self, timeout: Duration) -> Duration {
        let estimate = self.estimate.unwrap_or_default();
        if timeout >= estimate * (100 - TOLERANCE_PERCENT) / 100 {
            Duration::ZERO
        } else {
            estimate.saturating_sub(timeout)
        }
    }

    /// The 90th percentile of the recent timeouts.
    fn percentile(&self) -> Option<Duration> {
        let mut timeouts: Vec<Duration> = self.recent.iter().copied().collect();
        let index = timeouts.len().checked_sub(1)? - timeouts.len() / LONGER_DIVISOR;
        let (_, percentile, _) = timeouts.select_nth_unstable(index);
        Some(*percentile)
    }
}
