//! What a node reads from the head of a caller's request.

use std::time::Duration;

use http::{HeaderMap, Request, header, request::Parts};
use tokio::time::Instant;
use trefoillock_core::{Fingerprint, Route, headers, stable_hash};
use trefoillock_policy::KeyHash;

/// The host that a request names, without its port.
pub(crate) fn host<B>(req: &Request<B>) -> Option<&str> {
    let named = req.uri().host();
    named.or_else(|| {
        let text = req.headers().get(header::HOST)?.to_str().ok()?;
        Some(without_port(text))
    })
}

fn without_port(authority: &str) -> &str {
    match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|b| b.is_ascii_digit()) => host,
        _ => authority,
    }
}

/// The time that the caller says it waits, if it says so.
pub(crate) fn asked_time(map: &HeaderMap) -> Option<Duration> {
    let text = map.get(headers::DEADLINE_MS)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// The time by which a call must have ended: the route's timeout, or the caller's deadline if
/// that is earlier.
pub(crate) fn deadline(route: &Route, map: &HeaderMap, arrived: Instant) -> Instant {
    let asked = asked_time(map);
    let span = asked.map_or(route.timeout(), |asked| asked.min(route.timeout()));
    arrived + span
}

/// The idempotency key of a request.
pub(crate) fn idempotency_key(map: &HeaderMap) -> Option<&[u8]> {
    map.get(headers::IDEMPOTENCY_KEY)
        .map(http::HeaderValue::as_bytes)
}

/// The fingerprint of a request: the same for all its sends, whichever node they enter by.
///
/// It covers method, the host if the route is bound to one, path, query, the stated length of
/// the body, and the beginning of the body.
pub(crate) fn fingerprint(route: &Route, parts: &Parts, body_start: &[u8]) -> Fingerprint {
    let target = parts.uri.path_and_query();
    let length = parts.headers.get(header::CONTENT_LENGTH);
    let parts: [&[u8]; 5] = [
        parts.method.as_str().as_bytes(),
        bound_host(route),
        target.map_or(b"", |target| target.as_str().as_bytes()),
        length.map_or(b"", |length| length.as_bytes()),
        body_start,
    ];
    #[expect(
        clippy::cast_possible_truncation,
        reason = "half of the hash is enough"
    )]
    Fingerprint::new(stable_hash(parts) as u64)
}

/// The hash of an idempotency key in its scope: method, the host if the route is bound to one,
/// and path. The pool doesn't count, so the key stays the same while the route is moved.
pub(crate) fn key_hash(route: &Route, parts: &Parts, key: &[u8]) -> KeyHash {
    let parts: [&[u8]; 4] = [
        parts.method.as_str().as_bytes(),
        bound_host(route),
        parts.uri.path().as_bytes(),
        key,
    ];
    KeyHash::new(stable_hash(parts))
}

fn bound_host(route: &Route) -> &[u8] {
    let host = route.matches.host.as_ref();
    host.map_or(b"", |host| host.as_str().as_bytes())
}
