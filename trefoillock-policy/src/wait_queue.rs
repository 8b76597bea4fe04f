//! The calls that wait for a slot of one backend server.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use trefoillock_core::{Map, Timestamp};

use crate::{Lane, Ticket};

/// A call that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) kind: Lane,
    pub(crate) since: Timestamp,
    pub(crate) deadline: Timestamp,
    /// The time at which the call is refused if it still waits.
    pub(crate) until: Timestamp,
    /// The time by which the call should be answered, if it has an objective of its own.
    pub(crate) objective: Option<Timestamp>,
}

/// The place of a call in its lane: by objective, then by arrival.
type Place = (Option<Timestamp>, u64);

/// Waiting calls by class, in the order of their arrival.
///
/// Every operation takes time that grows with the logarithm of the number of calls.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    next: u64,
    lanes: BTreeMap<Lane, BTreeMap<Place, Waiting>>,
    places: Map<Ticket, (Lane, Place)>,
    expiry: BTreeSet<(Timestamp, Ticket)>,
    with_objective: usize,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(crate) fn lanes(&self) -> impl Iterator<Item = Lane> {
        self.lanes.keys().copied()
    }

    /// The first lane in which a call waits.
    pub(crate) fn first_lane(&self) -> Option<Lane> {
        self.lanes.keys().next().copied()
    }

    pub(crate) fn push(&mut self, lane: Lane, waiting: Waiting) {
        let place = (waiting.objective, self.next);
        self.next += 1;
        self.lanes.entry(lane).or_default().insert(place, waiting);
        self.places.insert(waiting.ticket, (lane, place));
        self.expiry.insert((waiting.until, waiting.ticket));
        self.with_objective += usize::from(waiting.objective.is_some());
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let (lane, place) = self.places.remove(&ticket)?;
        let lane_calls = self.lanes.get_mut(&lane)?;
        let waiting = lane_calls.remove(&place)?;
        if lane_calls.is_empty() {
            self.lanes.remove(&lane);
        }
        self.expiry.remove(&(waiting.until, ticket));
        self.with_objective -= usize::from(waiting.objective.is_some());
        Some(waiting)
    }

    pub(crate) fn pop_oldest(&mut self, lane: Lane) -> Option<Waiting> {
        let (_, waiting) = self.lanes.get(&lane)?.first_key_value()?;
        self.remove(waiting.ticket)
    }

    pub(crate) fn pop_newest(&mut self, lane: Lane) -> Option<Waiting> {
        let (_, waiting) = self.lanes.get(&lane)?.last_key_value()?;
        self.remove(waiting.ticket)
    }

    /// Takes a call whose time to wait is over.
    pub(crate) fn pop_expired(&mut self, now: Timestamp) -> Option<Waiting> {
        let (until, ticket) = *self.expiry.first()?;
        if now < until {
            return None;
        }
        self.remove(ticket)
    }

    /// Takes the oldest call of a class if it has waited for some time.
    pub(crate) fn pop_older(
        &mut self,
        now: Timestamp,
        lane: Lane,
        age: Duration,
    ) -> Option<Waiting> {
        let oldest = self.oldest_of(lane)?;
        if now.since(oldest) < age {
            return None;
        }
        self.pop_oldest(lane)
    }

    /// The time at which the time to wait of a call is over.
    /// The first call of each kind that waits in a lane.
    pub(crate) fn first_of_each_kind(&self, lane: Lane) -> Vec<Waiting> {
        let mut firsts: Vec<Waiting> = Vec::new();
        for waiting in self.lanes.get(&lane).into_iter().flat_map(BTreeMap::values) {
            if firsts.iter().all(|first| first.kind != waiting.kind) {
                firsts.push(*waiting);
            }
        }
        firsts
    }

    pub(crate) fn next_expiry(&self) -> Option<Timestamp> {
        self.expiry.first().map(|(until, _)| *until)
    }

    /// The arrival of the oldest call of a class.
    pub(crate) fn oldest_of(&self, lane: Lane) -> Option<Timestamp> {
        let oldest = self.lanes.get(&lane)?.values().next();
        oldest.map(|waiting| waiting.since)
    }

    /// The time that the oldest call has waited.
    pub(crate) fn delay(&self, now: Timestamp) -> Duration {
        let oldest = self.lanes().filter_map(|lane| self.oldest_of(lane));
        oldest
            .min()
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Whether calls wait that have an objective of their own.
    pub(crate) fn has_objectives(&self) -> bool {
        self.with_objective > 0
    }

    /// The number of calls that wait in lanes before a lane.
    pub(crate) fn before(&self, lane: Lane) -> usize {
        let lanes = self.lanes.range(..lane);
        lanes.map(|(_, calls)| calls.len()).sum()
    }

    /// The number of calls of a kind that get a slot before one with an objective.
    pub(crate) fn before_in_kind(
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
