//! The load reported by a destination node, and the result of a call as seen by the entry node.

use std::time::Duration;

use trefoillock_core::{CallRate, data};

use crate::{Lane, TimeHint};

/// The load of a backend server as reported by the node on its VM, sent with every answer.
///
/// The hint may be outdated or wrong, so the balancer limits its effect.
#[data(key)]
pub struct LoadHint {
    /// The number of calls that are running.
    pub running: u32,
    /// The number of calls that wait for a slot.
    pub queued: u32,
    /// The number of calls that can run at once.
    pub slots: u32,
    /// The time that the call at the head of the queue has waited, in microseconds.
    pub queue_delay_us: u32,
    /// The limit on the rate of calls; `None` if there is none.
    pub limit: Option<LimitHint>,
    /// The expected time of a call; `None` if the backend server doesn't state how long work takes.
    pub time: Option<TimeHint>,
}

/// The limit on the rate of calls to a backend server, and when there is room for another call.
#[data(key)]
pub struct LimitHint {
    /// The rate of calls that the backend server takes from all nodes together.
    pub rate: CallRate,
    /// The time until a call that arrives now would start, in microseconds.
    pub wait_us: u32,
}

impl LoadHint {
    /// The ratio of running and waiting calls to slots, capped at `limit`.
    #[must_use]
    pub fn utilization(&self, limit: f64) -> f64 {
        let calls = f64::from(self.running) + f64::from(self.queued);
        (calls / f64::from(self.slots.max(1))).min(limit)
    }
}

/// The result of a call as seen by the entry node.
#[data(key)]
pub enum CallResult {
    /// The backend server answered. The duration is the time until the head of the answer arrived.
    Answered(Duration),
    /// The call failed with a server error, a broken connection or a timeout.
    Failed,
    /// The destination node refused the call for lack of capacity.
    Overloaded,
    /// The destination node refused the call because of the limit on the rate of calls.
    RateLimited {
        /// The lane of the call.
        lane: Lane,
        /// The time until there is room for a call.
        wait: Duration,
    },
    /// The caller cancelled the call, or another copy of a hedged call was answered first. The
    /// result says nothing about the server.
    Cancelled,
}
