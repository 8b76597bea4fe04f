//! A clock that does not believe in steps.

use std::time::Duration;

use trefoillock_core::Timestamp;

/// Sums the time that passed between readings and leaves out steps of the clock.
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

    /// The steady time at the last reading.
    pub(crate) const fn now(&self) -> Timestamp {
        self.now
    }

    /// Takes a reading in. Returns whether the clock stepped; then no time counts as passed.
    pub(crate) fn advance(&mut self, reading: Timestamp) -> bool {
        let passed = reading.since(self.reading);
        let stepped = reading < self.reading || passed > self.max_step;
        if !stepped {
            self.now = self.now + passed;
        }
        self.reading = reading;
        stepped
    }

    /// The reading of the outside clock that belongs to a steady time at or after the present.
    pub(crate) fn reading_at(&self, steady: Timestamp) -> Timestamp {
        self.reading + steady.since(self.now)
    }
}
