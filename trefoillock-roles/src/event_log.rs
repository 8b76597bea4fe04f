//! Writes numbered events with the clock and the log format of this process.

use std::fmt::Display;

use trefoillock_process::{Clock, Event, LogFormat, log_event};

/// Writes the events of one process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EventLog {
    clock: Clock,
    format: LogFormat,
}

impl EventLog {
    pub(crate) const fn new(clock: Clock, format: LogFormat) -> Self {
        Self { clock, format }
    }

    /// Writes an event with named fields.
    pub(crate) fn write(&self, event: Event, fields: &[(&'static str, &dyn Display)]) {
        log_event(self.format, self.clock.now(), event, fields);
    }
}
