//! Bounds on the call that a connection to a backend server carries.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::slots::Slot;

/// The longest head of a response, with all interim responses before it, in bytes.
const MAX_HEAD_BYTES: u64 = 128 * 1024;
/// The value of a limit that is not in force.
const UNLIMITED: u64 = u64::MAX;

/// The bounds on the call that a connection carries at present, and the slot of that call.
///
/// The task of the connection enforces them, so that they hold also while nobody reads the response.
#[derive(Debug)]
pub(crate) struct CallBounds {
    opened_at: Instant,
    /// The end of the call in microseconds since `opened_at`.
    end_micros: AtomicU64,
    head_bytes_left: AtomicU64,
    slot: Mutex<Option<Slot>>,
}

impl CallBounds {
    /// Creates the bounds of a connection that carries no call.
    pub(crate) fn new() -> Self {
        Self {
            opened_at: Instant::now(),
            end_micros: AtomicU64::new(UNLIMITED),
            head_bytes_left: AtomicU64::new(UNLIMITED),
            slot: Mutex::new(None),
        }
    }

    /// Starts a call that must have ended at `end`.
    pub(crate) fn start_call(&self, end: Instant, slot: Slot) {
        let since_opened = end.saturating_duration_since(self.opened_at);
        let micros = u64::try_from(since_opened.as_micros()).unwrap_or(UNLIMITED);
        self.end_micros.store(micros, Ordering::Release);
        self.head_bytes_left
            .store(MAX_HEAD_BYTES, Ordering::Release);
        *self.lock_slot() = Some(slot);
    }

    /// Lifts the limit on the head, because it has arrived.
    pub(crate) fn end_head(&self) {
        self.head_bytes_left.store(UNLIMITED, Ordering::Release);
    }

    /// Ends the call and returns its slot, unless the call was broken off.
    pub(crate) fn end_call(&self) -> Option<Slot> {
        self.end_micros.store(UNLIMITED, Ordering::Release);
        self.end_head();
        self.lock_slot().take()
    }

    /// When the call must have ended; `None` without a call.
    pub(crate) fn end(&self) -> Option<Instant> {
        let micros = self.end_micros.load(Ordering::Acquire);
        (micros != UNLIMITED).then(|| self.opened_at + Duration::from_micros(micros))
    }

    /// Counts bytes that were read from the connection.
    pub(crate) fn count_read(&self, bytes: usize) {
        let left = self.head_bytes_left.load(Ordering::Acquire);
        if left != UNLIMITED {
            let left = left.saturating_sub(bytes as u64);
            self.head_bytes_left.store(left, Ordering::Release);
        }
    }

    /// Whether the backend server has sent more than [`MAX_HEAD_BYTES`] without a complete head.
    pub(crate) fn is_head_too_long(&self) -> bool {
        self.head_bytes_left.load(Ordering::Acquire) == 0
    }

    fn lock_slot(&self) -> std::sync::MutexGuard<'_, Option<Slot>> {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
