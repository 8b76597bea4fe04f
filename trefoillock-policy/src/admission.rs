//! Admission control for the slots of one backend server: which calls run, wait or are refused, in
//! which order waiting calls start, and when the server counts as overloaded.

mod arrival_rate;
mod backlog;
mod estimates;
mod kind_state;
mod urgent_reserve;

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{CallRate, Map, RefusalReason, RouteClass, Timestamp, data};

use crate::{
    Demand, Lane, LimitHint, LoadHint,
    kind::Kind,
    rate_limiter::RateLimiter,
    service_time::ServiceTime,
    wait_queue::{Tier, WaitQueue, WaitingCall},
};
use kind_state::KindState;

/// The maximum number of waiting calls per slot.
const MAX_QUEUED_PER_SLOT: usize = 64;
/// The divisor of the queue time that gives the target delay. A queue delay that stays above the
/// target means overload.
const TARGET_DELAY_DIVISOR: u32 = 4;
/// The share of the slots that exports may occupy while lookups or postings are offered, as
/// numerator and denominator.
const EXPORT_SLOT_SHARE: (u32, u32) = (3, 4);
/// The time after the last offered lookup or posting for which exports stay limited.
const EXPORT_LIMIT_DURATION: Duration = Duration::from_secs(5);
/// The minimum time that a call with an objective may wait. An answer that is slightly late is
/// better than a refusal.
const MIN_OBJECTIVE_WAIT: Duration = Duration::from_millis(25);
/// The minimum delay after which a refused call should be retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// The identifier of a call, unique within its node.
#[data(key)]
#[serde(transparent)]
pub struct Ticket(u64);

impl Ticket {
    /// Creates a ticket from a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number that the ticket was created from.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The result of offering a call.
#[data(key)]
pub enum Offer {
    /// The call runs now. The caller must release it when it ends.
    Admitted,
    /// The call waits. [`Admission::release`] or [`Admission::withdraw`] of another call returns it
    /// when it may run, [`Admission::expire`] returns it when it is refused, and
    /// [`Admission::withdraw`] removes it.
    Queued,
    /// The call is refused. It has not run.
    Refused(RefusalReason),
}

/// A call that was refused while it waited. It has not run.
#[data(key)]
pub struct RefusedCall {
    /// The refused call.
    pub ticket: Ticket,
    /// The reason for the refusal.
    pub reason: RefusalReason,
}

/// A call that occupies a slot.
#[derive(Debug, Clone, Copy)]
struct RunningCall {
    kind: Kind,
    started_at: Timestamp,
}

/// Admission control for one backend server, run by the node on the VM of the server.
///
/// The number of running calls never exceeds the slots of the server, and the number of open
/// connections never exceeds its limit. Calls that find no free slot wait for a bounded time. Free
/// slots go to the highest rank first, and within a rank to postings, then to exports, lookups and
/// background checks.
///
/// Overload begins when the queue delay has stayed above a quarter of the queue time for the whole
/// queue time, and ends when the queue is empty. During overload, background checks do not wait,
/// lookups wait for a quarter of the queue time only, and the newest lookup starts first because
/// the oldest ones are about to miss their deadlines. A call that would probably miss its deadline
/// gets no slot while others wait.
///
/// A call with an objective waits as long as it can still meet the objective, and is refused at
/// once if the calls ahead of it make that unlikely. While such calls wait, the server does not
/// count as overloaded.
///
/// If the server has stated a limit on the rate of calls, or is cold, a call also needs its turn. Turns go to
/// the same lanes in the same order, and within a lane to the classes in their order, because
/// turns, unlike slots, are not worth less to a short call. A call whose turn would come too late
/// is refused at once, also when a call of a higher lane takes its turn. A cold server has a short
/// queue, because the other servers take the calls that it refuses sooner.
///
/// Every refusal happens before the call is forwarded, so a refused call has not run.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    max_connections: u32,
    queue_time: Duration,
    connections: u32,
    rate: RateLimiter,
    running: Map<Ticket, RunningCall>,
    kinds: BTreeMap<Kind, KindState>,
    queue: WaitQueue,
    /// The service time of calls of all kinds.
    slot_time: ServiceTime,
    /// Refusals that the next [`Self::expire`] returns.
    pending_refusals: Vec<RefusedCall>,
    is_overloaded: bool,
    /// The last time at which the queue delay was not above the target.
    below_target_at: Timestamp,
    /// The time at which a lookup or posting was last offered.
    others_offered_at: Option<Timestamp>,
    lease_until: Option<Timestamp>,
    draining: bool,
}

impl Admission {
    /// Creates the admission control for a server with the given limits on slots and connections.
    /// `queue_time` is the longest time that a call without an objective waits.
    #[must_use]
    pub fn new(slots: u32, connections: u32, queue_time: Duration) -> Self {
        Self {
            slots,
            max_connections: connections,
            queue_time,
            connections: 0,
            rate: RateLimiter::default(),
            running: Map::default(),
            kinds: BTreeMap::new(),
            queue: WaitQueue::default(),
            slot_time: ServiceTime::default(),
            pending_refusals: Vec::new(),
            is_overloaded: false,
            below_target_at: Timestamp::EPOCH,
            others_offered_at: None,
            lease_until: None,
            draining: false,
        }
    }

    /// Replaces the limits. Running calls beyond a lower limit end normally.
    pub const fn set_limits(&mut self, slots: u32, connections: u32, queue_time: Duration) {
        self.slots = slots;
        self.max_connections = connections;
        self.queue_time = queue_time;
    }

    /// Replaces the limit on the rate of calls that the server takes; `None` if it states none.
    /// Call [`Self::admit_waiting`] and [`Self::expire`] afterwards.
    pub fn set_rate_limit(&mut self, now: Timestamp, limit: Option<CallRate>) {
        self.rate.set_stated(now, limit);
        self.refuse_without_turn(now);
    }

    /// The limit on the rate of calls that the server states; `None` if it states none.
    #[must_use]
    pub const fn rate_limit(&self) -> Option<CallRate> {
        self.rate.stated()
    }

    /// The limit on the rate of calls that holds while the server is cold; `None` if it is warm.
    #[must_use]
    pub const fn cold_limit(&self) -> Option<CallRate> {
        self.rate.cold()
    }

    /// Replaces the limit on the rate of calls that holds while the server is cold; `None` if it is
    /// warm. The lower one of this limit and the stated one is in force. Call
    /// [`Self::admit_waiting`] and [`Self::expire`] afterwards.
    pub fn set_cold_limit(&mut self, now: Timestamp, limit: Option<CallRate>) {
        if self.rate.cold() != limit {
            self.rate.set_cold(now, limit);
            self.refuse_without_turn(now);
        }
    }

    /// Counts the second that begins at `at` as used up for a cold server, because the calls that
    /// started before `at` are not known.
    pub fn assume_used(&mut self, at: Timestamp) {
        self.rate.assume_used(at);
    }

    /// The number of calls that started within the last second, with those that are assumed.
    #[must_use]
    pub fn recent_starts(&self, now: Timestamp) -> u32 {
        self.rate.recent_starts(now)
    }

    /// Counts the calls that another admission control has started on the same server.
    pub fn inherit_starts(&mut self, earlier: &Self) {
        self.rate.inherit_starts(&earlier.rate);
    }

    /// Sets the time after which no new call starts unless the lease is renewed again. Before the
    /// first renewal there is no such limit.
    pub const fn renew_lease(&mut self, until: Timestamp) {
        self.lease_until = Some(until);
    }

    /// Starts or ends draining. During draining, new and waiting calls are refused and running
    /// calls end normally. The next [`Self::expire`] returns the waiting calls that were refused.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
        if draining {
            self.refuse_waiting(RefusalReason::Draining);
        }
    }

    /// Whether the server is draining.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether no call is running or waiting.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Counts a new connection to the backend server. Returns `false` if the connection limit is
    /// reached.
    #[must_use]
    pub const fn open_connection(&mut self) -> bool {
        if self.connections >= self.max_connections {
            return false;
        }
        self.connections += 1;
        true
    }

    /// Counts the end of a connection.
    pub const fn close_connection(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Offers a call. Its ticket must not have been used before.
    #[must_use]
    pub fn offer(&mut self, now: Timestamp, ticket: Ticket, demand: Demand) -> Offer {
        if self.refuses_all_calls(now) {
            return Offer::Refused(RefusalReason::Draining);
        }
        let (kind, deadline) = (Kind::from(&demand), demand.deadline);
        if demand.objective.is_some() {
            self.kinds.entry(kind).or_default().arrivals.record(now);
        }
        if matches!(demand.class, RouteClass::Lookup | RouteClass::Posting) {
            self.others_offered_at = Some(now);
        }
        if now + self.min_service_time(kind) > deadline || now >= deadline {
            return Offer::Refused(RefusalReason::Deadline);
        }
        self.update_overload(now);
        if self.may_start(now, kind, demand.objective) && !self.has_startable(now) {
            self.start(now, ticket, kind);
            return Offer::Admitted;
        }
        self.enqueue(now, ticket, demand)
    }

    /// Ends a running call. Returns the waiting calls that run from now on, each of which must be
    /// released. Call [`Self::expire`] afterwards.
    #[must_use]
    pub fn release(&mut self, now: Timestamp, ticket: Ticket) -> Vec<Ticket> {
        if let Some(ended) = self.end_call(ticket) {
            let time = now.since(ended.started_at);
            let kind = self.kinds.entry(ended.kind).or_default();
            kind.service_time.record(time);
            self.slot_time.record(time);
        }
        self.admit(now)
    }

    /// Returns the waiting calls that run from now on because their turn has come. Call
    /// [`Self::expire`] afterwards.
    #[must_use]
    pub fn admit_waiting(&mut self, now: Timestamp) -> Vec<Ticket> {
        self.admit(now)
    }

    /// The time at which [`Self::admit_waiting`] must be called next. `None` if no call waits for a
    /// turn.
    #[must_use]
    pub fn next_turn(&self, now: Timestamp) -> Option<Timestamp> {
        let waits = self.rate.limit().is_some() && !self.queue.is_empty();
        waits.then(|| now + self.rate.wait(now, 0))
    }

    /// Removes a waiting or running call whose caller has gone. Returns the waiting calls that run
    /// from now on.
    #[must_use]
    pub fn withdraw(&mut self, now: Timestamp, ticket: Ticket) -> Vec<Ticket> {
        self.end_call(ticket);
        self.queue.remove(ticket);
        self.admit(now)
    }

    /// Returns the calls that were refused while they waited: they waited too long, could not meet
    /// their deadline, were evicted for a call of a higher lane, or the server is draining.
    #[must_use]
    pub fn expire(&mut self, now: Timestamp) -> Vec<RefusedCall> {
        if self.refuses_all_calls(now) {
            self.refuse_waiting(RefusalReason::Draining);
        }
        self.refuse_late(now);
        std::mem::take(&mut self.pending_refusals)
    }

    /// The time at which [`Self::expire`] must be called next. `None` if no call is waiting
    /// and no refusal is pending.
    #[must_use]
    pub fn next_expiry(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.pending_refusals.is_empty() {
            return Some(now);
        }
        let mut next = self.queue.next_expiry()?;
        if self.is_overloaded {
            for lane in self.lanes_of(RouteClass::Lookup) {
                if let Some(arrival) = self.queue.first_arrival(lane) {
                    next = next.min(arrival + self.target_delay());
                }
            }
        }
        Some(self.lease_until.map_or(next, |lease| next.min(lease)))
    }

    /// The current load, sent to entry nodes with answers.
    #[must_use]
    pub fn hint(&self, now: Timestamp) -> LoadHint {
        let count = |calls: usize| u32::try_from(calls).unwrap_or(u32::MAX);
        let delay = self.queue.delay(now).as_micros();
        LoadHint {
            running: count(self.running.len()),
            queued: count(self.queue.len()),
            slots: self.slots,
            queue_delay_us: u32::try_from(delay).unwrap_or(u32::MAX),
            limit: self.rate.limit().map(|rate| {
                let wait = self.rate.wait(now, self.queue.len()).as_micros();
                LimitHint {
                    rate,
                    wait_us: u32::try_from(wait).unwrap_or(u32::MAX),
                }
            }),
            time: None,
        }
    }

    /// Whether all calls are refused because the server is draining or the lease has expired.
    fn refuses_all_calls(&self, now: Timestamp) -> bool {
        self.draining || self.lease_until.is_some_and(|until| now >= until)
    }

    /// The queue delay above which overload begins if it lasts.
    fn target_delay(&self) -> Duration {
        self.queue_time / TARGET_DELAY_DIVISOR
    }

    /// Updates the overload state. Called before a call enters or leaves the queue.
    fn update_overload(&mut self, now: Timestamp) {
        if self.queue.is_empty() || self.queue.has_objectives() {
            self.is_overloaded = false;
            self.below_target_at = now;
        } else if self.queue.delay(now) <= self.target_delay() {
            self.below_target_at = now;
        } else if now.since(self.below_target_at) >= self.queue_time {
            self.is_overloaded = true;
        }
    }

    /// The longest time that a call of a class without an objective may wait.
    fn max_wait(&self, class: RouteClass) -> Duration {
        match class {
            RouteClass::Lookup if self.is_overloaded => self.target_delay(),
            RouteClass::Background if self.is_overloaded => Duration::ZERO,
            _ => self.queue_time,
        }
    }

    /// The non-empty lanes of a class.
    fn lanes_of(&self, class: RouteClass) -> Vec<Lane> {
        let lanes = self.queue.lanes();
        lanes.filter(|lane| lane.class() == class).collect()
    }

    fn running_of_kind(&self, kind: Kind) -> u32 {
        self.kinds.get(&kind).map_or(0, |state| state.running)
    }

    fn service_time_of(&self, kind: Kind) -> ServiceTime {
        let state = self.kinds.get(&kind);
        state.map_or_else(ServiceTime::default, |state| state.service_time)
    }

    /// Whether a slot is free for a call of a kind.
    fn may_start(&self, now: Timestamp, kind: Kind, objective: Option<Timestamp>) -> bool {
        if self.running.len() >= self.slots as usize || !self.rate.has_turn(now) {
            return false;
        }
        if objective.is_none()
            && kind.lane().class() == RouteClass::Export
            && self.running_exports() >= self.export_limit(now)
        {
            return false;
        }
        objective.is_none() || self.leaves_urgent_slots(now, kind)
    }

    fn running_exports(&self) -> u32 {
        let of_exports =
            |(kind, _): &(&Kind, &KindState)| kind.lane().class() == RouteClass::Export;
        let exports = self.kinds.iter().filter(of_exports);
        exports.map(|(_, state)| state.running).sum()
    }

    /// The maximum number of exports that may run at once.
    fn export_limit(&self, now: Timestamp) -> u32 {
        let others = self
            .others_offered_at
            .is_some_and(|at| now.since(at) < EXPORT_LIMIT_DURATION);
        if others {
            let (share, whole) = EXPORT_SLOT_SHARE;
            let limit = u64::from(self.slots) * u64::from(share) / u64::from(whole);
            u32::try_from(limit).unwrap_or(u32::MAX).max(1)
        } else {
            self.slots
        }
    }

    /// Whether a waiting call may start.
    fn has_startable(&self, now: Timestamp) -> bool {
        // Without a free slot, or with an empty queue, there is nothing to look for.
        !self.queue.is_empty()
            && self.running.len() < self.slots as usize
            && self.queue.lanes().any(|lane| {
                let mut kinds = self.queue.kinds(lane);
                kinds.any(|(kind, calls)| {
                    let has_objective = |tier| {
                        let first = calls.first_of(tier);
                        first.is_some_and(|(_, first)| self.may_start(now, kind, first.objective))
                    };
                    has_objective(Tier::Timely) || has_objective(Tier::Late)
                })
            })
    }

    fn start(&mut self, now: Timestamp, ticket: Ticket, kind: Kind) {
        self.rate.take_turn(now);
        self.running.insert(
            ticket,
            RunningCall {
                kind,
                started_at: now,
            },
        );
        self.kinds.entry(kind).or_default().running += 1;
    }

    fn end_call(&mut self, ticket: Ticket) -> Option<RunningCall> {
        let ended = self.running.remove(&ticket)?;
        if let Some(state) = self.kinds.get_mut(&ended.kind) {
            state.running = state.running.saturating_sub(1);
        }
        Some(ended)
    }

    fn enqueue(&mut self, now: Timestamp, ticket: Ticket, demand: Demand) -> Offer {
        let kind = Kind::from(&demand);
        let max_wait = match demand.objective {
            Some(objective) => self.max_wait_for_objective(now, kind, objective, demand.deadline),
            None => self.max_wait(demand.class),
        };
        let max_wait = max_wait.min(self.rate.longest_cold_wait());
        let spare = self.spare_time(now, kind, demand.deadline);
        if self.expected_turn(now, &demand) > max_wait.min(spare) {
            return Offer::Refused(RefusalReason::RateLimited);
        }
        let tier = if demand.objective.is_none() || self.meets_objective(now, &demand, max_wait) {
            Tier::Timely
        } else if self.meets_deadline(now, demand.lane(), kind, demand.deadline) {
            Tier::Late
        } else {
            return Offer::Refused(RefusalReason::Overloaded);
        };
        if max_wait.is_zero() || !self.evict_for(demand.lane()) {
            return Offer::Refused(RefusalReason::Overloaded);
        }
        let latest_start = self.latest_start(kind, demand.deadline);
        let expires_at = match tier {
            Tier::Timely => demand.deadline.min(now + max_wait),
            Tier::Late => self.last_useful_start(kind, demand.deadline),
        };
        let waiting = WaitingCall {
            ticket,
            kind,
            tier,
            queued_at: now,
            deadline: demand.deadline,
            expires_at,
            objective: demand.objective,
            latest_start,
        };
        self.queue.push(demand.lane(), waiting);
        self.refuse_without_turn(now);
        Offer::Queued
    }

    /// Refuses the waiting calls whose turn would come too late.
    fn refuse_without_turn(&mut self, now: Timestamp) {
        if self.rate.limit().is_none() {
            return;
        }
        while let Some(last) = self.queue.last_by_kind()
            && now + self.rate.wait(now, self.queue.len() - 1) > last.expires_at
        {
            self.queue.remove(last.ticket);
            self.refuse(last.ticket, RefusalReason::RateLimited);
        }
    }

    /// If the queue is full, refuses the first call of the last lane to make room for a call of a
    /// higher lane. Returns whether there is room.
    fn evict_for(&mut self, lane: Lane) -> bool {
        let slots = usize::try_from(self.slots).unwrap_or(usize::MAX);
        if self.queue.len() < slots.saturating_mul(MAX_QUEUED_PER_SLOT) {
            return true;
        }
        let lowest = self.queue.lanes().last().filter(|lowest| *lowest > lane);
        if let Some(first) = lowest.and_then(|lowest| self.queue.pop_first(lowest)) {
            self.refuse(first.ticket, RefusalReason::Overloaded);
            return true;
        }
        false
    }

    /// Starts waiting calls while slots are free, and returns them.
    fn admit(&mut self, now: Timestamp) -> Vec<Ticket> {
        self.update_overload(now);
        self.refuse_late(now);
        let mut admitted = Vec::new();
        while !self.refuses_all_calls(now)
            && self.running.len() < self.slots as usize
            && let Some(waiting) = self.pop_next(now)
        {
            let may_be_refused = waiting.objective.is_none() && !self.queue.is_empty();
            if may_be_refused && self.likely_misses_deadline(now, waiting.kind, waiting.deadline) {
                self.refuse(waiting.ticket, RefusalReason::Deadline);
                continue;
            }
            self.start(now, waiting.ticket, waiting.kind);
            admitted.push(waiting.ticket);
        }
        admitted
    }

    /// Removes the next call to start: a late one whose latest start has come, or else the next one
    /// of the highest lane in which one may start.
    fn pop_next(&mut self, now: Timestamp) -> Option<WaitingCall> {
        if self.rate.limit().is_none() {
            let due = self
                .queue
                .due_late(now)
                .find(|(kind, _)| self.may_start(now, *kind, Some(now)))
                .map(|(_, ticket)| ticket);
            if let Some(ticket) = due {
                return self.queue.remove(ticket);
            }
        }
        let lanes: Vec<Lane> = self.queue.lanes().collect();
        lanes
            .into_iter()
            .find_map(|lane| self.pop_next_of(now, lane))
    }

    /// Removes the next call to start from a lane.
    ///
    /// Under a limit on the rate of calls the classes follow one another in their order, within a
    /// class by objective, then by arrival. Otherwise:
    ///
    /// If calls with an objective wait, the kind that occupies the fewest slots is next, so that
    /// short calls between services and long postings of the same rank cannot starve each other;
    /// within that kind, the call with the earliest objective is next. Late calls follow when no
    /// other call of the lane may start. Otherwise the newest lookup is next under overload, and
    /// the oldest call in all other cases.
    fn pop_next_of(&mut self, now: Timestamp, lane: Lane) -> Option<WaitingCall> {
        let in_order = self.rate.limit().is_some();
        let by_kind = in_order || self.queue.has_objectives();
        let first_of = |tier| {
            let kinds = self.queue.kinds(lane);
            let firsts = kinds.filter_map(|(kind, calls)| {
                let (position, first) = calls.first_of(tier)?;
                let order = if in_order {
                    (0, (None, 0), kind)
                } else {
                    (self.running_of_kind(kind), position, kind)
                };
                let may_start = self.may_start(now, kind, first.objective);
                may_start.then_some((order, first.ticket))
            });
            firsts.min()
        };
        let next = first_of(Tier::Timely).or_else(|| first_of(Tier::Late));
        let (_, ticket) = next?;
        if by_kind {
            self.queue.remove(ticket)
        } else if lane.class() == RouteClass::Lookup && self.is_overloaded {
            self.queue.pop_last(lane)
        } else {
            self.queue.pop_first(lane)
        }
    }

    /// Refuses the calls that have waited too long or reached their deadline.
    fn refuse_late(&mut self, now: Timestamp) {
        while let Some((lane, late)) = self.queue.pop_expired(now) {
            if self.keep_late(now, lane, late) {
                continue;
            }
            let reason = if now >= late.deadline {
                RefusalReason::Deadline
            } else {
                self.wait_reason()
            };
            self.refuse(late.ticket, reason);
        }
        if !self.is_overloaded {
            return;
        }
        for class in [RouteClass::Lookup, RouteClass::Background] {
            let max_wait = self.max_wait(class);
            for lane in self.lanes_of(class) {
                while let Some(old) = self.queue.pop_first_if_older(now, lane, max_wait) {
                    self.refuse(old.ticket, self.wait_reason());
                }
            }
        }
    }

    /// What calls wait for: a slot or a turn.
    fn wait_reason(&self) -> RefusalReason {
        if self.rate.limit().is_some() && self.running.len() < self.slots as usize {
            RefusalReason::RateLimited
        } else {
            RefusalReason::Overloaded
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: RefusalReason) {
        self.pending_refusals.push(RefusedCall { ticket, reason });
    }

    /// Refuses all waiting calls; running calls end normally. The next [`Self::expire`] returns the
    /// refused calls.
    pub fn refuse_waiting(&mut self, reason: RefusalReason) {
        while let Some(lane) = self.queue.first_lane()
            && let Some(waiting) = self.queue.pop_first(lane)
        {
            self.refuse(waiting.ticket, reason);
        }
    }
}
