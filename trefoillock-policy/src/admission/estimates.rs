//! What [`Admission`] expects: how long calls run, wait for a slot and wait for their turn.

use std::time::Duration;

use trefoillock_core::Timestamp;

use super::{Admission, MIN_OBJECTIVE_WAIT, MIN_RETRY_DELAY};
use crate::{Demand, Lane};

impl Admission {
    /// A lower bound of the service time. Zero while no call of the kind runs, because otherwise
    /// calls would be refused forever after a slow phase, with no new samples to correct the
    /// estimate.
    pub(super) fn min_service_time(&self, kind: Lane) -> Duration {
        if self.running_of_kind(kind) == 0 {
            return Duration::ZERO;
        }
        self.service_time_of(kind).lower_bound()
    }

    /// Whether a call would probably miss its deadline if it started now. False while no call of
    /// its kind runs.
    pub(super) fn likely_misses_deadline(
        &self,
        now: Timestamp,
        kind: Lane,
        deadline: Timestamp,
    ) -> bool {
        let has_running = self.running_of_kind(kind) > 0;
        has_running && now + self.service_time_of(kind).upper_bound() > deadline
    }

    /// The expected time until a call offered now starts if no calls arrive after it.
    pub(super) fn expected_wait(&self, now: Timestamp, demand: &Demand) -> Duration {
        self.expected_slot_wait(demand)
            .max(self.expected_turn(now, demand))
    }

    /// The time until the turn of a call offered now, if no calls arrive after it.
    pub(super) fn expected_turn(&self, now: Timestamp, demand: &Demand) -> Duration {
        if self.rate.limit().is_none() {
            return Duration::ZERO;
        }
        let (lane, kind) = (demand.lane(), demand.kind());
        let ahead = self
            .queue
            .count_before_by_kind(lane, kind, demand.objective);
        self.rate.wait(now, ahead)
    }

    /// The expected time until a call offered now gets a slot if no calls arrive after it. The
    /// lanes ahead of it are served first, and the kinds within its own lane share the slots.
    pub(super) fn expected_slot_wait(&self, demand: &Demand) -> Duration {
        let (lane, kind) = (demand.lane(), demand.kind());
        let count = |calls: usize| u32::try_from(calls).unwrap_or(u32::MAX);
        let before = self.slot_time.mean() * count(self.queue.count_before(lane));
        let firsts = self.queue.first_of_each_kind(lane);
        let others = firsts.iter().filter(|first| first.kind != kind).count();
        let own = self
            .queue
            .count_before_in_kind(lane, kind, demand.objective);
        let own = self.service_time_of(kind).mean() * count(own + 1) * count(others + 1);
        (before + own) / self.slots.max(1)
    }

    /// The estimated time until the queue has emptied and there is a turn for another call, after
    /// which a refused call should be retried.
    #[must_use]
    pub fn retry_after(&self, now: Timestamp) -> Duration {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let slot = self.slot_time.mean() / self.slots.max(1) * queued.saturating_add(1);
        let turn = self.rate.wait(now, self.queue.len());
        slot.max(turn).max(MIN_RETRY_DELAY)
    }

    /// The longest time that a call may wait and still be answered by its objective.
    pub(super) fn max_wait_for_objective(
        &self,
        now: Timestamp,
        kind: Lane,
        objective: Timestamp,
    ) -> Duration {
        let left = objective.since(now);
        let max_wait = left.saturating_sub(self.service_time_of(kind).typical());
        max_wait.max(MIN_OBJECTIVE_WAIT)
    }

    /// The time that a call may wait and still be answered by its deadline.
    pub(super) fn spare_time(&self, now: Timestamp, demand: &Demand) -> Duration {
        let service_time = self.service_time_of(demand.kind()).typical();
        demand.deadline.since(now).saturating_sub(service_time)
    }
}
