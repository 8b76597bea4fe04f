//! What an entry node knows of one route.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use trefoillock_core::{RouteClass, Timestamp};
use trefoillock_policy::{Hedge, UsualDeadline};

/// The hedges of one route and the patience of its callers.
#[derive(Debug, Default)]
pub(crate) struct RouteState {
    hedge: Mutex<Hedge>,
    usual: Mutex<UsualDeadline>,
}

impl RouteState {
    /// Counts a call and returns the time after which it may be hedged.
    pub(crate) fn start(&self, now: Timestamp, class: RouteClass) -> Option<Duration> {
        self.hedge().start(now, class)
    }

    /// Counts a call that was answered without a hedge.
    pub(crate) fn answered(&self, now: Timestamp, latency: Duration) {
        self.hedge().record(now, latency);
    }

    /// Takes the cost of one hedge.
    pub(crate) fn withdraw(&self) -> bool {
        self.hedge().withdraw()
    }

    /// Counts a call, and returns how long its caller has most likely tried before.
    pub(crate) fn time_before(&self, asked: Duration) -> Duration {
        let mut usual = self.usual.lock().unwrap_or_else(PoisonError::into_inner);
        usual.record(asked);
        usual.elapsed(asked)
    }

    fn hedge(&self) -> MutexGuard<'_, Hedge> {
        self.hedge.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
