//! Answers that tell why a call was not answered by a backend server.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use serde::{
    Deserialize,
    de::{IntoDeserializer, value::StrDeserializer},
};
use trefoillock_backend::{Body, CallFailure, Crash, NotSent, text_body};
use trefoillock_core::{Outcome, RefusalReason, headers};

use crate::headers::{CRASHED, PAUSE_MS, header_text};

/// The time after which a caller may try again, in seconds.
const RETRY_AFTER_S: &str = "1";

/// The answer that tells a failure.
#[must_use]
pub fn refusal_answer(failure: &CallFailure) -> Response<Body> {
    let reason = failure.reason();
    let outcome = failure.outcome();
    let text = format!("{}: {}\n", outcome.as_str(), reason.as_str());
    let mut resp = Response::new(text_body(text));
    *resp.status_mut() =
        StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let map = resp.headers_mut();
    map.insert(headers::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    map.insert(headers::REASON, HeaderValue::from_static(reason.as_str()));
    map.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    if may_try_later(reason, outcome) {
        map.insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    if let Some(pause) = failure.pause() {
        let millis = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        map.insert(PAUSE_MS, HeaderValue::from(millis));
    }
    if failure.crash() == Crash::Yes {
        map.insert(CRASHED, HeaderValue::from_static("1"));
    }
    resp
}

/// Whether a later try makes sense without risk of running the call twice.
const fn may_try_later(reason: RefusalReason, outcome: Outcome) -> bool {
    let passing = matches!(
        reason,
        RefusalReason::NoServer
            | RefusalReason::Overloaded
            | RefusalReason::Unreachable
            | RefusalReason::Draining
            | RefusalReason::RefusedByServer
            | RefusalReason::NotReady
    );
    passing && matches!(outcome, Outcome::DidNotRun) || matches!(reason, RefusalReason::InProgress)
}

/// Reads the time after which a refused call may find room, if the answer tells it.
#[must_use]
pub fn read_pause(map: &HeaderMap) -> Option<Duration> {
    let millis = header_text(map, PAUSE_MS)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Reads the failure that a destination node told in the headers of its answer.
#[must_use]
pub fn read_refusal(map: &HeaderMap) -> Option<CallFailure> {
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
        CallFailure::did_not_run(reason, NotSent::refused_by_peer())
    } else {
        CallFailure::may_have_run(reason)
    };
    Some(failure.with_crash(crash).with_pause(read_pause(map)))
}

fn parse_reason(word: &str) -> Option<RefusalReason> {
    let word: StrDeserializer<'_, serde::de::value::Error> = word.into_deserializer();
    RefusalReason::deserialize(word).ok()
}
