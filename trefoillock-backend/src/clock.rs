//! The present time at the edge of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use trefoillock_core::Timestamp;

/// A monotonic clock that was set by the wall clock once, when it was created.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Timestamp,
    start: Instant,
}

impl Clock {
    /// Creates a clock that shows the present time of the wall clock.
    #[must_use]
    pub fn new() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Self {
            base: Timestamp::EPOCH + wall,
            start: Instant::now(),
        }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.base + self.start.elapsed()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
