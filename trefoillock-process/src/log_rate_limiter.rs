//! A rate limit for the log lines of frequent events.

use std::time::Duration;

use trefoillock_core::Timestamp;

/// Limits the number of log lines per second and counts the lines that are omitted.
///
/// ```
/// use trefoillock_core::Timestamp;
/// use trefoillock_process::LogRateLimiter;
///
/// let mut limiter = LogRateLimiter::new(1);
/// let now = Timestamp::from_secs(1);
/// assert_eq!(limiter.acquire(now), Some(0));
/// assert_eq!(limiter.acquire(now), None);
/// assert_eq!(limiter.acquire(Timestamp::from_secs(2)), Some(1));
/// ```
#[derive(Debug)]
pub struct LogRateLimiter {
    per_second: u32,
    remaining: u32,
    second_start: Timestamp,
    omitted: u64,
}

impl LogRateLimiter {
    /// Creates a limit of `per_second` lines per second.
    #[must_use]
    pub const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            remaining: per_second,
            second_start: Timestamp::EPOCH,
            omitted: 0,
        }
    }

    /// Requests permission to write one line. Returns the number of lines that were omitted since the last line that
    /// was written, or `None` if this line must be omitted too.
    pub fn acquire(&mut self, now: Timestamp) -> Option<u64> {
        if now.since(self.second_start) >= Duration::from_secs(1) {
            self.second_start = now;
            self.remaining = self.per_second;
        }
        if self.remaining == 0 {
            self.omitted += 1;
            return None;
        }
        self.remaining -= 1;
        Some(std::mem::take(&mut self.omitted))
    }
}
