//! The state that an entry node keeps for each route.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use trefoillock_core::{RouteClass, Timestamp};
use trefoillock_policy::{Hedge, UsualDeadline};

/// The hedging of one route, and the usual timeouts of its callers.
#[derive(Debug, Default)]
pub(crate) struct RouteState {
    hedge: Mutex<Hedge>,
    usual_deadline: Mutex<UsualDeadline>,
}

impl RouteState {
    /// Counts a call and returns the delay after which it may be hedged; `None` if it may not.
    pub(crate) fn start_call(&self, now: Timestamp, class: RouteClass) -> Option<Duration> {
        self.hedge().start(now, class)
    }

    /// Records the latency of a call that was answered without a hedge.
    pub(crate) fn record_latency(&self, now: Timestamp, latency: Duration) {
        self.hedge().record(now, latency);
    }

    /// Withdraws one hedge from the budget. Returns whether the budget allowed it.
    pub(crate) fn withdraw_hedge(&self) -> bool {
        self.hedge().withdraw()
    }

    /// Records the timeout that a caller requests, and estimates how long it has been trying
    /// already.
    pub(crate) fn estimate_elapsed(&self, requested: Duration) -> Duration {
        let mut usual_deadline = self
            .usual_deadline
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        usual_deadline.record(requested);
        usual_deadline.elapsed(requested)
    }

    fn hedge(&self) -> MutexGuard<'_, Hedge> {
        self.hedge.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
