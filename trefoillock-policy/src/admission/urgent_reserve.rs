//! Slots that long calls leave free for urgent ones.
//!
//! Answers a surge of long, patient calls beside short, urgent ones: once the long calls occupy all
//! slots, they come free one by one, more slowly than urgent calls arrive. How many slots are kept
//! follows from the observed rate and service times of the higher ranks.

use trefoillock_core::Timestamp;

use super::Admission;
use crate::kind::Kind;

/// A kind is long if it takes at least this many times as long as the urgent one.
const LONG_FACTOR: u32 = 2;
/// The smallest share of the slots that a rank is expected to get.
const MIN_SHARE: f64 = 0.1;

impl Admission {
    /// Whether a slot remains for the urgent calls that are due if a call of `kind` starts. A single
    /// call of a lower rank may always run, so that none starves.
    pub(super) fn leaves_urgent_slots(&self, now: Timestamp, kind: Kind) -> bool {
        let (needed, urgent_running) = self.urgent_slots(now, kind);
        if needed <= 0.0 {
            return true;
        }
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let others = f64::from(running.saturating_sub(urgent_running));
        others < (f64::from(self.slots) - needed).max(1.0)
    }

    /// The number of slots that the urgent calls due before calls of `kind` need on average, and the
    /// number that they occupy.
    fn urgent_slots(&self, now: Timestamp, kind: Kind) -> (f64, u32) {
        let service_time = self.service_time_of(kind).mean();
        let urgent = self.kinds.iter().filter(|(other, state)| {
            other.lane().rank() < kind.lane().rank()
                && state.service_time.mean() * LONG_FACTOR <= service_time
        });
        urgent.fold((0.0, 0), |(needed, running), (_, state)| {
            (needed + state.load(now), running + state.running)
        })
    }

    /// The number of slots expected to serve a rank beside the higher ones.
    pub(super) fn slots_for(&self, now: Timestamp, rank: u8) -> f64 {
        let higher = self.kinds.iter();
        let higher = higher.filter(|(kind, _)| kind.lane().rank() < rank);
        let needed: f64 = higher.map(|(_, state)| state.load(now)).sum();
        let slots = f64::from(self.slots.max(1));
        (slots - needed).max(slots * MIN_SHARE)
    }
}
