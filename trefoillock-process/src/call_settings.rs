//! Settings of a node that apply to the calls of all routes.

use trefoillock_core::data;

/// The default of [`CallSettings::retry_burst`].
const RETRY_BURST: u32 = 20;

/// How a node handles calls, besides what their routes define.
#[data(key)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the switches are independent"
)]
pub struct CallSettings {
    /// Whether a slow lookup is also sent to a second backend server (hedging).
    pub hedges: bool,
    /// Whether an aborted export is resumed on another backend server with a range request.
    pub resumes: bool,
    /// Whether guards ensure that a posting with an `Idempotency-Key` runs at most once.
    pub idempotency_keys: bool,
    /// Whether a posting continues when its caller disconnects.
    pub detached_postings: bool,
    /// Whether an idempotent call is retried on another backend server if the first one answers
    /// with a server error.
    pub repeats_errors: bool,
    /// Whether the latency objective of a route limits the time that its calls wait for a slot.
    pub by_objective: bool,
    /// Whether a node refuses calls of other nodes to its backend servers until it has a
    /// configuration, since it does not know before whether its data centre is evacuated.
    pub awaits_config: bool,
    /// The largest number of retries that the retry budget of one pool on one node can
    /// accumulate.
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
            awaits_config: false,
            retry_burst: RETRY_BURST,
        }
    }
}
