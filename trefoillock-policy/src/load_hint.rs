//! What a destination node says of its load, and what an entry node saw of a call.

use std::time::Duration;

use trefoillock_core::data;

/// The load of a backend server as the node beside it states it; sent with every answer.
///
/// It is a hint: it may be late or wrong.
#[data(key)]
pub struct LoadHint {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Calls that can run at once.
    pub slots: u32,
    /// The time that the call at the head of the queue has waited, in microseconds.
    pub queue_delay_us: u32,
}

impl LoadHint {
    /// Running and waiting calls as a multiple of the slots, between 0 and `limit`.
    #[must_use]
    pub fn utilization(&self, limit: f64) -> f64 {
        let calls = f64::from(self.running) + f64::from(self.queued);
        (calls / f64::from(self.slots.max(1))).min(limit)
    }
}

/// How a call ended, as the entry node saw it.
#[data(key)]
pub enum CallResult {
    /// The backend server answered; the time from start to the head of the answer.
    Answered(Duration),
    /// The call failed: a server error, a broken connection or a timeout.
    Failed,
    /// The destination refused the call for lack of capacity.
    Overloaded,
    /// The call was given up by the caller or lost a hedge; it says nothing of the server.
    Cancelled,
}
