//! Names of the internal headers between nodes, and removal of headers that must not be forwarded.

use http::{HeaderMap, HeaderName, header};
use trefoillock_core::headers;

/// Between nodes: the address of the backend server that the call is sent to.
pub(crate) const SERVER: &str = "trefoillock-server";
/// Between nodes: the service that the backend server must belong to.
pub(crate) const SERVICE: &str = "trefoillock-service";
/// Between nodes: the version that the backend server must run.
pub(crate) const VERSION: &str = "trefoillock-version";
/// Between nodes: the class of the call.
pub(crate) const CLASS: &str = "trefoillock-class";
/// Between nodes: the fingerprint of the request.
pub(crate) const FINGERPRINT: &str = "trefoillock-fingerprint";
/// Between nodes: the longest time that the call waits for a slot, in milliseconds.
pub(crate) const QUEUE_MS: &str = "trefoillock-queue-ms";
/// Between nodes: the priority of the call's route; 0 is the highest.
pub(crate) const RANK: &str = "trefoillock-rank";
/// Between nodes: the time left to meet the route's target latency, in milliseconds.
pub(crate) const OBJECTIVE_MS: &str = "trefoillock-objective-ms";
/// Between nodes: until when the call's token of its workspace's quota is valid, in milliseconds on
/// the clock of the destination since its boot; 0 if the entry node does not know that clock.
pub(crate) const TOKEN_MS: &str = "trefoillock-token-ms";
/// Between nodes: the time since boot in milliseconds, on responses to calls of workspaces.
pub(crate) const CLOCK_MS: &str = "trefoillock-clock-ms";
/// The time after which a retry of the refused call may find a free slot, in milliseconds.
pub(crate) const RETRY_AFTER_MS: &str = "trefoillock-pause-ms";
/// Between nodes: set on a failure if the process of the backend server is gone.
pub(crate) const CRASHED: &str = "trefoillock-crashed";

/// Between nodes: the load of the backend server, on responses.
pub(crate) const LOAD: &str = "trefoillock-load";
/// Between nodes: the expected time of a call to the backend server, on responses: the wait for a slot,
/// the service time now and on average, in microseconds.
pub(crate) const EXPECTED: &str = "trefoillock-expected";
/// Between nodes: the address of the backend server whose load is asked for. Such a request carries no call.
pub(crate) const ASK: &str = "trefoillock-ask";
/// Between nodes: the limit on the rate of calls that the entry node knows, in millionths of a call
/// per second, and the incarnation of the backend server that stated it.
pub(crate) const KNOWN_LIMIT: &str = "trefoillock-known-limit";

/// Between nodes: the rollout by which the entry node chose the new version of a service, and its state.
pub(crate) const ROLLOUT: &str = "trefoillock-rollout";

/// Headers that apply to a single connection (hop-by-hop headers).
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

/// Headers that are removed from messages of callers and backend servers, because only nodes may
/// set them.
const INTERNAL: [&str; 29] = [
    headers::OUTCOME,
    headers::REASON,
    headers::DEADLINE_MS,
    headers::ROUTE,
    headers::POOL,
    headers::TOKEN,
    headers::CALL,
    headers::LIMIT,
    headers::LEAVING,
    headers::WORKSPACE,
    headers::SERVER_LOAD,
    headers::WARM_UP_MS,
    SERVER,
    SERVICE,
    VERSION,
    CLASS,
    FINGERPRINT,
    QUEUE_MS,
    RANK,
    OBJECTIVE_MS,
    TOKEN_MS,
    CLOCK_MS,
    RETRY_AFTER_MS,
    CRASHED,
    LOAD,
    EXPECTED,
    ASK,
    KNOWN_LIMIT,
    ROLLOUT,
];

/// Removes hop-by-hop headers, and the headers that `connection` names.
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

/// Removes the headers that only nodes may set.
pub fn strip_internal(map: &mut HeaderMap) {
    for name in INTERNAL {
        map.remove(name);
    }
}

/// The value of a header as text; `None` if it is absent or not printable ASCII.
pub(crate) fn header_text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}
