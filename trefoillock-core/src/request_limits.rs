//! The limits of the requests of callers.

use trefoillock_macros::data;

/// What a caller may send, and how long it may take or stay idle.
#[data(key)]
#[serde(default, deny_unknown_fields)]
pub struct RequestLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: u32,
    /// The largest body of a request, in bytes.
    pub body_bytes: u64,
    /// The longest time that a head may take to arrive, in milliseconds.
    pub header_timeout_ms: u32,
    /// The longest time that a connection may stay without a request, in milliseconds.
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
