//! The calls that wait for a slot of one backend server.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use trefoillock_core::{Map, RouteClass, Timestamp};

use crate::Ticket;

/// A call that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) since: Timestamp,
    pub(crate) deadline: Timestamp,
    /// The time at which the call is refused if it still waits.
    pub(crate) until: Timestamp,
}

/// Waiting calls by class, in the order of their arrival.
///
/// Every operation takes time that grows with the logarithm of the number of calls.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    next: u64,
    classes: [BTreeMap<u64, Waiting>; 4],
    places: Map<Ticket, (RouteClass, u64)>,
    expiry: BTreeSet<(Timestamp, Ticket)>,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(crate) fn has(&self, class: RouteClass) -> bool {
        !self.classes[index(class)].is_empty()
    }

    pub(crate) fn push(&mut self, class: RouteClass, waiting: Waiting) {
        let place = self.next;
        self.next += 1;
        self.classes[index(class)].insert(place, waiting);
        self.places.insert(waiting.ticket, (class, place));
        self.expiry.insert((waiting.until, waiting.ticket));
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let (class, place) = self.places.remove(&ticket)?;
        let waiting = self.classes[index(class)].remove(&place)?;
        self.expiry.remove(&(waiting.until, ticket));
        Some(waiting)
    }

    pub(crate) fn pop_oldest(&mut self, class: RouteClass) -> Option<Waiting> {
        let (_, waiting) = self.classes[index(class)].first_key_value()?;
        self.remove(waiting.ticket)
    }

    pub(crate) fn pop_newest(&mut self, class: RouteClass) -> Option<Waiting> {
        let (_, waiting) = self.classes[index(class)].last_key_value()?;
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
        class: RouteClass,
        age: Duration,
    ) -> Option<Waiting> {
        let oldest = self.oldest_of(class)?;
        if now.since(oldest) < age {
            return None;
        }
        self.pop_oldest(class)
    }

    /// The time at which the time to wait of a call is over.
    pub(crate) fn next_expiry(&self) -> Option<Timestamp> {
        self.expiry.first().map(|(until, _)| *until)
    }

    /// The arrival of the oldest call of a class.
    pub(crate) fn oldest_of(&self, class: RouteClass) -> Option<Timestamp> {
        let oldest = self.classes[index(class)].values().next();
        oldest.map(|waiting| waiting.since)
    }

    /// The time that the oldest call has waited.
    pub(crate) fn delay(&self, now: Timestamp) -> Duration {
        let oldest = RouteClass::ALL
            .into_iter()
            .filter_map(|c| self.oldest_of(c));
        oldest
            .min()
            .map_or(Duration::ZERO, |since| now.since(since))
    }
}

/// The place of a class in arrays by class.
pub(crate) const fn index(class: RouteClass) -> usize {
    match class {
        RouteClass::Lookup => 0,
        RouteClass::Posting => 1,
        RouteClass::Export => 2,
        RouteClass::Background => 3,
    }
}
