//! Which calls wait although they will miss their objective.
//!
//! Answers waves whose crest exceeds the capacity: what cannot be answered in time waits behind
//! what can, and is served when the wave falls. A late call that waits is started before its
//! deadline, if need be ahead of calls in time, so that it has not waited in vain. Therefore only
//! as many wait as a small share of the slots can serve, and fewer under an overload that lasts.
//! All others are refused at once.

use std::time::Duration;

use trefoillock_core::Timestamp;

use super::{Admission, MIN_RETRY_DELAY};
use crate::{
    Demand, Lane,
    kind::Kind,
    wait_queue::{KindQueue, Tier, WaitingCall},
};

/// The share of the slots that late calls may count on. A larger share loses fewer calls at the
/// crest of a wave, but makes more calls late (docs/design/admission.md).
const LATE_SHARE: f64 = 0.12;
/// The load over about ten seconds, as a multiple of the slots, from which an overload counts as
/// lasting, so that late calls only take time from others. Calls that return count as load: the
/// crest of a wave of 1.3 times the capacity stays below it.
const LASTING_LOAD: f64 = 1.4;
/// The load below [`LASTING_LOAD`] over which the share of late calls falls.
const LASTING_LOAD_RANGE: f64 = 0.3;
/// The part of [`LATE_SHARE`] that remains under a lasting overload.
const MIN_LATE_PART: f64 = 0.05;
/// The smallest share of the slots that is assumed to serve the backlog, however many calls arrive.
/// A load that exceeds the capacity would otherwise never let it end.
const MIN_DRAIN: f64 = 0.25;
/// The share of the longest wait that the expected wait for a slot may take. The expectation is a
/// mean, and calls that wait longer miss their objective. The wait for a turn is not an estimate.
const EXPECTED_WAIT_SHARE: f64 = 0.6;

impl Admission {
    /// The estimated time until the backlog has been served, calls included that arrive meanwhile at
    /// the recent rate, and there is a turn for another call; after it, a refused call should be
    /// retried.
    #[must_use]
    pub fn retry_after(&self, now: Timestamp) -> Duration {
        let lanes = self.queue.lanes();
        let waiting = lanes.flat_map(|lane| self.queue.kinds(lane));
        let work: Duration = waiting
            .map(|(kind, calls)| {
                let count = u32::try_from(calls.len()).unwrap_or(u32::MAX);
                self.service_time_of(kind).mean() * count
            })
            .sum();
        let slots = f64::from(self.slots.max(1));
        let load: f64 = self.kinds.values().map(|state| state.load(now)).sum();
        let draining = (slots - load).max(slots * MIN_DRAIN);
        let slot = (work + self.slot_time.mean()).div_f64(draining);
        let turn = self.rate.wait(now, self.queue.len());
        slot.max(turn).max(MIN_RETRY_DELAY)
    }

    /// Whether a call that is offered now would probably be answered by its objective.
    pub(super) fn meets_objective(
        &self,
        now: Timestamp,
        demand: &Demand,
        max_wait: Duration,
    ) -> bool {
        let Some(objective) = demand.objective else {
            return true;
        };
        let service_time = self.service_time_of(Kind::from(demand)).typical();
        let latest = objective.min(demand.deadline);
        now + service_time <= latest
            && self.expected_slot_wait(now, demand) <= max_wait.mul_f64(EXPECTED_WAIT_SHARE)
            && self.expected_turn(now, demand) <= max_wait
    }

    /// Whether a call that would miss its objective may wait until its latest start, behind the
    /// late calls that already wait.
    pub(super) fn meets_deadline(
        &self,
        now: Timestamp,
        lane: Lane,
        kind: Kind,
        deadline: Timestamp,
    ) -> bool {
        if self.rate.limit().is_some() {
            return false;
        }
        let wait = self.latest_start(kind, deadline).since(now);
        let slots = self.slots_for(now, lane.rank());
        let of_rank = self.kinds.iter();
        let of_rank = of_rank.filter(|(other, _)| other.lane().rank() == lane.rank());
        let load: f64 = of_rank.map(|(_, state)| state.long_load(now)).sum();
        let part = ((LASTING_LOAD - load / slots) / LASTING_LOAD_RANGE).clamp(MIN_LATE_PART, 1.0);
        let own = self.service_time_of(kind).mean().as_secs_f64();
        self.late_work(lane) + own <= LATE_SHARE * part * slots * wait.as_secs_f64()
    }

    /// Keeps a call that has missed its objective while it waited, if it may wait for its deadline
    /// or if its latest start has come, so that it gets the next slot. Returns whether it was kept.
    pub(super) fn keep_late(&mut self, now: Timestamp, lane: Lane, waiting: WaitingCall) -> bool {
        let (kind, deadline) = (waiting.kind, waiting.deadline);
        let latest_start = self.latest_start(kind, deadline);
        let expires_at = self.last_useful_start(kind, deadline);
        let can_wait = waiting.objective.is_some()
            && waiting.tier == Tier::Timely
            && now < expires_at
            && self.rate.limit().is_none();
        if !can_wait || (now < latest_start && !self.meets_deadline(now, lane, kind, deadline)) {
            return false;
        }
        let kept = WaitingCall {
            tier: Tier::Late,
            expires_at,
            latest_start,
            ..waiting
        };
        self.queue.push(lane, kept);
        true
    }

    /// The work of the late calls that wait in a lane and those before it, in slot seconds.
    fn late_work(&self, lane: Lane) -> f64 {
        let work = |(kind, calls): (Kind, &KindQueue)| {
            let count = u32::try_from(calls.count(Tier::Late)).unwrap_or(u32::MAX);
            f64::from(count) * self.service_time_of(kind).mean().as_secs_f64()
        };
        let before: f64 = self.queue.kinds_before(lane).map(work).sum();
        let own: f64 = self.queue.kinds(lane).map(work).sum();
        before + own
    }
}
