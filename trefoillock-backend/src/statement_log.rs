//! Counts what backend servers say about themselves, and passes changes on to the log.

use std::{
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::sync::broadcast;
use trefoillock_core::Timestamp;
use trefoillock_process::LogRateLimiter;

use crate::{ServerChange, ServerEvent};

/// The largest number of events about changes per second. A backend server may change its limit
/// with each answer.
const CHANGES_PER_S: u32 = 20;
/// The largest number of events about invalid statements per second.
const INVALID_PER_S: u32 = 1;
/// The number of events that wait for the log.
const EVENT_CAPACITY: usize = 64;

/// How often the backend servers of a node have made statements about themselves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatementCounts {
    /// Changes of a limit on the rate of calls, its beginning and end included.
    pub limit_changes: u64,
    /// Backend servers that have said that they leave.
    pub leaving: u64,
    /// Statements that were ignored because they could not be read.
    pub invalid: u64,
}

/// Counts the statements of the backend servers of a node, and sends events about them.
#[derive(Debug)]
pub(crate) struct StatementLog {
    limit_changes: AtomicU64,
    leaving: AtomicU64,
    invalid: AtomicU64,
    cold_phases: AtomicU64,
    warm_phases: AtomicU64,
    change_limiter: Mutex<LogRateLimiter>,
    invalid_limiter: Mutex<LogRateLimiter>,
    events: broadcast::Sender<ServerEvent>,
}

impl Default for StatementLog {
    fn default() -> Self {
        Self {
            limit_changes: AtomicU64::new(0),
            leaving: AtomicU64::new(0),
            invalid: AtomicU64::new(0),
            cold_phases: AtomicU64::new(0),
            warm_phases: AtomicU64::new(0),
            change_limiter: Mutex::new(LogRateLimiter::new(CHANGES_PER_S)),
            invalid_limiter: Mutex::new(LogRateLimiter::new(INVALID_PER_S)),
            events: broadcast::Sender::new(EVENT_CAPACITY),
        }
    }
}

impl StatementLog {
    pub(crate) fn record(&self, now: Timestamp, address: SocketAddr, change: ServerChange) {
        let (counter, limiter) = match change {
            ServerChange::Limit { .. } => (&self.limit_changes, &self.change_limiter),
            ServerChange::Cold { .. } => (&self.cold_phases, &self.change_limiter),
            ServerChange::Warm => (&self.warm_phases, &self.change_limiter),
            ServerChange::Leaving => (&self.leaving, &self.change_limiter),
            ServerChange::Invalid(_) => (&self.invalid, &self.invalid_limiter),
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let mut limiter = limiter.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(omitted) = limiter.acquire(now) {
            // Fails only if nobody writes a log.
            let _ = self.events.send(ServerEvent {
                address,
                change,
                omitted,
            });
        }
    }

    pub(crate) fn subscribe(&self) -> broadcast::Receiver<ServerEvent> {
        self.events.subscribe()
    }

    /// How often backend servers have turned cold while their pool limits calls to cold ones.
    pub(crate) fn cold_phases(&self) -> u64 {
        self.cold_phases.load(Ordering::Relaxed)
    }

    pub(crate) fn counts(&self) -> StatementCounts {
        StatementCounts {
            limit_changes: self.limit_changes.load(Ordering::Relaxed),
            leaving: self.leaving.load(Ordering::Relaxed),
            invalid: self.invalid.load(Ordering::Relaxed),
        }
    }
}
