//! Responses that carry a failed call, and reading them back at the entry node.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use serde::{
    Deserialize,
    de::{IntoDeserializer, value::StrDeserializer},
};
use trefoillock_backend::{Body, CallFailure, Crash, NotExecuted, full_body};
use trefoillock_core::{Outcome, RefusalReason, headers};

use crate::headers::{CRASHED, RETRY_AFTER_MS, header_text};

/// The value of `retry-after`, in seconds.
const RETRY_AFTER_S: &str = "1";

/// The response that reports a failure: its status, outcome and reason.
#[must_use]
pub fn failure_response(failure: &CallFailure) -> Response<Body> {
    let reason = failure.reason();
    let outcome = failure.outcome();
    let text = format!("{}: {}\n", outcome.as_str(), reason.as_str());
    let mut resp = Response::new(full_body(text));
    *resp.status_mut() =
        StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let map = resp.headers_mut();
    map.insert(headers::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    map.insert(headers::REASON, HeaderValue::from_static(reason.as_str()));
    map.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    if reason == RefusalReason::UnknownKey {
        // RFC 9110 requires the header with status 401.
        map.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if is_safe_to_retry(reason, outcome) {
        map.insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    if let Some(retry_after) = failure.retry_after() {
        set_retry_after(map, retry_after);
    }
    if failure.crash() == Crash::Yes {
        map.insert(CRASHED, HeaderValue::from_static("1"));
    }
    resp
}

/// States in the headers of a refusal after which time a retry may find a free slot.
pub fn set_retry_after(map: &mut HeaderMap, retry_after: Duration) {
    let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    map.insert(RETRY_AFTER_MS, HeaderValue::from(millis));
}

/// Whether a later retry can succeed without the risk that the call runs twice.
const fn is_safe_to_retry(reason: RefusalReason, outcome: Outcome) -> bool {
    let is_temporary = matches!(
        reason,
        RefusalReason::NoServer
            | RefusalReason::Overloaded
            | RefusalReason::RateLimited
            | RefusalReason::LinkFull
            | RefusalReason::AllowanceSpent
            | RefusalReason::Evacuated
            | RefusalReason::QuotaExceeded
            | RefusalReason::QuotaUnavailable
            | RefusalReason::Unreachable
            | RefusalReason::Draining
            | RefusalReason::RefusedByServer
            | RefusalReason::NotReady
    );
    is_temporary && matches!(outcome, Outcome::DidNotRun)
        || matches!(reason, RefusalReason::InProgress)
}

/// Reads the time after which a retry of a refused call may find a free slot, if the response
/// states it.
#[must_use]
pub fn read_retry_after(map: &HeaderMap) -> Option<Duration> {
    let millis = header_text(map, RETRY_AFTER_MS)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Reads the failure from the headers of a response of a destination node; `None` if it carries
/// none.
#[must_use]
pub fn read_failure(map: &HeaderMap) -> Option<CallFailure> {
    let outcome = header_text(map, headers::OUTCOME)?;
    if outcome == Outcome::Answered.as_str() {
        return None;
    }
    let reason = header_text(map, headers::REASON).and_then(parse_reason);
    let reason = reason.unwrap_or(RefusalReason::ConnectionLost);
    let crash = if map.contains_key(CRASHED) {
        Crash::Yes
    } else {
        Crash::No
    };
    let failure = if outcome == Outcome::DidNotRun.as_str() {
        CallFailure::did_not_run(reason, NotExecuted::refused_by_peer())
    } else {
        CallFailure::may_have_run(reason)
    };
    Some(
        failure
            .with_crash(crash)
            .with_retry_after(read_retry_after(map)),
    )
}

fn parse_reason(text: &str) -> Option<RefusalReason> {
    let text: StrDeserializer<'_, serde::de::value::Error> = text.into_deserializer();
    RefusalReason::deserialize(text).ok()
}
