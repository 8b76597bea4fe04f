//! Limits and counts the asks that this node sends for the load of backend servers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use trefoillock_core::{ServerId, Timestamp};
use trefoillock_policy::AskLimiter;

use crate::AskCounts;

#[derive(Debug, Default)]
struct State {
    limiter: AskLimiter,
    counts: AskCounts,
}

/// The limits and counts of the asks that this node sends for the load of backend servers.
#[derive(Debug, Default)]
pub(crate) struct LoadAsks(Mutex<State>);

impl LoadAsks {
    pub(crate) fn counts(&self) -> AskCounts {
        self.lock().counts
    }

    pub(crate) fn has_room(&self, now: Timestamp) -> bool {
        self.lock().limiter.has_room(now)
    }

    /// Counts the start of an ask; `None` if it may not be sent.
    pub(crate) fn try_start(
        self: &Arc<Self>,
        now: Timestamp,
        server: &ServerId,
    ) -> Option<AskPermit> {
        let mut state = self.lock();
        if !state.limiter.try_start(now, server) {
            return None;
        }
        state.counts.sent += 1;
        Some(AskPermit {
            asks: self.clone(),
            server: server.clone(),
            is_answered: false,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An ask in flight. It counts as failed if it is dropped before it was answered.
#[derive(Debug)]
pub(crate) struct AskPermit {
    asks: Arc<LoadAsks>,
    server: ServerId,
    is_answered: bool,
}

impl AskPermit {
    /// Ends the ask, and counts whether it was answered with a report.
    pub(crate) fn end(mut self, is_answered: bool) {
        self.is_answered = is_answered;
    }
}

impl Drop for AskPermit {
    fn drop(&mut self) {
        let mut state = self.asks.lock();
        state.limiter.end(&self.server);
        if self.is_answered {
            state.counts.answered += 1;
        } else {
            state.counts.failed += 1;
        }
    }
}
