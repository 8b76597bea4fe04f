//! Admission of calls to one backend server: runs [`Admission`] under a lock and wakes the calls
//! that wait for a slot.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{sync::oneshot, time::sleep};
use trefoillock_core::{CallRate, Map, RefusalReason, Timestamp};
use trefoillock_policy::{Admission, Demand, LoadHint, Offer, Ticket, WarmUpPhase};
use trefoillock_process::Clock;

/// The number of times that a waiting call checks for expired calls within its queue timeout.
const CHECKS_PER_WAIT: u32 = 4;
/// The shortest time between two of these checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// The time between two checks for turns while there is a turn but no free slot.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

type SlotDecision = Result<(), SlotRefusal>;

/// Why a call got no slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotRefusal {
    pub(crate) reason: RefusalReason,
    /// The time after which there is expected to be room, if the call was refused for lack of it.
    pub(crate) retry_after: Option<Duration>,
}

impl From<RefusalReason> for SlotRefusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

#[derive(Debug)]
struct State {
    admission: Admission,
    warm_up: WarmUpPhase,
    queue_timeout: Duration,
    waiting: Map<Ticket, oneshot::Sender<SlotDecision>>,
    /// Whether a task starts the calls that wait for their turn.
    serves_turns: bool,
    /// Whether calls are refused because the data centre is evacuated.
    evacuated: bool,
}

impl State {
    /// Wakes the calls that were admitted, and those whose wait has expired.
    fn notify_waiting(&mut self, now: Timestamp, admitted: Vec<Ticket>) {
        for ticket in admitted {
            // A call that was dropped meanwhile releases its slot itself.
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.send(Ok(()));
            }
        }
        for refused in self.admission.expire(now) {
            let refusal = self.refusal(now, refused.reason);
            if let Some(tx) = self.waiting.remove(&refused.ticket) {
                let _ = tx.send(Err(refusal));
            }
        }
    }

    /// Starts the calls whose turn has come. Returns the time until the next turn that a call waits
    /// for.
    fn serve_turn(&mut self, now: Timestamp) -> Option<Duration> {
        let admitted = self.admission.admit_waiting(now);
        self.notify_waiting(now, admitted);
        let wait = self.admission.next_turn(now)?.since(now);
        Some(if wait.is_zero() {
            FULL_CHECK_INTERVAL
        } else {
            wait
        })
    }

    fn refusal(&self, now: Timestamp, reason: RefusalReason) -> SlotRefusal {
        let is_full = matches!(
            reason,
            RefusalReason::Overloaded | RefusalReason::RateLimited
        );
        SlotRefusal {
            reason,
            retry_after: is_full.then(|| self.admission.retry_after(now)),
        }
    }
}

/// The slots and connections of one backend server, shared by all calls to it.
#[derive(Debug)]
pub(crate) struct Slots {
    clock: Clock,
    slot_limit: u32,
    connection_limit: u32,
    next_ticket: AtomicU64,
    state: Mutex<State>,
}

impl Slots {
    pub(crate) fn new(clock: Clock, slots: u32, connections: u32) -> Self {
        let queue_timeout = Duration::ZERO;
        Self {
            clock,
            slot_limit: slots,
            connection_limit: connections,
            next_ticket: AtomicU64::new(0),
            state: Mutex::new(State {
                admission: Admission::new(slots, connections, queue_timeout),
                warm_up: WarmUpPhase::cold_since(clock.now()),
                queue_timeout,
                waiting: Map::default(),
                serves_turns: false,
                evacuated: false,
            }),
        }
    }

    /// Waits for a slot for at most `queue_timeout`.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call is refused.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        demand: Demand,
        queue_timeout: Duration,
    ) -> Result<Slot, SlotRefusal> {
        let ticket = Ticket::new(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let mut rx = {
            let mut state = self.lock();
            if state.evacuated {
                return Err(RefusalReason::Evacuated.into());
            }
            if state.queue_timeout != queue_timeout {
                state.queue_timeout = queue_timeout;
                state
                    .admission
                    .set_limits(self.slot_limit, self.connection_limit, queue_timeout);
            }
            let now = self.clock.now();
            let offer = state.admission.offer(now, ticket, demand);
            state.notify_waiting(now, Vec::new());
            match offer {
                Offer::Admitted => return Ok(self.slot(ticket)),
                Offer::Refused(reason) => return Err(state.refusal(now, reason)),
                Offer::Queued => {
                    let (tx, rx) = oneshot::channel();
                    state.waiting.insert(ticket, tx);
                    self.ensure_turns_served(&mut state, now);
                    rx
                }
            }
        };
        // From here on, a dropped call releases its slot or leaves the queue.
        let slot = self.slot(ticket);
        let check_interval = (queue_timeout / CHECKS_PER_WAIT).max(MIN_CHECK_INTERVAL);
        loop {
            tokio::select! {
                decision = &mut rx => {
                    return match decision {
                        Ok(Ok(())) => Ok(slot),
                        Ok(Err(refusal)) => Err(slot.into_refusal(refusal)),
                        Err(_) => Err(slot.into_refusal(RefusalReason::Overloaded.into())),
                    };
                }
                () = sleep(check_interval) => {
                    let now = self.clock.now();
                    self.lock().notify_waiting(now, Vec::new());
                }
            }
        }
    }

    /// Starts a task that serves the turns of waiting calls, unless one runs or none waits.
    fn ensure_turns_served(self: &Arc<Self>, state: &mut State, now: Timestamp) {
        if !state.serves_turns && state.admission.next_turn(now).is_some() {
            state.serves_turns = true;
            tokio::spawn(self.clone().serve_turns());
        }
    }

    /// Starts waiting calls at their turns, until none waits.
    async fn serve_turns(self: Arc<Self>) {
        loop {
            let wait = {
                let mut state = self.lock();
                let wait = state.serve_turn(self.clock.now());
                state.serves_turns = wait.is_some();
                wait
            };
            let Some(wait) = wait else {
                return;
            };
            sleep(wait).await;
        }
    }

    /// Replaces the limit on the rate of calls that the server states, and returns the one before.
    pub(crate) fn set_rate_limit(self: &Arc<Self>, limit: Option<CallRate>) -> Option<CallRate> {
        let now = self.clock.now();
        let mut state = self.lock();
        let previous = state.admission.rate_limit();
        if previous != limit {
            state.admission.set_rate_limit(now, limit);
            let admitted = state.admission.admit_waiting(now);
            state.notify_waiting(now, admitted);
            self.ensure_turns_served(&mut state, now);
        }
        previous
    }

    /// The limit on the rate of calls that the server states.
    pub(crate) fn rate_limit(&self) -> Option<CallRate> {
        self.lock().admission.rate_limit()
    }

    /// Changes what is known about the warm-up of the server, and applies the limit that follows
    /// from it. Returns the phase.
    pub(crate) fn update_warm_up(
        self: &Arc<Self>,
        change: impl FnOnce(Timestamp, &mut WarmUpPhase),
    ) -> WarmUpPhase {
        let now = self.clock.now();
        let mut state = self.lock();
        change(now, &mut state.warm_up);
        let limit = state.warm_up.cold_rate(now);
        if state.admission.cold_limit() != limit {
            state.admission.set_cold_limit(now, limit);
            let admitted = state.admission.admit_waiting(now);
            state.notify_waiting(now, admitted);
            self.ensure_turns_served(&mut state, now);
        }
        state.warm_up
    }

    /// What is known about the warm-up of the server.
    pub(crate) fn warm_up(&self) -> WarmUpPhase {
        self.lock().warm_up
    }

    /// Whether the server is warm and gets more calls than it would while it is cold.
    pub(crate) fn exceeds_cold_rate(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let is_warm = state.warm_up.cold_rate(now).is_none();
        let starts = f64::from(state.admission.recent_starts(now));
        let policy = state.warm_up.policy().filter(|_| is_warm);
        policy.is_some_and(|policy| starts > policy.rate.per_s())
    }

    /// Counts the second that begins at `at` as used up for a cold server, because the calls that
    /// started before `at` are not known.
    pub(crate) fn assume_used(&self, at: Timestamp) {
        self.lock().admission.assume_used(at);
    }

    /// Takes over what is known about the warm-up of the server and its last calls.
    pub(crate) fn inherit_warm_up(self: &Arc<Self>, earlier: &Self) {
        let warm_up = {
            let earlier = earlier.lock();
            self.lock().admission.inherit_starts(&earlier.admission);
            earlier.warm_up
        };
        self.update_warm_up(|_, own| *own = warm_up);
    }

    fn slot(self: &Arc<Self>, ticket: Ticket) -> Slot {
        Slot {
            slots: self.clone(),
            ticket: Some(ticket),
            finished: false,
        }
    }

    /// Starts or stops refusing new and waiting calls.
    pub(crate) fn set_draining(&self, draining: bool) {
        let mut state = self.lock();
        if state.admission.is_draining() != draining {
            state.admission.set_draining(draining);
            state.notify_waiting(self.clock.now(), Vec::new());
        }
    }

    /// Starts or stops refusing calls because the data centre is evacuated. Calls that wait are
    /// refused, calls that hold a slot keep it.
    pub(crate) fn set_evacuated(&self, evacuated: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.evacuated = evacuated;
        if evacuated {
            state.admission.refuse_waiting(RefusalReason::Evacuated);
            state.notify_waiting(now, Vec::new());
        }
    }

    /// Whether calls are refused because the data centre is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.lock().evacuated
    }

    /// Whether new calls are refused.
    pub(crate) fn is_draining(&self) -> bool {
        self.lock().admission.is_draining()
    }

    /// The current load.
    pub(crate) fn load_hint(&self) -> LoadHint {
        self.lock().admission.hint(self.clock.now())
    }

    /// Reserves a new connection; `None` if the announced number is open already.
    pub(crate) fn reserve_connection(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let opened = self.lock().admission.open_connection();
        opened.then(|| ConnectionPermit(self.clone()))
    }

    fn release(&self, ticket: Ticket, finished: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.waiting.remove(&ticket);
        let admitted = if finished {
            state.admission.release(now, ticket)
        } else {
            state.admission.withdraw(now, ticket)
        };
        state.notify_waiting(now, admitted);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call's slot, or its place in the queue; dropping it releases either.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<Slots>,
    ticket: Option<Ticket>,
    finished: bool,
}

impl Slot {
    /// Marks the call as complete, so that its duration counts as service time.
    pub(crate) const fn finish(&mut self) {
        self.finished = true;
    }

    /// Returns the refusal without releasing anything: the admission has already dropped the call.
    fn into_refusal(mut self, refusal: SlotRefusal) -> SlotRefusal {
        self.ticket = None;
        refusal
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.slots.release(ticket, self.finished);
        }
    }
}

/// Permission for one open connection; dropping it releases the connection.
#[derive(Debug)]
pub(crate) struct ConnectionPermit(Arc<Slots>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.lock().admission.close_connection();
    }
}
