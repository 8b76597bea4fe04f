//! Reads the host, timeout, idempotency key and fingerprint from the head of a caller's request.

use std::time::Duration;

use http::{HeaderMap, Request, header, request::Parts};
use tokio::time::Instant;
use trefoillock_core::{Fingerprint, Route, WorkspaceName, headers, stable_hash};
use trefoillock_policy::KeyHash;

/// The host of a request, without its port.
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

/// The timeout that the caller requests; `None` if it requests none.
pub(crate) fn requested_timeout(map: &HeaderMap) -> Option<Duration> {
    let text = map.get(headers::DEADLINE_MS)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// The deadline of a call: the end of the route's timeout or of the caller's, whichever comes first.
pub(crate) fn deadline(route: &Route, map: &HeaderMap, arrived: Instant) -> Instant {
    let requested = requested_timeout(map);
    let timeout = requested.map_or(route.timeout(), |requested| requested.min(route.timeout()));
    arrived + timeout
}

/// The time after which the caller no longer waits: the end of its own timeout, or of the route's if
/// it names none.
pub(crate) fn caller_deadline(route: &Route, map: &HeaderMap, arrived: Instant) -> Instant {
    arrived + requested_timeout(map).unwrap_or(route.timeout())
}

/// The idempotency key of a request, if it has one.
pub(crate) fn idempotency_key(map: &HeaderMap) -> Option<&[u8]> {
    map.get(headers::IDEMPOTENCY_KEY)
        .map(http::HeaderValue::as_bytes)
}

/// The fingerprint of a request. It is the same for every send of the request, whichever node it
/// enters at.
///
/// It covers the method, the host if the route is bound to one, path, query, the stated length of
/// the body, and the buffered prefix of the body. The workspace is left out: a request that crashes
/// backend servers does so whichever workspace sends it.
pub(crate) fn fingerprint(route: &Route, parts: &Parts, body_prefix: &[u8]) -> Fingerprint {
    let path_and_query = parts.uri.path_and_query();
    let length = parts.headers.get(header::CONTENT_LENGTH);
    let parts: [&[u8]; 5] = [
        parts.method.as_str().as_bytes(),
        bound_host(route),
        path_and_query.map_or(b"", |path_and_query| path_and_query.as_str().as_bytes()),
        length.map_or(b"", |length| length.as_bytes()),
        body_prefix,
    ];
    #[expect(
        clippy::cast_possible_truncation,
        reason = "half of the hash is enough"
    )]
    Fingerprint::new(stable_hash(parts) as u64)
}

/// The hash of an idempotency key in its scope: method, the host if the route is bound to one, and
/// path, and the workspace if there is one. The pool is left out, so the hash stays the same while the
/// route is moved to another pool.
///
/// With the workspace in the scope, no workspace can learn of another's postings, or block them, by
/// guessing their keys. It is the name that counts, so a resend with another key of the same workspace
/// is still recognized. Without workspaces the hash is that of releases that do not know them.
pub(crate) fn key_hash(
    route: &Route,
    workspace: Option<&WorkspaceName>,
    parts: &Parts,
    key: &[u8],
) -> KeyHash {
    let parts: [&[u8]; 4] = [
        parts.method.as_str().as_bytes(),
        bound_host(route),
        parts.uri.path().as_bytes(),
        key,
    ];
    let workspace = workspace.map(|name| name.as_str().as_bytes());
    KeyHash::new(stable_hash(parts.into_iter().chain(workspace)))
}

fn bound_host(route: &Route) -> &[u8] {
    let host = route.matches.host.as_ref();
    host.map_or(b"", |host| host.as_str().as_bytes())
}
