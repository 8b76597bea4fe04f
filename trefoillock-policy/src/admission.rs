//! Admission of calls to the slots of one backend server.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{Map, RefusalReason, RouteClass, Timestamp, data};

use crate::{
    Demand, Lane, LoadHint,
    service_time::ServiceTime,
    wait_queue::{WaitQueue, Waiting},
};

/// The most calls that wait for each slot.
const MAX_QUEUED_PER_SLOT: usize = 64;
/// The part of the queue time above which a standing delay means overload.
const TARGET_DIVISOR: u32 = 4;
/// The parts of the slots that exports may take while lookups or postings are offered.
const EXPORT_SLOTS: (u32, u32) = (3, 4);
/// The time for which an offered lookup or posting keeps exports within their part.
const EXPORT_LIMIT_TIME: Duration = Duration::from_secs(5);
/// The shortest time that a call with an objective may wait: an answer that is a little late is
/// better than a refusal.
const MIN_PATIENCE: Duration = Duration::from_millis(25);
/// The shortest time after which a refused call is told to come back.
const MIN_PAUSE: Duration = Duration::from_millis(40);

/// The number of a call, unique in its node.
#[data(key)]
#[serde(transparent)]
pub struct Ticket(u64);

impl Ticket {
    /// Creates a ticket from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The answer to an offered call.
#[data(key)]
pub enum Offer {
    /// The call may run now; it must be released.
    Admitted,
    /// The call waits: it is named later by [`Admission::release`] or [`Admission::expire`], or
    /// taken back by [`Admission::withdraw`].
    Queued,
    /// The call is refused and has not run.
    Refused(RefusalReason),
}

/// A call that waited and is refused; it has not run.
#[data(key)]
pub struct Refused {
    /// The call.
    pub ticket: Ticket,
    /// Why it is refused.
    pub reason: RefusalReason,
}

/// A call that runs.
#[derive(Debug, Clone, Copy)]
struct Running {
    kind: Lane,
    since: Timestamp,
}

/// Admits calls to one backend server; it belongs to the node beside the server.
///
/// Never more calls run than the server has slots, and never more connections are open than it
/// accepts. Calls that find no free slot wait for a bounded time, by class: postings get a free
/// slot first, then exports, lookups and background checks.
///
/// Overload begins when the delay of the queue has stood above a quarter of the bound for the
/// time of the bound, and ends when the queue is empty. Meanwhile background checks do not wait,
/// lookups wait only for that quarter, and the newest lookup goes first, since the oldest ones
/// are about to miss their deadline. A call that would likely miss its deadline does not get a
/// slot that others wait for.
///
/// Calls that have an objective wait as long as they can still meet it, are refused at once when
/// the calls before them leave no hope for that, and cause no overload in the sense above.
///
/// Every refusal is given before the call was forwarded, so the call has not run.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    max_connections: u32,
    queue_time: Duration,
    connections: u32,
    running: Map<Ticket, Running>,
    running_of: BTreeMap<Lane, u32>,
    queue: WaitQueue,
    service: BTreeMap<Lane, ServiceTime>,
    /// The time for which any call holds a slot.
    hold: ServiceTime,
    refused: Vec<Refused>,
    is_overloaded: bool,
    below_target_at: Timestamp,
    others_offered_at: Option<Timestamp>,
    lease_until: Option<Timestamp>,
    draining: bool,
}

impl Admission {
    /// Creates an admission from the limits of a backend server and the longest time that a
    /// call waits.
    #[must_use]
    pub fn new(slots: u32, connections: u32, queue_time: Duration) -> Self {
        Self {
            slots,
            max_connections: connections,
            queue_time,
            connections: 0,
            running: Map::default(),
            running_of: BTreeMap::new(),
            queue: WaitQueue::default(),
            service: BTreeMap::new(),
            hold: ServiceTime::default(),
            refused: Vec::new(),
            is_overloaded: false,
            below_target_at: Timestamp::EPOCH,
            others_offered_at: None,
            lease_until: None,
            draining: false,
        }
    }

    /// Takes new limits. Calls that run beyond a lower limit end undisturbed.
    pub const fn set_limits(&mut self, slots: u32, connections: u32, queue_time: Duration) {
        self.slots = slots;
        self.max_connections = connections;
        self.queue_time = queue_time;
    }

    /// Takes no new work after a time unless the lease is renewed. Without a lease there is no
    /// such bound.
    pub const fn renew_lease(&mut self, until: Timestamp) {
        self.lease_until = Some(until);
    }

    /// Starts or ends draining. While draining, new and waiting calls are refused and running
    /// ones end. The refused ones are returned by the next [`Self::expire`].
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
        if draining {
            self.refuse_all(RefusalReason::Draining);
        }
    }

    /// Whether the server is draining.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether no call runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Counts a new connection to the backend server, or returns `false` if it accepts no more.
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

    /// Offers a call. Its ticket must be new.
    #[must_use]
    pub fn offer(&mut self, now: Timestamp, ticket: Ticket, demand: Demand) -> Offer {
        if self.is_closed(now) {
            return Offer::Refused(RefusalReason::Draining);
        }
        let (kind, deadline) = (demand.kind(), demand.deadline);
        if matches!(demand.class, RouteClass::Lookup | RouteClass::Posting) {
            self.others_offered_at = Some(now);
        }
        if now + self.sure_time(kind) > deadline || now >= deadline {
            return Offer::Refused(RefusalReason::Deadline);
        }
        self.observe_delay(now);
        if self.may_start(now, &demand) && self.first_waiting(now).is_none() {
            self.start(now, ticket, kind);
            return Offer::Admitted;
        }
        self.enqueue(now, ticket, demand)
    }

    /// Ends a running call and returns the waiting calls that may run now; each of them must be
    /// released. Call [`Self::expire`] afterwards.
    #[must_use]
    pub fn release(&mut self, now: Timestamp, ticket: Ticket) -> Vec<Ticket> {
        if let Some(ended) = self.end(ticket) {
            let time = now.since(ended.since);
            self.service.entry(ended.kind).or_default().record(time);
            self.hold.record(time);
        }
        self.admit(now)
    }

    /// Takes back a call that waits or runs, because its caller has gone, and returns the
    /// waiting calls that may run now.
    #[must_use]
    pub fn withdraw(&mut self, now: Timestamp, ticket: Ticket) -> Vec<Ticket> {
        self.end(ticket);
        self.queue.remove(ticket);
        self.admit(now)
    }

    /// Returns the waiting calls that are refused, because they waited too long, cannot meet
    /// their deadline, made room for a call of a higher class, or the server drains.
    #[must_use]
    pub fn expire(&mut self, now: Timestamp) -> Vec<Refused> {
        if self.is_closed(now) {
            self.refuse_all(RefusalReason::Draining);
        }
        self.drop_late(now);
        std::mem::take(&mut self.refused)
    }

    /// The time at which [`Self::expire`] is to be called next, if a call waits.
    #[must_use]
    pub fn next_expiry(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.refused.is_empty() {
            return Some(now);
        }
        let mut next = self.queue.next_expiry()?;
        if self.is_overloaded {
            for lane in self.lanes_of(RouteClass::Lookup) {
                if let Some(oldest) = self.queue.oldest_of(lane) {
                    next = next.min(oldest + self.target());
                }
            }
        }
        Some(self.lease_until.map_or(next, |lease| next.min(lease)))
    }

    /// The present load, to be sent with answers.
    #[must_use]
    pub fn hint(&self, now: Timestamp) -> LoadHint {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let delay = self.queue.delay(now).as_micros();
        LoadHint {
            running: count(self.running.len()),
            queued: count(self.queue.len()),
            slots: self.slots,
            queue_delay_us: u32::try_from(delay).unwrap_or(u32::MAX),
        }
    }

    fn is_closed(&self, now: Timestamp) -> bool {
        self.draining || self.lease_until.is_some_and(|until| now >= until)
    }

    /// The delay above which the queue is overloaded.
    fn target(&self) -> Duration {
        self.queue_time / TARGET_DIVISOR
    }

    /// Notes the delay of the queue, before a call enters or leaves it.
    fn observe_delay(&mut self, now: Timestamp) {
        if self.queue.is_empty() || self.queue.has_objectives() {
            self.is_overloaded = false;
            self.below_target_at = now;
        } else if self.queue.delay(now) <= self.target() {
            self.below_target_at = now;
        } else if now.since(self.below_target_at) >= self.queue_time {
            self.is_overloaded = true;
        }
    }

    /// The time that a call of a class may wait.
    fn patience(&self, class: RouteClass) -> Duration {
        match class {
            RouteClass::Lookup if self.is_overloaded => self.target(),
            RouteClass::Background if self.is_overloaded => Duration::ZERO,
            _ => self.queue_time,
        }
    }

    /// The waiting lanes of a class.
    fn lanes_of(&self, class: RouteClass) -> Vec<Lane> {
        let lanes = self.queue.lanes();
        lanes.filter(|lane| lane.class() == class).collect()
    }

    fn running_in(&self, kind: Lane) -> u32 {
        self.running_of.get(&kind).copied().unwrap_or_default()
    }

    fn service_of(&self, kind: Lane) -> ServiceTime {
        self.service.get(&kind).copied().unwrap_or_default()
    }

    /// The time that a call surely takes; unknown while no call of its kind runs, so that a slow
    /// phase does not refuse calls for ever.
    fn sure_time(&self, kind: Lane) -> Duration {
        if self.running_in(kind) == 0 {
            return Duration::ZERO;
        }
        self.service_of(kind).sure()
    }

    fn likely_misses(&self, now: Timestamp, kind: Lane, deadline: Timestamp) -> bool {
        let is_known = self.running_in(kind) > 0;
        is_known && now + self.service_of(kind).likely() > deadline
    }

    /// The time after which a call that comes now would get a slot, if none came after it: the
    /// lanes before it are served first, and the kinds of its own lane share the slots.
    fn expected_wait(&self, demand: &Demand) -> Duration {
        let (lane, kind) = (demand.lane(), demand.kind());
        let count = |calls: usize| u32::try_from(calls).unwrap_or(u32::MAX);
        let before = self.hold.mean() * count(self.queue.before(lane));
        let firsts = self.queue.first_of_each_kind(lane);
        let others = firsts.iter().filter(|first| first.kind != kind).count();
        let own = self.queue.before_in_kind(lane, kind, demand.objective);
        let own = self.service_of(kind).mean() * count(own + 1) * count(others + 1);
        (before + own) / self.slots.max(1)
    }

    /// The time after which a refused call finds the queue empty.
    #[must_use]
    pub fn pause(&self) -> Duration {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        (self.hold.mean() / self.slots.max(1) * queued.saturating_add(1)).max(MIN_PAUSE)
    }

    fn has_slot(&self, now: Timestamp, class: RouteClass) -> bool {
        if self.running.len() >= self.slots as usize {
            return false;
        }
        let exports = || {
            let of_class = |(lane, _): &(&Lane, &u32)| lane.class() == class;
            let running = self.running_of.iter().filter(of_class);
            running.map(|(_, count)| *count).sum::<u32>()
        };
        class != RouteClass::Export || exports() < self.export_limit(now)
    }

    /// Whether a call may start.
    fn may_start(&self, now: Timestamp, demand: &Demand) -> bool {
        self.has_slot(now, demand.lane().class())
    }

    /// The number of exports that may run at once.
    fn export_limit(&self, now: Timestamp) -> u32 {
        let others = self
            .others_offered_at
            .is_some_and(|at| now.since(at) < EXPORT_LIMIT_TIME);
        if others {
            (self.slots * EXPORT_SLOTS.0 / EXPORT_SLOTS.1).max(1)
        } else {
            self.slots
        }
    }

    /// The first lane in which a call waits that may start.
    fn first_waiting(&self, now: Timestamp) -> Option<Lane> {
        let mut lanes = self.queue.lanes();
        lanes.find(|lane| self.has_slot(now, lane.class()))
    }

    fn start(&mut self, now: Timestamp, ticket: Ticket, kind: Lane) {
        self.running.insert(ticket, Running { kind, since: now });
        *self.running_of.entry(kind).or_default() += 1;
    }

    fn end(&mut self, ticket: Ticket) -> Option<Running> {
        let ended = self.running.remove(&ticket)?;
        if let Some(count) = self.running_of.get_mut(&ended.kind) {
            *count = count.saturating_sub(1);
        }
        Some(ended)
    }

    fn enqueue(&mut self, now: Timestamp, ticket: Ticket, demand: Demand) -> Offer {
        let lane = demand.lane();
        let patience = match demand.objective {
            Some(objective) => self.patience_for(now, demand.kind(), objective),
            None => self.patience(demand.class),
        };
        let demand = self.without_missed_objective(now, demand);
        let is_hopeless = demand.objective.is_some() && self.expected_wait(&demand) > patience;
        if patience.is_zero() || is_hopeless || !self.make_room_for(lane) {
            return Offer::Refused(RefusalReason::Overloaded);
        }
        let waiting = Waiting {
            ticket,
            since: now,
            deadline: demand.deadline,
            until: demand.deadline.min(now + patience),
            kind: demand.kind(),
            objective: demand.objective,
        };
        self.queue.push(lane, waiting);
        Offer::Queued
    }

    /// Puts a call that misses its objective even if it runs at once behind those that can still
    /// meet theirs.
    fn without_missed_objective(&self, now: Timestamp, demand: Demand) -> Demand {
        let usual = self.service_of(demand.kind()).usual();
        match demand.objective {
            Some(objective) if objective < now + usual => Demand {
                objective: Some(demand.deadline.max(objective)),
                ..demand
            },
            Some(_) | None => demand,
        }
    }

    /// How long a call may wait and still be answered by its objective.
    fn patience_for(&self, now: Timestamp, kind: Lane, objective: Timestamp) -> Duration {
        let left = objective.since(now);
        let patience = left.saturating_sub(self.service_of(kind).usual());
        patience.max(MIN_PATIENCE)
    }

    /// Refuses the oldest waiting call of a lower class if the queue is full.
    fn make_room_for(&mut self, lane: Lane) -> bool {
        let slots = usize::try_from(self.slots).unwrap_or(usize::MAX);
        if self.queue.len() < slots.saturating_mul(MAX_QUEUED_PER_SLOT) {
            return true;
        }
        let lowest = self.queue.lanes().last().filter(|lowest| *lowest > lane);
        if let Some(oldest) = lowest.and_then(|lowest| self.queue.pop_oldest(lowest)) {
            self.refuse(oldest.ticket, RefusalReason::Overloaded);
            return true;
        }
        false
    }

    /// Starts waiting calls while slots are free.
    fn admit(&mut self, now: Timestamp) -> Vec<Ticket> {
        self.observe_delay(now);
        self.drop_late(now);
        let mut admitted = Vec::new();
        while !self.is_closed(now)
            && let Some(lane) = self.first_waiting(now)
            && let Some(waiting) = self.take(lane)
        {
            let is_contested = !self.queue.is_empty();
            if is_contested && self.likely_misses(now, waiting.kind, waiting.deadline) {
                self.refuse(waiting.ticket, RefusalReason::Deadline);
                continue;
            }
            self.start(now, waiting.ticket, waiting.kind);
            admitted.push(waiting.ticket);
        }
        admitted
    }

    /// Takes the next waiting call of a lane.
    ///
    /// Calls with an objective: of the kinds that wait, the one that holds the fewest slots, so
    /// that short calls between services and long postings of one rank cannot starve each other,
    /// and of that kind the call with the earliest objective. Other calls: the newest lookup
    /// under overload, else the oldest call.
    fn take(&mut self, lane: Lane) -> Option<Waiting> {
        if self.queue.has_objectives() {
            let firsts = self.queue.first_of_each_kind(lane);
            let next = firsts
                .into_iter()
                .min_by_key(|waiting| (self.running_in(waiting.kind), waiting.objective));
            if let Some(next) = next {
                return self.queue.remove(next.ticket);
            }
        }
        if lane.class() == RouteClass::Lookup && self.is_overloaded {
            self.queue.pop_newest(lane)
        } else {
            self.queue.pop_oldest(lane)
        }
    }

    /// Refuses the waiting calls that waited too long or cannot meet their deadline.
    fn drop_late(&mut self, now: Timestamp) {
        while let Some(late) = self.queue.pop_expired(now) {
            let reason = if now >= late.deadline {
                RefusalReason::Deadline
            } else {
                RefusalReason::Overloaded
            };
            self.refuse(late.ticket, reason);
        }
        if !self.is_overloaded {
            return;
        }
        for class in [RouteClass::Lookup, RouteClass::Background] {
            let patience = self.patience(class);
            for lane in self.lanes_of(class) {
                while let Some(old) = self.queue.pop_older(now, lane, patience) {
                    self.refuse(old.ticket, RefusalReason::Overloaded);
                }
            }
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: RefusalReason) {
        self.refused.push(Refused { ticket, reason });
    }

    fn refuse_all(&mut self, reason: RefusalReason) {
        while let Some(lane) = self.queue.first_lane()
            && let Some(waiting) = self.queue.pop_oldest(lane)
        {
            self.refuse(waiting.ticket, reason);
        }
    }
}
