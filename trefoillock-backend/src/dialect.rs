//! The headers that a node and a backend server exchange with each call.

use std::{fmt::Debug, time::Duration};

use http::{HeaderMap, HeaderValue, StatusCode, response::Parts};
use trefoillock_core::{Announcement, headers};

/// What the head of a response says about the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// It is the response to the call that was sent.
    Answer,
    /// The backend server rejected the call without running it.
    DidNotRun,
    /// It does not match the call; whether the call ran is unknown.
    Spoiled,
}

/// Writes and reads the headers that a node and a backend server exchange with each call.
pub trait Dialect: Debug + Send + Sync + 'static {
    /// Adds headers to a request to a backend server.
    ///
    /// Returns the value that the response must repeat, or `None` if responses are not checked.
    fn write(
        &self,
        map: &mut HeaderMap,
        server: &Announcement,
        time_left: Duration,
    ) -> Option<HeaderValue>;

    /// Classifies a response by its head. `expected` is what [`Dialect::write`] returned for the
    /// request.
    fn read(&self, expected: Option<&HeaderValue>, head: &Parts) -> AnswerKind;
}

/// The headers of this project's own interface: `trefoillock-outcome: did-not-run` with status 503
/// marks a rejected call.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnDialect;

impl Dialect for OwnDialect {
    fn write(&self, _: &mut HeaderMap, _: &Announcement, _: Duration) -> Option<HeaderValue> {
        None
    }

    fn read(&self, _: Option<&HeaderValue>, head: &Parts) -> AnswerKind {
        let outcome = head.headers.get(headers::OUTCOME);
        let refused = outcome.is_some_and(|value| value.as_bytes() == b"did-not-run");
        if head.status == StatusCode::SERVICE_UNAVAILABLE && refused {
            AnswerKind::DidNotRun
        } else {
            AnswerKind::Answer
        }
    }
}
