//! Rate-limited log lines about single calls.

use std::{
    fmt::Display,
    sync::{Mutex, PoisonError},
};

use http::{HeaderMap, HeaderName, header};
use trefoillock_core::Timestamp;
use trefoillock_process::{Event, LogFormat, LogRateLimiter, log_event};

/// The largest number of lines about retries per second.
const RETRY_LINES_PER_S: u32 = 20;
/// The largest number of lines about failed calls per second: enough for all failed calls of a node
/// in a second with many failures, at the users' load.
const FAILURE_LINES_PER_S: u32 = 100;
/// The largest number of lines about refusals by a destination node per second; the lines of the
/// entry node include every failed call.
const REFUSAL_LINES_PER_S: u32 = 50;
/// The largest number of lines about unknown keys per second. They have a limit of their own, so that
/// callers without a key cannot use up that of failed calls.
const UNKNOWN_KEY_LINES_PER_S: u32 = 10;
/// The largest number of lines about successful calls per second; these are only samples.
const ANSWER_LINES_PER_S: u32 = 5;
/// The largest number of lines about abandoned calls per second; the metrics count all of them.
const ABANDONED_LINES_PER_S: u32 = 10;
/// The longest request identifier that is logged, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// The names and values of the fields of a line.
pub type CallFields = Vec<(&'static str, String)>;

/// The kind of a line about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallLine {
    /// The call ended without a response of a backend server.
    Failed,
    /// A backend server responded.
    Answered {
        /// Whether the response is a server error.
        is_error: bool,
    },
    /// The destination node refused the call.
    Refused,
    /// The call was sent to the backend server, but its response is missing or incomplete.
    Broken,
    /// The call is retried.
    Retried,
    /// The call was refused because it carried no known key.
    UnknownKey,
    /// The caller disconnected before the response was complete.
    Abandoned,
}

impl CallLine {
    const fn event(self) -> Event {
        match self {
            Self::Failed => Event::CallFailed,
            Self::Answered { .. } => Event::CallAnswered,
            Self::Refused => Event::CallRefused,
            Self::Broken => Event::CallBroken,
            Self::Retried => Event::CallRetried,
            Self::UnknownKey => Event::ApiKeyRefused,
            Self::Abandoned => Event::CallAbandoned,
        }
    }

    /// The index of the limiter that the line counts against.
    const fn limiter_index(self) -> usize {
        match self {
            Self::Failed => 0,
            Self::Answered { is_error: true } | Self::Broken => 1,
            Self::Refused => 2,
            Self::Retried => 3,
            Self::Answered { is_error: false } => 4,
            Self::UnknownKey => 5,
            Self::Abandoned => 6,
        }
    }
}

/// Writes lines about single calls, with a rate limit for each kind.
#[derive(Debug)]
pub struct CallLog {
    format: LogFormat,
    id_header: Option<HeaderName>,
    limiters: [Mutex<LogRateLimiter>; 7],
}

impl Default for CallLog {
    fn default() -> Self {
        Self::new(LogFormat::default(), None)
    }
}

impl CallLog {
    /// Creates a log that identifies requests by the header `id_header`, if it is set.
    #[must_use]
    pub const fn new(format: LogFormat, id_header: Option<HeaderName>) -> Self {
        Self {
            format,
            id_header,
            limiters: [
                Mutex::new(LogRateLimiter::new(FAILURE_LINES_PER_S)),
                Mutex::new(LogRateLimiter::new(FAILURE_LINES_PER_S)),
                Mutex::new(LogRateLimiter::new(REFUSAL_LINES_PER_S)),
                Mutex::new(LogRateLimiter::new(RETRY_LINES_PER_S)),
                Mutex::new(LogRateLimiter::new(ANSWER_LINES_PER_S)),
                Mutex::new(LogRateLimiter::new(UNKNOWN_KEY_LINES_PER_S)),
                Mutex::new(LogRateLimiter::new(ABANDONED_LINES_PER_S)),
            ],
        }
    }

    /// The identifier of a request; `-` if the caller sent none that can be logged. The header of API keys is
    /// never logged.
    #[must_use]
    pub fn id<'a>(&self, map: &'a HeaderMap) -> &'a str {
        let name = self.id_header.as_ref();
        let name = name.filter(|name| *name != header::AUTHORIZATION);
        let id = name.and_then(|name| map.get(name)?.to_str().ok());
        id.filter(|id| id.len() <= MAX_REQUEST_ID_BYTES)
            .unwrap_or("-")
    }

    /// Writes a line about a call, unless the limit of its kind is used up within the second.
    ///
    /// `fields` is only called if the line is written. The line ends with the number of lines of
    /// its kind that were omitted before.
    pub fn write(&self, now: Timestamp, line: CallLine, fields: impl FnOnce() -> CallFields) {
        let Some(omitted) = lock(&self.limiters[line.limiter_index()]).acquire(now) else {
            return;
        };
        let mut fields = fields();
        fields.push(("omitted", omitted.to_string()));
        let fields: Vec<(&'static str, &dyn Display)> = fields
            .iter()
            .map(|(name, value)| (*name, value as &dyn Display))
            .collect();
        log_event(self.format, now, line.event(), &fields);
    }
}

fn lock(limiter: &Mutex<LogRateLimiter>) -> std::sync::MutexGuard<'_, LogRateLimiter> {
    limiter.lock().unwrap_or_else(PoisonError::into_inner)
}
