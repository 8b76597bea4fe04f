//! The limits on the requests of callers.

use trefoillock_macros::data;

/// The size limits of requests and the timeouts of the connections of callers.
#[data(key)]
#[serde(default, deny_unknown_fields)]
pub struct RequestLimits {
    /// The largest size of the request line and headers, in bytes.
    pub header_bytes: u32,
    /// The largest size of the body, in bytes.
    pub body_bytes: u64,
    /// The longest time that the request line and headers may take to arrive, in milliseconds.
    pub header_timeout_ms: u32,
    /// The longest time that a connection may stay idle between requests, in milliseconds.
    pub idle_timeout_ms: u32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: 32 * 1024,
            body_bytes: 1 << 40,
            header_timeout_ms: 15_000,
            idle_timeout_ms: 15_000,
        }
    }
}
