//! The clock of a process, which is unaffected by steps of the wall clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use trefoillock_core::Timestamp;

/// A clock that reads the wall clock once at start and then follows a monotonic clock, so that
/// steps of the wall clock do not affect the decisions of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall_at_start: Timestamp,
    started: Instant,
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
    #[must_use]
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            wall_at_start: Timestamp::EPOCH + wall,
            started: Instant::now(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.wall_at_start + self.started.elapsed()
    }
}
