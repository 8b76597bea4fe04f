//! The headers that a node and a backend server exchange with each call.

use std::{
    fmt::Debug,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, response::Parts};
use trefoillock_core::{Announcement, WorkspaceName, headers};

use crate::ServerStatement;

/// What the head of a response says about the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// It is the response to the call that was sent.
    Answer,
    /// The backend server rejected the call without running it.
    DidNotRun,
    /// The same, but the response does not say which call it belongs to.
    DidNotRunUnidentified,
    /// It does not match the call; whether the call ran is unknown.
    Mismatched,
}

/// Writes and reads the headers that a node and a backend server exchange with each call.
pub trait Dialect: Debug + Send + Sync + 'static {
    /// Adds headers to a request to a backend server. The name of the workspace is set if there is
    /// one, and removed otherwise.
    ///
    /// Returns the value that the response must repeat, or `None` if responses are not checked.
    fn write_request_headers(
        &self,
        map: &mut HeaderMap,
        server: &Announcement,
        time_left: Duration,
        workspace: Option<&WorkspaceName>,
    ) -> Option<HeaderValue>;

    /// The identity under which the caller may send a request more than once. `None` if
    /// [`Dialect::write_request_headers`] gives each request one of its own.
    fn caller_identity(&self, map: &HeaderMap) -> Option<HeaderValue> {
        let _ = map;
        None
    }

    /// Classifies a response by its head. `expected` is what [`Dialect::write_request_headers`]
    /// returned for the request.
    fn classify_response(&self, expected: Option<&HeaderValue>, head: &Parts) -> ResponseKind;

    /// Reads what the backend server says about itself, from a response that is not
    /// [`ResponseKind::Mismatched`]. `None` if another process than the expected one sent it.
    fn read_statement(&self, head: &Parts) -> Option<ServerStatement>;

    /// Reads from the response to a health check for how long the backend server stays cold. `None`
    /// if it does not state it, or another process than the expected one sent it.
    fn read_warm_up(&self, head: &Parts) -> Option<Duration>;
}

/// Reads a header that holds a number of milliseconds; `None` unless it occurs once.
#[must_use]
pub fn read_millis(map: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let mut values = map.get_all(name).iter();
    let millis = values.next()?.to_str().ok()?.trim().parse().ok()?;
    values
        .next()
        .is_none()
        .then(|| Duration::from_millis(millis))
}

/// The identity of the next call to a backend server; unique within this process, to which the
/// connections belong.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// The headers of this project's own interface: `trefoillock-outcome: did-not-run` with status 503
/// marks a rejected call; `trefoillock-call` identifies the call that a response belongs to, if the
/// backend server repeats it; `trefoillock-limit`, `trefoillock-leaving` and
/// `trefoillock-server-load` are statements of the backend server about itself, and so is
/// `trefoillock-warm-up-ms` in responses to health checks.
#[derive(Debug, Clone, Copy, Default)]
pub struct DefaultDialect;

impl Dialect for DefaultDialect {
    fn write_request_headers(
        &self,
        map: &mut HeaderMap,
        _: &Announcement,
        _: Duration,
        workspace: Option<&WorkspaceName>,
    ) -> Option<HeaderValue> {
        let workspace = workspace.and_then(|name| HeaderValue::from_str(name.as_str()).ok());
        match workspace {
            Some(name) => map.insert(headers::WORKSPACE, name),
            None => map.remove(headers::WORKSPACE),
        };
        let call = HeaderValue::from(NEXT_CALL.fetch_add(1, Ordering::Relaxed));
        map.insert(headers::CALL, call.clone());
        Some(call)
    }

    fn classify_response(&self, expected: Option<&HeaderValue>, head: &Parts) -> ResponseKind {
        let call = head.headers.get(headers::CALL);
        if call.is_some() && call != expected {
            return ResponseKind::Mismatched;
        }
        let outcome = head.headers.get(headers::OUTCOME);
        let refused = outcome.is_some_and(|value| value.as_bytes() == b"did-not-run");
        let refused = refused && head.status == StatusCode::SERVICE_UNAVAILABLE;
        match call {
            Some(_) if refused => ResponseKind::DidNotRun,
            None if refused => ResponseKind::DidNotRunUnidentified,
            Some(_) | None => ResponseKind::Answer,
        }
    }

    fn read_statement(&self, head: &Parts) -> Option<ServerStatement> {
        let (limit, leaving, load) = (
            HeaderName::from_static(headers::LIMIT),
            HeaderName::from_static(headers::LEAVING),
            HeaderName::from_static(headers::SERVER_LOAD),
        );
        let statement = ServerStatement::read(&head.headers, &limit, &leaving);
        Some(statement.with_load(&head.headers, &load))
    }

    fn read_warm_up(&self, head: &Parts) -> Option<Duration> {
        read_millis(&head.headers, &HeaderName::from_static(headers::WARM_UP_MS))
    }
}
