//! The clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use trefoillock_core::Timestamp;

/// A clock that reads the wall clock once and then follows a monotonic clock, so that steps of
/// the wall clock do not reach the decisions of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall: Timestamp,
    started: Instant,
}

impl Clock {
    /// Starts a clock at the present wall-clock time.
    #[must_use]
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            wall: Timestamp::EPOCH + wall,
            started: Instant::now(),
        }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.wall + self.started.elapsed()
    }
}
