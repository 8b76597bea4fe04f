//! The state that an entry node keeps for each route.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use trefoillock_core::{RouteClass, Timestamp};
use trefoillock_policy::{CallerTimeoutEstimate, HedgePolicy};

/// The hedging of one route, and the usual timeouts of its callers.
#[derive(Debug, Default)]
pub(crate) struct RouteState {
    hedge_policy: Mutex<HedgePolicy>,
    caller_timeout: Mutex<CallerTimeoutEstimate>,
}

impl RouteState {
    /// Counts a call and returns the delay after which it may be hedged; `None` if it may not.
    pub(crate) fn start_call(&self, now: Timestamp, class: RouteClass) -> Option<Duration> {
        self.hedge_policy().start(now, class)
    }

    /// Records the latency of a call that was answered without a hedge.
    pub(crate) fn record_latency(&self, now: Timestamp, latency: Duration) {
        self.hedge_policy().record(now, latency);
    }

    /// Withdraws one hedge from the budget. Returns whether the budget allowed it.
    pub(crate) fn withdraw_hedge(&self) -> bool {
        self.hedge_policy().withdraw()
    }

    /// Records the timeout that a caller requests, and estimates how long it has been trying
    /// already.
    pub(crate) fn estimate_elapsed(&self, requested: Duration) -> Duration {
        let mut caller_timeout = self
            .caller_timeout
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        caller_timeout.record(requested);
        caller_timeout.waited_before(requested)
    }

    fn hedge_policy(&self) -> MutexGuard<'_, HedgePolicy> {
        self.hedge_policy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
