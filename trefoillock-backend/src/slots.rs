//! The slots and connections of one backend server: the shell around [`Admission`].

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{sync::oneshot, time::sleep};
use trefoillock_core::{Map, RefusalReason, Timestamp};
use trefoillock_policy::{Admission, Demand, LoadHint, Offer, Ticket};
use trefoillock_process::Clock;

/// The number of times that a waiting call checks during its longest wait whether it is refused.
const CHECKS_PER_WAIT: u32 = 4;
/// The shortest time between two of these checks.
const MIN_CHECK: Duration = Duration::from_millis(1);

type Verdict = Result<(), SlotRefusal>;

/// Why a call got no slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotRefusal {
    pub(crate) reason: RefusalReason,
    /// The time after which there will be room, if it is known.
    pub(crate) pause: Option<Duration>,
}

impl From<RefusalReason> for SlotRefusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            pause: None,
        }
    }
}

#[derive(Debug)]
struct State {
    admission: Admission,
    queue: Duration,
    waiting: Map<Ticket, oneshot::Sender<Verdict>>,
}

impl State {
    /// Tells waiting calls that they run, and others that they are refused.
    fn tell(&mut self, now: Timestamp, admitted: Vec<Ticket>) {
        for ticket in admitted {
            // A call that has left meanwhile gives its slot back itself.
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.send(Ok(()));
            }
        }
        for refused in self.admission.expire(now) {
            let refusal = self.refusal(refused.reason);
            if let Some(tx) = self.waiting.remove(&refused.ticket) {
                let _ = tx.send(Err(refusal));
            }
        }
    }

    fn refusal(&self, reason: RefusalReason) -> SlotRefusal {
        let is_full = reason == RefusalReason::Overloaded;
        SlotRefusal {
            reason,
            pause: is_full.then(|| self.admission.pause()),
        }
    }
}

/// The slots and connections of one backend server.
#[derive(Debug)]
pub(crate) struct Slots {
    clock: Clock,
    limit: u32,
    connections: u32,
    next: AtomicU64,
    state: Mutex<State>,
}

impl Slots {
    pub(crate) fn new(clock: Clock, slots: u32, connections: u32) -> Self {
        let queue = Duration::ZERO;
        Self {
            clock,
            limit: slots,
            connections,
            next: AtomicU64::new(0),
            state: Mutex::new(State {
                admission: Admission::new(slots, connections, queue),
                queue,
                waiting: Map::default(),
            }),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call is refused.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        demand: Demand,
        queue: Duration,
    ) -> Result<Slot, SlotRefusal> {
        let ticket = Ticket::new(self.next.fetch_add(1, Ordering::Relaxed));
        let mut rx = {
            let mut state = self.lock();
            if state.queue != queue {
                state.queue = queue;
                state
                    .admission
                    .set_limits(self.limit, self.connections, queue);
            }
            let now = self.clock.now();
            let offer = state.admission.offer(now, ticket, demand);
            state.tell(now, Vec::new());
            match offer {
                Offer::Admitted => return Ok(self.slot(ticket)),
                Offer::Refused(reason) => return Err(state.refusal(reason)),
                Offer::Queued => {
                    let (tx, rx) = oneshot::channel();
                    state.waiting.insert(ticket, tx);
                    rx
                }
            }
        };
        // From here on a call that is dropped gives back its place or its slot.
        let slot = self.slot(ticket);
        let check = (queue / CHECKS_PER_WAIT).max(MIN_CHECK);
        loop {
            tokio::select! {
                verdict = &mut rx => {
                    return match verdict {
                        Ok(Ok(())) => Ok(slot),
                        Ok(Err(refusal)) => Err(slot.refused(refusal)),
                        Err(_) => Err(slot.refused(RefusalReason::Overloaded.into())),
                    };
                }
                () = sleep(check) => {
                    let now = self.clock.now();
                    self.lock().tell(now, Vec::new());
                }
            }
        }
    }

    fn slot(self: &Arc<Self>, ticket: Ticket) -> Slot {
        Slot {
            slots: self.clone(),
            ticket: Some(ticket),
            finished: false,
        }
    }

    /// Refuses new and waiting calls from now on, or takes calls again.
    pub(crate) fn set_draining(&self, draining: bool) {
        let mut state = self.lock();
        if state.admission.is_draining() != draining {
            state.admission.set_draining(draining);
            state.tell(self.clock.now(), Vec::new());
        }
    }

    /// Whether new calls are refused.
    pub(crate) fn is_draining(&self) -> bool {
        self.lock().admission.is_draining()
    }

    /// The present load.
    pub(crate) fn hint(&self) -> LoadHint {
        self.lock().admission.hint(self.clock.now())
    }

    /// Counts a new connection, unless the backend server accepts no more.
    pub(crate) fn open_connection(self: &Arc<Self>) -> Option<OpenConnection> {
        let opened = self.lock().admission.open_connection();
        opened.then(|| OpenConnection(self.clone()))
    }

    fn end(&self, ticket: Ticket, finished: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.waiting.remove(&ticket);
        let admitted = if finished {
            state.admission.release(now, ticket)
        } else {
            state.admission.withdraw(now, ticket)
        };
        state.tell(now, admitted);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The slot of one call, or its place in the queue; it is given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<Slots>,
    ticket: Option<Ticket>,
    finished: bool,
}

impl Slot {
    /// Notes that the call has ended in order, so that its time counts as service time.
    pub(crate) const fn finish(&mut self) {
        self.finished = true;
    }

    /// Notes that the admission has forgotten the call.
    fn refused(mut self, refusal: SlotRefusal) -> SlotRefusal {
        self.ticket = None;
        refusal
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.slots.end(ticket, self.finished);
        }
    }
}

/// An open connection; the end of the connection is counted when it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<Slots>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.lock().admission.close_connection();
    }
}
