//! Rate limit for children that attach, which tells each rejected child when to retry.

use std::time::Duration;

use trefoillock_core::{Map, NodeId, Timestamp};

/// The largest number of nodes for which an admission time is reserved.
const MAX_RESERVATIONS: usize = 8_192;
/// The number of children that are admitted at once after an idle period.
const BURST: u32 = 16;
/// How long a reservation is kept after its admission time if the node does not return.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(10);

/// Admits children at a bounded rate, in the order of their first requests.
///
/// A rejected child gets a reserved admission time. It is admitted at that time even if other
/// children asked in between, so that no child starves.
#[derive(Debug)]
pub struct AttachLimiter {
    interval: Duration,
    next_admission: Timestamp,
    reservations: Map<NodeId, Timestamp>,
}

impl AttachLimiter {
    /// Creates a limiter that admits `per_second` children per second.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            interval: Duration::from_secs(1) / per_second.max(1),
            next_admission: Timestamp::EPOCH,
            reservations: Map::default(),
        }
    }

    /// Admits a child, or reserves an admission time for it.
    ///
    /// # Errors
    ///
    /// Returns the time until the child's reserved admission time if that is in the future.
    pub fn admit(&mut self, now: Timestamp, node: &NodeId) -> Result<(), Duration> {
        if let Some(admit_at) = self.reservations.get(node).copied() {
            if admit_at > now {
                return Err(admit_at.since(now));
            }
            self.reservations.remove(node);
            return Ok(());
        }
        let burst = self.interval * BURST;
        self.next_admission = self.next_admission.max(now - burst) + self.interval;
        if self.next_admission <= now {
            return Ok(());
        }
        self.remove_expired(now);
        if self.reservations.len() < MAX_RESERVATIONS {
            self.reservations.insert(node.clone(), self.next_admission);
        }
        Err(self.next_admission.since(now))
    }

    fn remove_expired(&mut self, now: Timestamp) {
        if self.reservations.len() >= MAX_RESERVATIONS {
            self.reservations
                .retain(|_, admit_at| *admit_at + RESERVATION_LIFETIME > now);
        }
    }
}
