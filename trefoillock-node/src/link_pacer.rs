//! Sends response bodies in the order and at the rate that a [`LinkSchedule`] decides.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::Waker,
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};
use trefoillock_core::Map;
use trefoillock_policy::{Demand, LinkSchedule, Ticket};
use trefoillock_process::Clock;

/// The share of the link's rate that responses to other nodes are sent at, in percent. The rest is for
/// what the VM sends besides: requests, answers to its own callers, control messages and packet
/// headers.
const RESPONSE_PERCENT: u64 = 85;

#[derive(Debug)]
struct State {
    schedule: LinkSchedule,
    last_ticket: u64,
    wakers: Map<Ticket, Waker>,
}

/// The link from this VM to the others, shared by all responses that this node sends to other nodes.
#[derive(Debug)]
pub(crate) struct LinkPacer {
    clock: Clock,
    chunk_bytes: usize,
    state: Mutex<State>,
    changed: Notify,
}

impl LinkPacer {
    /// Creates the pacer of a link with a rate in bytes a second. [`Self::run`] must run beside it.
    pub(crate) fn new(clock: Clock, bytes_per_s: u64) -> Self {
        let schedule = LinkSchedule::new(bytes_per_s / 100 * RESPONSE_PERCENT);
        Self {
            clock,
            chunk_bytes: schedule.chunk_bytes(),
            state: Mutex::new(State {
                schedule,
                last_ticket: 0,
                wakers: Map::default(),
            }),
            changed: Notify::new(),
        }
    }

    /// Admits a call to the link.
    ///
    /// # Errors
    ///
    /// Returns the time after which the call should be sent again if its response would be late.
    pub(crate) fn admit(self: &Arc<Self>, demand: &Demand) -> Result<LinkPermit, Duration> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.last_ticket += 1;
        let ticket = Ticket::new(state.last_ticket);
        state.schedule.admit(now, ticket, demand)?;
        Ok(LinkPermit {
            link: self.clone(),
            ticket,
            is_complete: false,
        })
    }

    /// Wakes the responses whose turn has come. Never returns.
    pub(crate) async fn run(&self) {
        loop {
            let now = self.clock.now();
            let (waker, turn) = {
                let mut state = self.lock();
                let next = state.schedule.next_chunk(now);
                let waker = next.and_then(|ticket| state.wakers.remove(&ticket));
                (waker, state.schedule.next_turn())
            };
            if let Some(waker) = waker {
                waker.wake();
            }
            match turn.filter(|turn| *turn > now) {
                Some(turn) => {
                    let turn = Instant::now() + turn.since(now);
                    tokio::select! {
                        () = sleep_until(turn) => {}
                        () = self.changed.notified() => {}
                    }
                }
                None => self.changed.notified().await,
            }
        }
    }

    /// Makes [`Self::run`] look again if responses wait.
    fn notify_if(&self, waits: bool) {
        if waits {
            self.changed.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call that was admitted to the link, until its response has been sent.
#[derive(Debug)]
pub(crate) struct LinkPermit {
    link: Arc<LinkPacer>,
    ticket: Ticket,
    is_complete: bool,
}

impl LinkPermit {
    /// The largest number of bytes that may be sent at once.
    pub(crate) fn chunk_bytes(&self) -> usize {
        self.link.chunk_bytes
    }

    /// Records the length that the head of the response states.
    pub(crate) fn record_length(&self, length: Option<u64>) {
        self.link.lock().schedule.record_length(self.ticket, length);
    }

    /// Whether so many bytes may be sent now. They count as sent if so; otherwise `waker` is woken
    /// when it is the turn of this response.
    pub(crate) fn try_send(&self, bytes: usize, waker: &Waker) -> bool {
        let now = self.link.clock.now();
        let bytes = bytes as u64;
        let mut state = self.link.lock();
        let may_send = state.schedule.may_send(now, self.ticket, bytes);
        if may_send {
            state.schedule.record_sent(now, self.ticket, bytes);
            state.wakers.remove(&self.ticket);
        } else {
            state.wakers.insert(self.ticket, waker.clone());
        }
        let waits = state.schedule.next_turn().is_some();
        drop(state);
        self.link.notify_if(waits);
        may_send
    }

    /// Records that the response was sent in full.
    pub(crate) const fn complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for LinkPermit {
    fn drop(&mut self) {
        let mut state = self.link.lock();
        state.schedule.end(self.ticket, self.is_complete);
        state.wakers.remove(&self.ticket);
        let waits = state.schedule.next_turn().is_some();
        drop(state);
        self.link.notify_if(waits);
    }
}
