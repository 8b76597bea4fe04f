//! The clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use trefoillock_core::Timestamp;

/// A monotonic clock that was set to the wall clock once at its start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    base: Timestamp,
}

impl Clock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start: Instant::now(),
            base: Timestamp::EPOCH + since_epoch.unwrap_or_default(),
        }
    }

    /// The present time.
    pub(crate) fn now(&self) -> Timestamp {
        self.base + self.start.elapsed()
    }
}
