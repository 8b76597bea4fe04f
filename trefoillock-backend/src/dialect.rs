//! How calls are written to a backend server and how its answers are read.

use std::{fmt::Debug, time::Duration};

use http::{HeaderMap, HeaderValue, StatusCode, response::Parts};
use trefoillock_core::{Announcement, headers};

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// It answers the call that was sent.
    Answer,
    /// The backend server refused the call and did not run it.
    DidNotRun,
    /// It cannot be the answer to the call; whether the call ran is unknown.
    Spoiled,
}

/// The headers that a node and a backend server exchange beside the call itself.
pub trait Dialect: Debug + Send + Sync + 'static {
    /// Completes the head of a request to a backend server.
    ///
    /// Returns the value that the answer must repeat, if answers repeat one.
    fn write(
        &self,
        map: &mut HeaderMap,
        server: &Announcement,
        time_left: Duration,
    ) -> Option<HeaderValue>;

    /// Reads the head of an answer. `expected` is what [`Dialect::write`] returned.
    fn read(&self, expected: Option<&HeaderValue>, head: &Parts) -> AnswerKind;
}

/// The headers of the project's own interface.
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
