//! A bound on the number of log lines of frequent events.

use std::time::Duration;

use trefoillock_core::Timestamp;

/// Lets lines through at a rate, and counts those that it leaves out.
///
/// ```
/// use trefoillock_core::Timestamp;
/// use trefoillock_process::LineBudget;
///
/// let mut budget = LineBudget::new(1);
/// let now = Timestamp::from_secs(1);
/// assert_eq!(budget.take(now), Some(0));
/// assert_eq!(budget.take(now), None);
/// assert_eq!(budget.take(Timestamp::from_secs(2)), Some(1));
/// ```
#[derive(Debug)]
pub struct LineBudget {
    per_second: u32,
    left: u32,
    second_start: Timestamp,
    left_out: u64,
}

impl LineBudget {
    /// Creates a budget of lines a second.
    #[must_use]
    pub const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            left: per_second,
            second_start: Timestamp::EPOCH,
            left_out: 0,
        }
    }

    /// Takes one line. Returns the number of lines that were left out since the last one that
    /// was let through, or `None` if this one is left out.
    pub fn take(&mut self, now: Timestamp) -> Option<u64> {
        if now.since(self.second_start) >= Duration::from_secs(1) {
            self.second_start = now;
            self.left = self.per_second;
        }
        if self.left == 0 {
            self.left_out += 1;
            return None;
        }
        self.left -= 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
