//! The queue of calls that wait for a slot of one backend server.
//!
//! The queue holds the waiting calls by priority lane, kind and tier, and indexes by expiry time
//! and by latest start. It decides nothing by itself: [`crate::Admission`] chooses which calls to
//! add, start and refuse.

mod kind_queue;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use trefoillock_core::{Map, Timestamp};

pub(crate) use kind_queue::KindQueue;

use crate::{Lane, Ticket, kind::Kind};

/// Which waiting calls of a kind start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tier {
    /// Calls that can meet their objective, and calls without one.
    Timely,
    /// Calls that can meet their deadline only. They start when no timely call of their rank can,
    /// or when their latest start has come.
    Late,
}

/// A call in the queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingCall {
    pub(crate) ticket: Ticket,
    pub(crate) kind: Kind,
    pub(crate) tier: Tier,
    pub(crate) queued_at: Timestamp,
    pub(crate) deadline: Timestamp,
    /// The time at which the call leaves its tier if it has not been started.
    pub(crate) expires_at: Timestamp,
    /// The time by which the call should be answered, if it has an objective.
    pub(crate) objective: Option<Timestamp>,
    /// The time at which a late call must start to be answered by its deadline.
    pub(crate) latest_start: Timestamp,
}

/// The sort key of a call within its kind and tier: objective or, for a late call, latest start,
/// then order of arrival. Calls without an objective precede those with one.
pub(crate) type Position = (Option<Timestamp>, u64);

/// Where a call is in the queue.
#[derive(Debug, Clone, Copy)]
struct Place {
    lane: Lane,
    kind: Kind,
    tier: Tier,
    position: Position,
}

/// The waiting calls by lane.
///
/// Adding or removing a call takes logarithmic time. What concerns a lane takes time in the number
/// of its kinds, of which there are few.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    next_sequence: u64,
    lanes: BTreeMap<Lane, BTreeMap<Kind, KindQueue>>,
    places: Map<Ticket, Place>,
    expiry: BTreeSet<(Timestamp, Ticket)>,
    /// The late calls by latest start.
    latest_starts: BTreeSet<(Timestamp, Ticket)>,
    with_objective: usize,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(crate) fn lanes(&self) -> impl DoubleEndedIterator<Item = Lane> {
        self.lanes.keys().copied()
    }

    /// The highest-priority lane that holds a call.
    pub(crate) fn first_lane(&self) -> Option<Lane> {
        self.lanes.keys().next().copied()
    }

    /// The kinds with waiting calls in a lane.
    pub(crate) fn kinds(&self, lane: Lane) -> impl Iterator<Item = (Kind, &KindQueue)> {
        let kinds = self.lanes.get(&lane).into_iter().flatten();
        kinds.map(|(kind, calls)| (*kind, calls))
    }

    /// The kinds with waiting calls in the lanes that are served before `lane`.
    pub(crate) fn kinds_before(&self, lane: Lane) -> impl Iterator<Item = (Kind, &KindQueue)> {
        let kinds = self.lanes.range(..lane).flat_map(|(_, kinds)| kinds);
        kinds.map(|(kind, calls)| (*kind, calls))
    }

    pub(crate) fn push(&mut self, lane: Lane, waiting: WaitingCall) {
        let order = match waiting.tier {
            Tier::Timely => waiting.objective,
            Tier::Late => Some(waiting.latest_start),
        };
        let place = Place {
            lane,
            kind: waiting.kind,
            tier: waiting.tier,
            position: (order, self.next_sequence),
        };
        self.next_sequence += 1;
        let kinds = self.lanes.entry(lane).or_default();
        let calls = kinds.entry(waiting.kind).or_default();
        calls.insert(place.position, waiting);
        self.places.insert(waiting.ticket, place);
        self.expiry.insert((waiting.expires_at, waiting.ticket));
        if waiting.tier == Tier::Late {
            self.latest_starts
                .insert((waiting.latest_start, waiting.ticket));
        }
        self.with_objective += usize::from(waiting.objective.is_some());
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<WaitingCall> {
        let place = self.places.remove(&ticket)?;
        let kinds = self.lanes.get_mut(&place.lane)?;
        let calls = kinds.get_mut(&place.kind)?;
        let waiting = calls.remove(place.tier, place.position)?;
        if calls.is_empty() {
            kinds.remove(&place.kind);
            if kinds.is_empty() {
                self.lanes.remove(&place.lane);
            }
        }
        self.expiry.remove(&(waiting.expires_at, ticket));
        self.latest_starts.remove(&(waiting.latest_start, ticket));
        self.with_objective -= usize::from(waiting.objective.is_some());
        Some(waiting)
    }

    /// Removes the first call of a lane: a timely one before the late ones, and of these the oldest
    /// one without an objective, or else the one with the earliest objective.
    pub(crate) fn pop_first(&mut self, lane: Lane) -> Option<WaitingCall> {
        let firsts = self.kinds(lane).filter_map(|(_, calls)| calls.first());
        let (_, waiting) = firsts.min_by_key(|(order, _)| *order)?;
        self.remove(waiting.ticket)
    }

    /// Removes the last call of a lane: the one that [`Self::pop_first`] would remove last.
    pub(crate) fn pop_last(&mut self, lane: Lane) -> Option<WaitingCall> {
        let lasts = self.kinds(lane).filter_map(|(_, calls)| calls.last());
        let (_, waiting) = lasts.max_by_key(|(order, _)| *order)?;
        self.remove(waiting.ticket)
    }

    /// Removes a call whose expiry time has passed.
    pub(crate) fn pop_expired(&mut self, now: Timestamp) -> Option<(Lane, WaitingCall)> {
        let (expires_at, ticket) = *self.expiry.first()?;
        if now < expires_at {
            return None;
        }
        let lane = self.places.get(&ticket)?.lane;
        Some((lane, self.remove(ticket)?))
    }

    /// Removes the first call of a lane if it has waited for at least `age`.
    pub(crate) fn pop_first_if_older(
        &mut self,
        now: Timestamp,
        lane: Lane,
        age: Duration,
    ) -> Option<WaitingCall> {
        let queued_at = self.first_arrival(lane)?;
        if now.since(queued_at) < age {
            return None;
        }
        self.pop_first(lane)
    }

    /// The late calls whose latest start has come, in its order.
    pub(crate) fn due_late(&self, now: Timestamp) -> impl Iterator<Item = (Kind, Ticket)> {
        let due = self
            .latest_starts
            .iter()
            .take_while(move |(latest, _)| *latest <= now);
        due.filter_map(|(_, ticket)| Some((self.places.get(ticket)?.kind, *ticket)))
    }

    /// The earliest time at which a call expires.
    pub(crate) fn next_expiry(&self) -> Option<Timestamp> {
        self.expiry.first().map(|(expires_at, _)| *expires_at)
    }

    /// The arrival time of the first call of a lane.
    pub(crate) fn first_arrival(&self, lane: Lane) -> Option<Timestamp> {
        let firsts = self.kinds(lane).filter_map(|(_, calls)| calls.first());
        let (_, waiting) = firsts.min_by_key(|(order, _)| *order)?;
        Some(waiting.queued_at)
    }

    /// The longest time that the first call of any lane has waited. Zero if the queue is empty.
    pub(crate) fn delay(&self, now: Timestamp) -> Duration {
        let arrivals = self.lanes().filter_map(|lane| self.first_arrival(lane));
        arrivals
            .min()
            .map_or(Duration::ZERO, |queued_at| now.since(queued_at))
    }

    /// Whether any call in the queue has an objective.
    pub(crate) fn has_objectives(&self) -> bool {
        self.with_objective > 0
    }

    /// The number of calls that start before a new call of `kind` in a lane if the kinds of a lane
    /// are served one after the other.
    pub(crate) fn count_before_by_kind(
        &self,
        lane: Lane,
        kind: Kind,
        objective: Option<Timestamp>,
    ) -> usize {
        let before = self.kinds_before(lane).map(|(_, calls)| calls.len());
        let earlier = self.kinds(lane).filter(|(other, _)| *other < kind);
        let earlier = earlier.map(|(_, calls)| calls.len());
        before.sum::<usize>()
            + earlier.sum::<usize>()
            + self.count_before_in_kind(lane, kind, objective)
    }

    /// The call that starts last if the kinds of a lane are served one after the other.
    pub(crate) fn last_by_kind(&self) -> Option<WaitingCall> {
        let (_, kinds) = self.lanes.last_key_value()?;
        let (_, calls) = kinds.last_key_value()?;
        calls.last().map(|(_, waiting)| *waiting)
    }

    /// The number of timely calls of `kind` in a lane that are served before a new call with the
    /// given objective.
    pub(crate) fn count_before_in_kind(
        &self,
        lane: Lane,
        kind: Kind,
        objective: Option<Timestamp>,
    ) -> usize {
        let calls = self.lanes.get(&lane).and_then(|kinds| kinds.get(&kind));
        calls.map_or(0, |calls| calls.timely_before(objective))
    }
}
