//! What a node reads from the head of a caller's request.

use std::time::Duration;

use http::{HeaderMap, Request, header};
use tokio::time::Instant;
use trefoillock_core::{Route, headers};

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

/// The time by which a call must have ended: the route's timeout, or the caller's deadline if
/// that is earlier.
pub(crate) fn deadline(route: &Route, map: &HeaderMap, arrived: Instant) -> Instant {
    let asked = map
        .get(headers::DEADLINE_MS)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok())
        .map(Duration::from_millis);
    let span = asked.map_or(route.timeout(), |asked| asked.min(route.timeout()));
    arrived + span
}
