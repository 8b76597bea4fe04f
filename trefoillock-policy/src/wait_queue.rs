//! The queue of calls that wait for a slot of one backend server.
//!
//! The queue holds one ordered map per priority lane and an index by expiry time. It decides
//! nothing by itself: [`crate::Admission`] chooses which calls to add, start and refuse.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use trefoillock_core::{Map, Timestamp};

use crate::{Lane, Ticket};

/// A call in the queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingCall {
    pub(crate) ticket: Ticket,
    pub(crate) kind: Lane,
    pub(crate) queued_at: Timestamp,
    pub(crate) deadline: Timestamp,
    /// The time at which the call is refused if it has not been started.
    pub(crate) expires_at: Timestamp,
    /// The time by which the call should be answered, if it has an objective.
    pub(crate) objective: Option<Timestamp>,
}

/// The sort key of a call within its lane: objective, then order of arrival. Calls without an
/// objective precede those with one.
type LanePosition = (Option<Timestamp>, u64);

/// The waiting calls by lane.
///
/// Adding or removing a call takes logarithmic time.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    next_sequence: u64,
    lanes: BTreeMap<Lane, BTreeMap<LanePosition, WaitingCall>>,
    positions: Map<Ticket, (Lane, LanePosition)>,
    expiry: BTreeSet<(Timestamp, Ticket)>,
    with_objective: usize,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    pub(crate) fn lanes(&self) -> impl Iterator<Item = Lane> {
        self.lanes.keys().copied()
    }

    /// The highest-priority lane that holds a call.
    pub(crate) fn first_lane(&self) -> Option<Lane> {
        self.lanes.keys().next().copied()
    }

    pub(crate) fn push(&mut self, lane: Lane, waiting: WaitingCall) {
        let position = (waiting.objective, self.next_sequence);
        self.next_sequence += 1;
        self.lanes
            .entry(lane)
            .or_default()
            .insert(position, waiting);
        self.positions.insert(waiting.ticket, (lane, position));
        self.expiry.insert((waiting.expires_at, waiting.ticket));
        self.with_objective += usize::from(waiting.objective.is_some());
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<WaitingCall> {
        let (lane, position) = self.positions.remove(&ticket)?;
        let lane_calls = self.lanes.get_mut(&lane)?;
        let waiting = lane_calls.remove(&position)?;
        if lane_calls.is_empty() {
            self.lanes.remove(&lane);
        }
        self.expiry.remove(&(waiting.expires_at, ticket));
        self.with_objective -= usize::from(waiting.objective.is_some());
        Some(waiting)
    }

    /// Removes the first call of a lane: the oldest one without an objective, or else the one with
    /// the earliest objective.
    pub(crate) fn pop_first(&mut self, lane: Lane) -> Option<WaitingCall> {
        let (_, waiting) = self.lanes.get(&lane)?.first_key_value()?;
        self.remove(waiting.ticket)
    }

    /// Removes the last call of a lane: the one with the latest objective, or else the newest one.
    pub(crate) fn pop_last(&mut self, lane: Lane) -> Option<WaitingCall> {
        let (_, waiting) = self.lanes.get(&lane)?.last_key_value()?;
        self.remove(waiting.ticket)
    }

    /// Removes a call whose expiry time has passed.
    pub(crate) fn pop_expired(&mut self, now: Timestamp) -> Option<WaitingCall> {
        let (expires_at, ticket) = *self.expiry.first()?;
        if now < expires_at {
            return None;
        }
        self.remove(ticket)
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

    /// The first call of each kind in a lane.
    pub(crate) fn first_of_each_kind(&self, lane: Lane) -> Vec<WaitingCall> {
        let mut firsts: Vec<WaitingCall> = Vec::new();
        for waiting in self.lanes.get(&lane).into_iter().flat_map(BTreeMap::values) {
            if firsts.iter().all(|first| first.kind != waiting.kind) {
                firsts.push(*waiting);
            }
        }
        firsts
    }

    /// The earliest time at which a call expires.
    pub(crate) fn next_expiry(&self) -> Option<Timestamp> {
        self.expiry.first().map(|(expires_at, _)| *expires_at)
    }

    /// The arrival time of the first call of a lane.
    pub(crate) fn first_arrival(&self, lane: Lane) -> Option<Timestamp> {
        let first = self.lanes.get(&lane)?.values().next();
        first.map(|waiting| waiting.queued_at)
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

    /// The number of calls in the lanes that are served before `lane`.
    pub(crate) fn count_before(&self, lane: Lane) -> usize {
        let lanes = self.lanes.range(..lane);
        lanes.map(|(_, calls)| calls.len()).sum()
    }

    /// The number of calls that start before a new call of `kind` in a lane if the kinds of a lane
    /// are served one after the other.
    pub(crate) fn count_before_by_kind(
        &self,
        lane: Lane,
        kind: Lane,
        objective: Option<Timestamp>,
    ) -> usize {
        let calls = self.lanes.get(&lane).into_iter().flat_map(BTreeMap::values);
        let earlier = calls.filter(|waiting| waiting.kind < kind).count();
        self.count_before(lane) + earlier + self.count_before_in_kind(lane, kind, objective)
    }

    /// The call that starts last if the kinds of a lane are served one after the other.
    pub(crate) fn last_by_kind(&self) -> Option<WaitingCall> {
        let (_, calls) = self.lanes.last_key_value()?;
        let latest_first = calls.values().rev();
        // Of equal kinds the first one, which has the latest objective.
        latest_first
            .copied()
            .reduce(|last, next| if next.kind > last.kind { next } else { last })
    }

    /// The number of calls of `kind` in a lane that are served before a new call with the given
    /// objective.
    pub(crate) fn count_before_in_kind(
        &self,
        lane: Lane,
        kind: Lane,
        objective: Option<Timestamp>,
    ) -> usize {
        let Some(calls) = self.lanes.get(&lane) else {
            return 0;
        };
        let earlier = calls.range(..=(objective, u64::MAX));
        earlier.filter(|(_, waiting)| waiting.kind == kind).count()
    }
}
