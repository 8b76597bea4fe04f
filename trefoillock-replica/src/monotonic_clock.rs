//! The clock of a running replica, which detects suspensions of the machine.

use std::time::{Duration, Instant, SystemTime};

use trefoillock_core::Timestamp;

/// The change of the offset between wall clock and monotonic clock that counts as a jump.
const JUMP_THRESHOLD: Duration = Duration::from_millis(100);

/// A monotonic clock that starts at the time of the wall clock.
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

    /// Returns whether the wall clock jumped relative to the monotonic clock since the last call.
    ///
    /// The monotonic clock stops while a machine is suspended; the wall clock does not.
    pub(crate) fn detect_jump(&mut self) -> bool {
        let wall = i128::from(wall_clock().as_micros());
        let offset = wall - i128::from(self.now().as_micros());
        let jumped = (offset - self.offset_micros).unsigned_abs() > JUMP_THRESHOLD.as_micros();
        if jumped {
            self.offset_micros = offset;
        }
        jumped
    }
}

fn wall_clock() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Timestamp::EPOCH + since_epoch.unwrap_or_default()
}
