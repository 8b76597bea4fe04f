//! The expected time of a call, as a destination node reports it.

use trefoillock_core::data;

/// The expected time of a call that is offered to a backend server now, from the node on its VM.
#[data(key)]
pub struct TimeHint {
    /// The expected wait for a slot, in microseconds.
    pub wait_us: u32,
    /// The expected service time at the present pace of work, in microseconds.
    pub service_us: u32,
    /// The expected service time at the average pace of work, in microseconds.
    pub usual_us: u32,
}

impl TimeHint {
    /// The expected time from the offer of the call to its answer, in microseconds.
    #[must_use]
    pub const fn expected_us(self) -> u32 {
        self.wait_us.saturating_add(self.service_us)
    }
}
