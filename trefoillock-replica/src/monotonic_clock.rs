//! The clock of a running replica, which detects suspensions of the machine.

use std::{
    fmt,
    time::{Duration, SystemTime},
};

use trefoillock_core::Timestamp;
use trefoillock_process::BootInstant;

/// The change of the offset between wall clock and monotonic clock that counts as a jump.
const JUMP_THRESHOLD: Duration = Duration::from_millis(100);

/// Readings of the clocks of a VM, taken at the same time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockReadings {
    /// The time since an arbitrary moment, on a clock that is never stepped and also counts the time
    /// for which the VM is suspended.
    pub(crate) monotonic: Duration,
    /// The time of day.
    pub(crate) wall: Timestamp,
}

/// Reads the clocks of the VM.
type ReadClocks = Box<dyn Fn() -> ClockReadings + Send>;

/// A monotonic clock that starts at the time of the wall clock.
pub(crate) struct MonotonicClock {
    read: ReadClocks,
    first: ClockReadings,
    offset_micros: i128,
}

impl MonotonicClock {
    pub(crate) fn new() -> Self {
        let anchor = BootInstant::now();
        Self::with_source(Box::new(move || ClockReadings {
            monotonic: anchor.elapsed(),
            wall: wall_clock(),
        }))
    }

    /// Creates a clock that reads the given clocks.
    pub(crate) fn with_source(read: ReadClocks) -> Self {
        Self {
            first: read(),
            read,
            offset_micros: 0,
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.time_of((self.read)())
    }

    fn time_of(&self, readings: ClockReadings) -> Timestamp {
        self.first.wall + readings.monotonic.saturating_sub(self.first.monotonic)
    }

    /// Returns whether the wall clock jumped relative to the monotonic clock since the last call.
    ///
    /// A hypervisor may stop all clocks of a VM but the wall clock, which it sets afterwards.
    pub(crate) fn detect_jump(&mut self) -> bool {
        let readings = (self.read)();
        let wall = i128::from(readings.wall.as_micros());
        let offset = wall - i128::from(self.time_of(readings).as_micros());
        let jumped = (offset - self.offset_micros).unsigned_abs() > JUMP_THRESHOLD.as_micros();
        if jumped {
            self.offset_micros = offset;
        }
        jumped
    }
}

impl fmt::Debug for MonotonicClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MonotonicClock")
            .field("first", &self.first)
            .field("offset_micros", &self.offset_micros)
            .finish_non_exhaustive()
    }
}

fn wall_clock() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Timestamp::EPOCH + since_epoch.unwrap_or_default()
}
