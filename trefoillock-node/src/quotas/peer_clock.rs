//! What a node knows of the clock of another node.

use trefoillock_core::Timestamp;

/// The part of the time on this node's clock by which another node's clock advances at least, in
/// thousandths.
const SLOWEST_CLOCK: u32 = 999;

/// A lower bound of another node's clock, from a time that it stated in a response.
///
/// A token's expiry is stated to the node on that node's own clock. A remaining time would begin
/// to count when the message is read, which may be late: after a cut of the network, or after the
/// VM was suspended with the message in its socket.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerClock {
    stated: Timestamp,
    received: Timestamp,
}

impl PeerClock {
    /// A clock that stated a time in a response that was received at `received`.
    pub(crate) const fn new(stated: Timestamp, received: Timestamp) -> Self {
        Self { stated, received }
    }

    /// A time that the other clock does not show before this node's clock shows `time`.
    pub(crate) fn earliest(&self, time: Timestamp) -> Timestamp {
        self.stated + time.since(self.received) * SLOWEST_CLOCK / 1_000
    }

    /// The tighter one of two bounds.
    #[must_use]
    pub(crate) fn tighter(self, other: Option<Self>) -> Self {
        let earlier = other.filter(|other| other.earliest(self.received) > self.stated);
        earlier.unwrap_or(self)
    }
}

#[cfg(test)]
mod tests;
