//! A call as classified when it arrives.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use trefoillock_core::{Fingerprint, Pool, Route};
use trefoillock_node::{CallEnd, CallRecord, MoveAssignment, NodeContext};

use crate::server_attempts::{ServerAttempts, SharedServerAttempts};

/// A call with its route, pool and deadline.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) route: Arc<Route>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) assignment: Option<MoveAssignment>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// The identifier of the request in log lines.
    pub(crate) id: String,
    /// The attempts so far, for log lines.
    pub(crate) server_attempts: SharedServerAttempts,
    /// The time by which the response should be complete to meet the route's target latency; `None`
    /// if only the deadline counts.
    pub(crate) objective: Option<Instant>,
}

impl Call {
    /// The attempts so far, for log lines.
    pub(crate) fn server_attempts(&self) -> ServerAttempts {
        self.server_attempts.snapshot()
    }

    /// The time until the deadline; zero after it.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Records how the call ended.
    pub(crate) fn record(&self, cx: &NodeContext, end: CallEnd) {
        cx.recorder().record(&CallRecord {
            route: &self.route.name,
            class: self.route.class,
            target: Duration::from_millis(u64::from(self.route.target.latency_ms)),
            assignment: self.assignment,
            end,
        });
    }
}
