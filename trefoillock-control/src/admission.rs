//! Admission of children that attach, with a told retry time.

use std::time::Duration;

use trefoillock_core::{Map, NodeId, Timestamp};

/// The largest number of nodes that are remembered while they wait.
const MAX_WAITING: usize = 8_192;
/// The number of children that are admitted at once after a quiet time.
const BURST: u32 = 16;
/// The time after its turn at which a node that did not come back is forgotten.
const TICKET_LIFETIME: Duration = Duration::from_secs(10);

/// Admits children at a bounded rate, in the order in which they first asked.
///
/// A child that is refused is told when to come back, and is admitted then even if others
/// asked in between, so none is starved.
#[derive(Debug)]
pub struct Admission {
    interval: Duration,
    next_turn: Timestamp,
    waiting: Map<NodeId, Timestamp>,
}

impl Admission {
    /// Creates an admission of `per_second` children a second.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            interval: Duration::from_secs(1) / per_second.max(1),
            next_turn: Timestamp::EPOCH,
            waiting: Map::default(),
        }
    }

    /// Admits a child, or returns the time after which it may ask again.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if it is not the child's turn yet.
    pub fn admit(&mut self, now: Timestamp, node: &NodeId) -> Result<(), Duration> {
        if let Some(turn) = self.waiting.get(node).copied() {
            if turn > now {
                return Err(turn.since(now));
            }
            self.waiting.remove(node);
            return Ok(());
        }
        let burst = self.interval * BURST;
        self.next_turn = self.next_turn.max(now - burst) + self.interval;
        if self.next_turn <= now {
            return Ok(());
        }
        self.forget_absent(now);
        if self.waiting.len() < MAX_WAITING {
            self.waiting.insert(node.clone(), self.next_turn);
        }
        Err(self.next_turn.since(now))
    }

    fn forget_absent(&mut self, now: Timestamp) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.retain(|_, turn| *turn + TICKET_LIFETIME > now);
        }
    }
}
