//! Log lines about single calls.

use std::{
    fmt::Display,
    sync::{Mutex, PoisonError},
};

use http::{HeaderMap, HeaderName};
use trefoillock_core::Timestamp;
use trefoillock_process::{Event, LineBudget, LogFormat, log_event};

/// The largest number of lines about retries in a second.
const RETRY_LINES: u32 = 20;
/// The largest number of lines about failed calls in a second: enough for every one in a bad
/// second of a node at the users' load.
const FAILURE_LINES: u32 = 100;
/// The longest identity of a request in a line, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Writes lines about calls that were retried or failed, within a bound.
#[derive(Debug)]
pub struct CallLog {
    format: LogFormat,
    id_header: Option<HeaderName>,
    retries: Mutex<LineBudget>,
    failures: Mutex<LineBudget>,
}

impl Default for CallLog {
    fn default() -> Self {
        Self::new(LogFormat::default(), None)
    }
}

impl CallLog {
    /// Creates a log whose requests are named by a header, if their callers send one.
    #[must_use]
    pub const fn new(format: LogFormat, id_header: Option<HeaderName>) -> Self {
        Self {
            format,
            id_header,
            retries: Mutex::new(LineBudget::new(RETRY_LINES)),
            failures: Mutex::new(LineBudget::new(FAILURE_LINES)),
        }
    }

    /// The identity of a request; `-` if its caller sent none that can be written.
    #[must_use]
    pub fn id<'a>(&self, map: &'a HeaderMap) -> &'a str {
        let name = self.id_header.as_ref();
        let id = name.and_then(|name| map.get(name)?.to_str().ok());
        id.filter(|id| id.len() <= MAX_ID_BYTES).unwrap_or("-")
    }

    /// Writes that a call is tried again.
    pub fn retried(&self, now: Timestamp, fields: &[(&'static str, &dyn Display)]) {
        let taken = lock(&self.retries).take(now);
        if taken.is_some() {
            log_event(self.format, now, Event::CallRetried, fields);
        }
    }

    /// Writes that a call failed, and how many such lines were left out before.
    pub fn failed(&self, now: Timestamp, fields: &[(&'static str, &dyn Display)]) {
        let taken = lock(&self.failures).take(now);
        if let Some(left_out) = taken {
            let mut fields = fields.to_vec();
            fields.push(("omitted", &left_out));
            log_event(self.format, now, Event::CallFailed, &fields);
        }
    }
}

fn lock(budget: &Mutex<LineBudget>) -> std::sync::MutexGuard<'_, LineBudget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}
