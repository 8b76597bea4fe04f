//! A call of a caller, classified by its route.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use trefoillock_core::{Fingerprint, Pool, Route};
use trefoillock_node::{CallRecord, MoveCall, NodeContext, Seen};

use crate::tried::{SharedTried, Tried};

/// A call with its route, pool and deadline.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) route: Arc<Route>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) in_move: Option<MoveCall>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// The identity of the request in log lines.
    pub(crate) id: String,
    /// The backend servers that were chosen so far.
    pub(crate) shared_tried: SharedTried,
    /// The time by which the answer is worth most, if the node serves calls by that.
    pub(crate) objective: Option<Instant>,
}

impl Call {
    /// The backend servers that were chosen so far.
    pub(crate) fn tried(&self) -> Tried {
        self.shared_tried.get()
    }

    /// The time that is left before the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Counts how the call ended.
    pub(crate) fn record(&self, cx: &NodeContext, seen: Seen) {
        cx.recorder().record(&CallRecord {
            route: &self.route.name,
            class: self.route.class,
            target: Duration::from_millis(u64::from(self.route.target.latency_ms)),
            in_move: self.in_move,
            seen,
        });
    }
}
