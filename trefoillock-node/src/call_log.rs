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
/// The largest number of lines about refusals beside a backend server in a second; the entry's lines
/// name every failed call.
const REFUSAL_LINES: u32 = 50;
/// The largest number of lines about answered calls in a second: samples of what goes well.
const ANSWER_LINES: u32 = 5;
/// The longest identity of a request in a line, in bytes.
const MAX_ID_BYTES: usize = 64;

/// The fields of a line.
pub type CallFields = Vec<(&'static str, String)>;

/// What a line tells about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallLine {
    /// It ended without an answer of a backend server.
    Failed,
    /// It was answered by a backend server.
    Answered {
        /// Whether the answer is a server error.
        is_error: bool,
    },
    /// The node beside the backend server refused it.
    Refused,
    /// It was sent to the backend server and not answered in full.
    Broken,
    /// It is tried again.
    Retried,
}

impl CallLine {
    const fn event(self) -> Event {
        match self {
            Self::Failed => Event::CallFailed,
            Self::Answered { .. } => Event::CallAnswered,
            Self::Refused => Event::CallRefused,
            Self::Broken => Event::CallBroken,
            Self::Retried => Event::CallRetried,
        }
    }

    /// The budget that the line is taken from.
    const fn budget(self) -> usize {
        match self {
            Self::Failed => 0,
            Self::Answered { is_error: true } | Self::Broken => 1,
            Self::Refused => 2,
            Self::Retried => 3,
            Self::Answered { is_error: false } => 4,
        }
    }
}

/// Writes lines about single calls, within bounds for each kind.
#[derive(Debug)]
pub struct CallLog {
    format: LogFormat,
    id_header: Option<HeaderName>,
    budgets: [Mutex<LineBudget>; 5],
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
            budgets: [
                Mutex::new(LineBudget::new(FAILURE_LINES)),
                Mutex::new(LineBudget::new(FAILURE_LINES)),
                Mutex::new(LineBudget::new(REFUSAL_LINES)),
                Mutex::new(LineBudget::new(RETRY_LINES)),
                Mutex::new(LineBudget::new(ANSWER_LINES)),
            ],
        }
    }

    /// The identity of a request; `-` if its caller sent none that can be written.
    #[must_use]
    pub fn id<'a>(&self, map: &'a HeaderMap) -> &'a str {
        let name = self.id_header.as_ref();
        let id = name.and_then(|name| map.get(name)?.to_str().ok());
        id.filter(|id| id.len() <= MAX_ID_BYTES).unwrap_or("-")
    }

    /// Writes a line about a call, unless too many of its kind were written within the second.
    ///
    /// The fields are only made if the line is written; it ends with the number of lines of its
    /// kind that were left out before.
    pub fn write(&self, now: Timestamp, line: CallLine, fields: impl FnOnce() -> CallFields) {
        let Some(left_out) = lock(&self.budgets[line.budget()]).take(now) else {
            return;
        };
        let mut fields = fields();
        fields.push(("omitted", left_out.to_string()));
        let fields: Vec<(&'static str, &dyn Display)> = fields
            .iter()
            .map(|(name, value)| (*name, value as &dyn Display))
            .collect();
        log_event(self.format, now, line.event(), &fields);
    }
}

fn lock(budget: &Mutex<LineBudget>) -> std::sync::MutexGuard<'_, LineBudget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}
