//! A clock that ignores jumps of the clock that it reads.

use std::time::Duration;

use trefoillock_core::Timestamp;

/// Adds up the time between readings of another clock, without the jumps of that clock.
#[derive(Debug, Clone)]
pub(crate) struct SteadyClock {
    reading: Timestamp,
    now: Timestamp,
    max_step: Duration,
}

impl SteadyClock {
    pub(crate) const fn new(reading: Timestamp, max_step: Duration) -> Self {
        Self {
            reading,
            now: reading,
            max_step,
        }
    }

    /// Returns the steady time at the last reading.
    pub(crate) const fn now(&self) -> Timestamp {
        self.now
    }

    /// Adds the time since the last reading. Returns `true`, and adds nothing, if the clock jumped:
    /// backwards, or forwards by more than `max_step`.
    pub(crate) fn advance(&mut self, reading: Timestamp) -> bool {
        let passed = reading.since(self.reading);
        let jumped = reading < self.reading || passed > self.max_step;
        if !jumped {
            self.now = self.now + passed;
        }
        self.reading = reading;
        jumped
    }

    /// Converts a steady time, which is not in the past, to a reading of the other clock.
    pub(crate) fn reading_at(&self, steady: Timestamp) -> Timestamp {
        self.reading + steady.since(self.now)
    }
}
