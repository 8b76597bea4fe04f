//! How calls are treated beyond what their routes say.

use trefoillock_core::data;

/// The retries that the budget of one pool on one node holds at most.
const RETRY_BURST: u32 = 20;

/// Settings of the calls of a node.
#[data(key)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the switches are independent"
)]
pub struct CallSettings {
    /// Whether a slow lookup is sent to a second backend server.
    pub hedges: bool,
    /// Whether an export that is cut is continued by range on another backend server.
    pub resumes: bool,
    /// Whether an `Idempotency-Key` is guarded against a second run.
    pub idempotency_keys: bool,
    /// Whether a posting goes on when its caller leaves.
    pub detached_postings: bool,
    /// Whether a call that may run twice is sent to another backend server after an error of the
    /// first one.
    pub repeats_errors: bool,
    /// Whether the latency objective of a route bounds the time that its calls wait for a slot.
    pub by_objective: bool,
    /// The retries that the budget of one pool on one node holds at most.
    pub retry_burst: u32,
}

impl Default for CallSettings {
    fn default() -> Self {
        Self {
            hedges: true,
            resumes: true,
            idempotency_keys: true,
            detached_postings: true,
            repeats_errors: false,
            by_objective: false,
            retry_burst: RETRY_BURST,
        }
    }
}
