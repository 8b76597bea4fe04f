//! What [`super::Admission`] knows of one kind of calls.

use trefoillock_core::Timestamp;

use super::arrival_rate::ArrivalRate;
use crate::service_time::ServiceTime;

/// The running calls, service times and arrivals of one kind of calls.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct KindState {
    pub(super) running: u32,
    pub(super) service_time: ServiceTime,
    /// The offered calls that have an objective.
    pub(super) arrivals: ArrivalRate,
}

impl KindState {
    /// The number of slots that the calls offered within about the last two seconds need on
    /// average.
    pub(super) fn load(&self, now: Timestamp) -> f64 {
        self.arrivals.short(now) * self.service_time.mean().as_secs_f64()
    }

    /// The number of slots that the calls offered within about the last ten seconds need on
    /// average.
    pub(super) fn long_load(&self, now: Timestamp) -> f64 {
        self.arrivals.long(now) * self.service_time.mean().as_secs_f64()
    }
}
