//! The tokens of one workspace that this node holds, shared by its calls.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use tokio::sync::watch;
use trefoillock_core::{QuotaBound, Timestamp};
use trefoillock_policy::{RoundEnd, TakeStep, TokenHolding};

/// The tokens of one workspace, and the calls that wait for them.
#[derive(Debug)]
pub(super) struct HeldQuota {
    holding: Mutex<TokenHolding>,
    /// The number of rounds that have ended.
    rounds: watch::Sender<u64>,
    refused_calls: AtomicU64,
}

impl HeldQuota {
    pub(super) fn new(bound: &QuotaBound) -> Self {
        Self {
            holding: Mutex::new(TokenHolding::new(bound)),
            rounds: watch::Sender::new(0),
            refused_calls: AtomicU64::new(0),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, TokenHolding> {
        self.holding.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to the ends of rounds after this call.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.rounds.subscribe()
    }

    /// Ends a round and wakes the calls that wait.
    pub(super) fn end_round(&self, now: Timestamp, end: RoundEnd) {
        self.lock().end_round(now, end);
        self.rounds.send_modify(|rounds| *rounds += 1);
    }

    pub(super) fn count_refusal(&self) {
        self.refused_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of calls that got no token.
    pub(super) fn refused_calls(&self) -> u64 {
        self.refused_calls.load(Ordering::Relaxed)
    }

    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        self.lock().is_idle(now)
    }
}

/// A call that waits for a round; if it is dropped, it does not count as waiting any more.
pub(super) struct WaitingCall<'a> {
    held: &'a HeldQuota,
    is_waiting: bool,
}

impl<'a> WaitingCall<'a> {
    pub(super) const fn new(held: &'a HeldQuota) -> Self {
        Self {
            held,
            is_waiting: true,
        }
    }

    /// Takes a token after a round has ended.
    pub(super) fn take_again(mut self, now: Timestamp) -> TakeStep {
        self.is_waiting = false;
        self.held.lock().take_again(now)
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            self.held.lock().stop_waiting();
        }
    }
}
