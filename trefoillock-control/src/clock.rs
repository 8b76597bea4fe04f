//! The time source of the distribution in a running process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use trefoillock_core::Timestamp;

/// A monotonic clock that takes its start time from the wall clock and then ignores changes of
/// the wall clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    base: Timestamp,
}

impl Clock {
    /// Starts the clock at the current wall-clock time.
    pub(crate) fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start: Instant::now(),
            base: Timestamp::EPOCH + since_epoch.unwrap_or_default(),
        }
    }

    /// Returns the wall-clock time at the start plus the monotonic time since then.
    pub(crate) fn now(&self) -> Timestamp {
        self.base + self.start.elapsed()
    }
}
