//! Headers that belong to one connection or to calls between nodes.

use http::{HeaderMap, HeaderName, header};
use trefoillock_core::headers;

/// The address of the backend server that a call is meant for, between nodes.
pub(crate) const SERVER: &str = "trefoillock-server";
/// The service that the backend server must belong to, between nodes.
pub(crate) const SERVICE: &str = "trefoillock-service";
/// The version that the backend server must run, between nodes.
pub(crate) const VERSION: &str = "trefoillock-version";
/// The class of a call, between nodes.
pub(crate) const CLASS: &str = "trefoillock-class";
/// The fingerprint of a request, between nodes.
pub(crate) const FINGERPRINT: &str = "trefoillock-fingerprint";
/// The longest time that a call waits for a slot, in milliseconds, between nodes.
pub(crate) const QUEUE_MS: &str = "trefoillock-queue-ms";
/// The rank of the call, between nodes.
pub(crate) const RANK: &str = "trefoillock-rank";
/// The time within which the answer is worth most, in milliseconds, between nodes.
pub(crate) const OBJECTIVE_MS: &str = "trefoillock-objective-ms";
/// The time after which a refused call may find room, in milliseconds.
pub(crate) const PAUSE_MS: &str = "trefoillock-pause-ms";
/// Set on a failure if the process of the backend server is gone, between nodes.
pub(crate) const CRASHED: &str = "trefoillock-crashed";

/// The load of the backend server, on answers between nodes.
pub(crate) const LOAD: &str = "trefoillock-load";

/// Headers that belong to one connection.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Headers that only the system itself may set.
const INTERNAL: [&str; 17] = [
    headers::OUTCOME,
    headers::REASON,
    headers::DEADLINE_MS,
    headers::ROUTE,
    headers::POOL,
    headers::TOKEN,
    SERVER,
    SERVICE,
    VERSION,
    CLASS,
    FINGERPRINT,
    QUEUE_MS,
    RANK,
    OBJECTIVE_MS,
    PAUSE_MS,
    CRASHED,
    LOAD,
];

/// Removes the headers that belong to one connection, and those that `connection` names.
pub fn strip_hop_by_hop(map: &mut HeaderMap) {
    let named: Vec<HeaderName> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        map.remove(name);
    }
}

/// Removes the headers that only the system itself may set.
pub fn strip_internal(map: &mut HeaderMap) {
    for name in INTERNAL {
        map.remove(name);
    }
}

/// The text of a header.
pub(crate) fn header_text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}
