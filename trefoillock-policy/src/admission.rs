//! Admission of calls to the slots of one backend server.

use std::{collections::VecDeque, time::Duration};

use trefoillock_core::{Map, RefusalReason, RouteClass, Timestamp, data};

use crate::LoadHint;

/// The most calls that wait for each slot.
const MAX_QUEUED_PER_SLOT: usize = 64;
/// The part of the queue time above which a standing delay means overload.
const TARGET_DIVISOR: u32 = 4;
/// The weight of the newest call in the moving average of the service time.
const AVERAGE_WEIGHT: f64 = 0.1;
/// The part of the average service time that a call surely needs.
const SURE_SERVICE_TIME: f64 = 0.5;
/// The parts of the slots that exports may take while other calls are offered.
const EXPORT_SLOTS: (u32, u32) = (3, 4);
/// The time for which an offered call of another class keeps exports within their part.
const EXPORT_LIMIT_TIME: Duration = Duration::from_secs(5);
/// The classes in the order in which they get a free slot.
const PRIORITY: [RouteClass; 4] = [
    RouteClass::Posting,
    RouteClass::Export,
    RouteClass::Lookup,
    RouteClass::Background,
];

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
    /// The call waits: it is named later by [`Admission::release`], [`Admission::expire`] or
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

/// A call that waits.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: Ticket,
    since: Timestamp,
    deadline: Timestamp,
}

/// A call that runs.
#[derive(Debug, Clone, Copy)]
struct Running {
    class: RouteClass,
    since: Timestamp,
}

/// Admits calls to one backend server; it belongs to the node beside the server.
///
/// Never more calls run than the server has slots, and never more connections are open than it
/// accepts. Calls that find no free slot wait for a bounded time, by class: postings get a free
/// slot first, then exports, lookups and background checks. While the delay of the queue stands
/// above a quarter of the bound, background checks are refused at once, lookups wait only for
/// that quarter, and the newest lookup goes first, since the oldest ones are about to miss
/// their deadline.
///
/// Every refusal is given before the call was forwarded, so the call has not run.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    max_connections: u32,
    queue_time: Duration,
    connections: u32,
    running: Map<Ticket, Running>,
    running_of: [u32; 4],
    queues: [VecDeque<Waiting>; 4],
    service_s: [Option<f64>; 4],
    refused: Vec<Refused>,
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
            running_of: [0; 4],
            queues: Default::default(),
            service_s: [None; 4],
            refused: Vec::new(),
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
        self.running.is_empty() && self.queued() == 0
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
    pub fn offer(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        class: RouteClass,
        deadline: Timestamp,
    ) -> Offer {
        if self.is_closed(now) {
            return Offer::Refused(RefusalReason::Draining);
        }
        if class != RouteClass::Export {
            self.others_offered_at = Some(now);
        }
        if self.misses(now, class, deadline) {
            return Offer::Refused(RefusalReason::Deadline);
        }
        if self.queued() == 0 {
            self.below_target_at = now;
        }
        if self.has_slot(now, class) && self.first_waiting(now).is_none() {
            self.start(now, ticket, class);
            return Offer::Admitted;
        }
        self.enqueue(now, ticket, class, deadline)
    }

    /// Ends a running call and returns the waiting calls that may run now; each of them must be
    /// released. Call [`Self::expire`] afterwards.
    #[must_use]
    pub fn release(&mut self, now: Timestamp, ticket: Ticket) -> Vec<Ticket> {
        if let Some(ended) = self.running.remove(&ticket) {
            let at = index(ended.class);
            self.running_of[at] = self.running_of[at].saturating_sub(1);
            let time = now.since(ended.since).as_secs_f64();
            self.service_s[at] = Some(match self.service_s[at] {
                Some(old) => old + AVERAGE_WEIGHT * (time - old),
                None => time,
            });
        }
        self.admit(now)
    }

    /// Takes back a call that waits or runs, because its caller has gone, and returns the
    /// waiting calls that may run now.
    #[must_use]
    pub fn withdraw(&mut self, now: Timestamp, ticket: Ticket) -> Vec<Ticket> {
        if let Some(ended) = self.running.remove(&ticket) {
            let at = index(ended.class);
            self.running_of[at] = self.running_of[at].saturating_sub(1);
        }
        for queue in &mut self.queues {
            queue.retain(|waiting| waiting.ticket != ticket);
        }
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
        let expiry = |class: RouteClass| {
            let patience = self.patience(now, class);
            let queue = self.queues[index(class)].iter();
            queue.map(move |w| w.deadline.min(w.since + patience)).min()
        };
        let first = RouteClass::ALL.into_iter().filter_map(expiry).min();
        match (first, self.lease_until) {
            (Some(first), Some(lease)) => Some(first.min(lease)),
            (first, _) => first,
        }
    }

    /// The present load, to be sent with answers.
    #[must_use]
    pub fn hint(&self, now: Timestamp) -> LoadHint {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let delay = self.delay(now).as_micros();
        LoadHint {
            running: count(self.running.len()),
            queued: count(self.queued()),
            slots: self.slots,
            queue_delay_us: u32::try_from(delay).unwrap_or(u32::MAX),
        }
    }

    fn is_closed(&self, now: Timestamp) -> bool {
        self.draining || self.lease_until.is_some_and(|until| now >= until)
    }

    /// The number of waiting calls.
    fn queued(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// The time that the longest waiting call has waited.
    fn delay(&self, now: Timestamp) -> Duration {
        let oldest = self.queues.iter().filter_map(VecDeque::front);
        let since = oldest.map(|waiting| waiting.since).min();
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// The delay above which the queue is overloaded.
    fn target(&self) -> Duration {
        self.queue_time / TARGET_DIVISOR
    }

    /// Whether the delay has stood above the target for as long as a call may wait.
    fn is_overloaded(&self, now: Timestamp) -> bool {
        self.delay(now) > self.target() && now.since(self.below_target_at) >= self.queue_time
    }

    /// The time that a call of a class may wait.
    fn patience(&self, now: Timestamp, class: RouteClass) -> Duration {
        match class {
            RouteClass::Lookup if self.is_overloaded(now) => self.target(),
            RouteClass::Background if self.is_overloaded(now) => Duration::ZERO,
            _ => self.queue_time,
        }
    }

    /// Whether a call cannot be answered by its deadline, even if it started now.
    ///
    /// The average service time counts only while calls of the class run, so that a past slow
    /// phase cannot refuse all calls for ever.
    fn misses(&self, now: Timestamp, class: RouteClass, deadline: Timestamp) -> bool {
        if now >= deadline {
            return true;
        }
        let at = index(class);
        match self.service_s[at] {
            Some(service) if self.running_of[at] > 0 => {
                now + Duration::from_secs_f64(service * SURE_SERVICE_TIME) > deadline
            }
            _ => false,
        }
    }

    /// Whether a slot is free for a class.
    fn has_slot(&self, now: Timestamp, class: RouteClass) -> bool {
        let running: u32 = self.running_of.iter().sum();
        running < self.slots
            && (class != RouteClass::Export
                || self.running_of[index(class)] < self.export_limit(now))
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

    /// The class whose waiting call would get a free slot first.
    fn first_waiting(&self, now: Timestamp) -> Option<RouteClass> {
        PRIORITY
            .into_iter()
            .find(|class| !self.queues[index(*class)].is_empty() && self.has_slot(now, *class))
    }

    fn start(&mut self, now: Timestamp, ticket: Ticket, class: RouteClass) {
        self.running.insert(ticket, Running { class, since: now });
        self.running_of[index(class)] += 1;
    }

    fn enqueue(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        class: RouteClass,
        deadline: Timestamp,
    ) -> Offer {
        if self.patience(now, class).is_zero() || !self.make_room_for(class) {
            return Offer::Refused(RefusalReason::Overloaded);
        }
        self.queues[index(class)].push_back(Waiting {
            ticket,
            since: now,
            deadline,
        });
        Offer::Queued
    }

    /// Refuses the oldest waiting call of a lower class if the queue is full.
    fn make_room_for(&mut self, class: RouteClass) -> bool {
        let slots = usize::try_from(self.slots).unwrap_or(usize::MAX);
        if self.queued() < slots.saturating_mul(MAX_QUEUED_PER_SLOT) {
            return true;
        }
        let lower = PRIORITY
            .into_iter()
            .rev()
            .take_while(|other| *other != class);
        for other in lower {
            if let Some(oldest) = self.queues[index(other)].pop_front() {
                self.refuse(oldest.ticket, RefusalReason::Overloaded);
                return true;
            }
        }
        false
    }

    /// Starts waiting calls while slots are free.
    fn admit(&mut self, now: Timestamp) -> Vec<Ticket> {
        if self.delay(now) <= self.target() {
            self.below_target_at = now;
        }
        self.drop_late(now);
        let mut admitted = Vec::new();
        while !self.is_closed(now)
            && let Some(class) = self.first_waiting(now)
            && let Some(waiting) = self.take(now, class)
        {
            self.start(now, waiting.ticket, class);
            admitted.push(waiting.ticket);
        }
        admitted
    }

    /// Takes the next waiting call of a class: the newest lookup under overload, else the
    /// oldest call.
    fn take(&mut self, now: Timestamp, class: RouteClass) -> Option<Waiting> {
        let newest = class == RouteClass::Lookup && self.is_overloaded(now);
        let queue = &mut self.queues[index(class)];
        if newest {
            queue.pop_back()
        } else {
            queue.pop_front()
        }
    }

    /// Refuses the waiting calls that waited too long or cannot meet their deadline.
    fn drop_late(&mut self, now: Timestamp) {
        for class in RouteClass::ALL {
            let patience = self.patience(now, class);
            let mut queue = std::mem::take(&mut self.queues[index(class)]);
            queue.retain(|waiting| {
                let reason = if self.misses(now, class, waiting.deadline) {
                    RefusalReason::Deadline
                } else if now.since(waiting.since) >= patience {
                    RefusalReason::Overloaded
                } else {
                    return true;
                };
                self.refused.push(Refused {
                    ticket: waiting.ticket,
                    reason,
                });
                false
            });
            self.queues[index(class)] = queue;
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: RefusalReason) {
        self.refused.push(Refused { ticket, reason });
    }

    fn refuse_all(&mut self, reason: RefusalReason) {
        let waiting: Vec<_> = self.queues.iter_mut().flat_map(|q| q.drain(..)).collect();
        for call in waiting {
            self.refuse(call.ticket, reason);
        }
    }
}

/// The place of a class in arrays by class.
const fn index(class: RouteClass) -> usize {
    match class {
        RouteClass::Lookup => 0,
        RouteClass::Posting => 1,
        RouteClass::Export => 2,
        RouteClass::Background => 3,
    }
}
