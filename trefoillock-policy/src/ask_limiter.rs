//! Limits how many other nodes an entry node asks for the load of their backend servers.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use trefoillock_core::{ServerId, Timestamp};

/// The largest number of asks in any second. It bounds the traffic of an entry with many calls; the bytes
/// of an ask have not been measured.
const MAX_ASKS: usize = 50;
/// The span in which asks are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the asks of one entry node: at most one in flight for each server, and a number in any
/// second for all servers.
#[derive(Debug, Default)]
pub struct AskLimiter {
    /// The times of the asks within the last window, in order.
    sent: VecDeque<Timestamp>,
    in_flight: BTreeSet<ServerId>,
}

impl AskLimiter {
    /// Creates a limiter without asks.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            sent: VecDeque::new(),
            in_flight: BTreeSet::new(),
        }
    }

    /// Whether any server may be asked now.
    pub fn has_room(&mut self, now: Timestamp) -> bool {
        while self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.len() < MAX_ASKS
    }

    /// Counts the start of an ask. Returns whether it may be sent; one that may not is not counted.
    #[must_use]
    pub fn try_start(&mut self, now: Timestamp, server: &ServerId) -> bool {
        let may_start = self.has_room(now) && self.in_flight.insert(server.clone());
        if may_start {
            self.sent.push_back(now);
        }
        may_start
    }

    /// Counts the end of an ask that was started.
    pub fn end(&mut self, server: &ServerId) {
        self.in_flight.remove(server);
    }
}

#[cfg(test)]
mod tests {
    use std::net::{Ipv4Addr, SocketAddr};

    use trefoillock_core::NodeId;

    use super::*;

    const NOW: Timestamp = Timestamp::from_secs(100);

    fn server(port: u16) -> ServerId {
        ServerId {
            node: NodeId::try_from("node-1").expect("a valid name"),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        }
    }

    /// Guards against asks that pile up at a node that does not answer.
    #[test]
    fn a_server_is_asked_again_only_after_the_last_ask_has_ended() {
        let mut limiter = AskLimiter::new();
        assert!(limiter.try_start(NOW, &server(1)));
        assert!(!limiter.try_start(NOW + WINDOW, &server(1)));
        assert!(limiter.try_start(NOW + WINDOW, &server(2)));
        limiter.end(&server(1));
        assert!(limiter.try_start(NOW + WINDOW, &server(1)));
    }

    /// Guards against traffic that grows with the calls of an entry.
    #[test]
    fn no_second_has_more_asks_than_the_limit() {
        let mut limiter = AskLimiter::new();
        let mut started = Vec::new();
        for at in (0..3_000).map(|millis| NOW + Duration::from_millis(millis)) {
            if limiter.try_start(at, &server(1)) {
                limiter.end(&server(1));
                started.push(at);
            }
        }
        let busiest = |from: &Timestamp| {
            let within = started.iter();
            within
                .filter(|at| *at >= from && at.since(*from) < WINDOW)
                .count()
        };
        assert_eq!(started.iter().map(busiest).max(), Some(MAX_ASKS));
        assert_eq!(started.len(), 3 * MAX_ASKS);
    }
}
