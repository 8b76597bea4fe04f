//! The clock of a running replica.

use std::time::{Duration, Instant, SystemTime};

use trefoillock_core::Timestamp;

/// The difference of wall clock and monotonic clock that counts as a step or a suspension.
const MAX_DRIFT: Duration = Duration::from_millis(100);

/// A monotonic clock that was set by the wall clock once.
#[derive(Debug)]
pub(crate) struct MonotonicClock {
    anchor: Instant,
    start: Timestamp,
    offset_micros: i128,
}

impl MonotonicClock {
    pub(crate) fn new() -> Self {
        Self {
            anchor: Instant::now(),
            start: wall_clock(),
            offset_micros: 0,
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.start + self.anchor.elapsed()
    }

    /// Whether the wall clock moved against the monotonic one since the last call.
    ///
    /// The monotonic clock stands still while a machine is suspended; the wall clock does not.
    pub(crate) fn drifted(&mut self) -> bool {
        let wall = i128::from(wall_clock().as_micros());
        let offset = wall - i128::from(self.now().as_micros());
        let moved = (offset - self.offset_micros).unsigned_abs() > MAX_DRIFT.as_micros();
        if moved {
            self.offset_micros = offset;
        }
        moved
    }
}

fn wall_clock() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Timestamp::EPOCH + since_epoch.unwrap_or_default()
}
