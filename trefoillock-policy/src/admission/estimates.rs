//! What [`Admission`] expects: how long calls run, wait for a slot and wait for their turn.

use std::time::Duration;

use trefoillock_core::Timestamp;

use super::{Admission, MIN_OBJECTIVE_WAIT};
use crate::{
    Demand,
    kind::Kind,
    wait_queue::{KindQueue, Tier},
};

impl Admission {
    /// A lower bound of the service time. Zero while no call of the kind runs, because otherwise
    /// calls would be refused forever after a slow phase, with no new samples to correct the
    /// estimate.
    pub(super) fn min_service_time(&self, kind: Kind) -> Duration {
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
        kind: Kind,
        deadline: Timestamp,
    ) -> bool {
        let has_running = self.running_of_kind(kind) > 0;
        has_running && now + self.service_time_of(kind).upper_bound() > deadline
    }

    /// The time until the turn of a call offered now, if no calls arrive after it.
    pub(super) fn expected_turn(&self, now: Timestamp, demand: &Demand) -> Duration {
        if self.rate.limit().is_none() {
            return Duration::ZERO;
        }
        let (lane, kind) = (demand.lane(), Kind::from(demand));
        let ahead = self
            .queue
            .count_before_by_kind(lane, kind, demand.objective);
        self.rate.wait(now, ahead)
    }

    /// The expected time until a call offered now gets a slot if no calls of its rank arrive after
    /// it. The calls of the lanes ahead of it are served first, those that still arrive included,
    /// and the kinds within its own lane share the slots. Late calls wait behind it.
    pub(super) fn expected_slot_wait(&self, now: Timestamp, demand: &Demand) -> Duration {
        let (lane, kind) = (demand.lane(), Kind::from(demand));
        let count = |calls: usize| u32::try_from(calls).unwrap_or(u32::MAX);
        let timely = |(kind, calls): (Kind, &KindQueue)| {
            self.service_time_of(kind).mean() * count(calls.count(Tier::Timely))
        };
        let before: Duration = self.queue.kinds_before(lane).map(timely).sum();
        let others: Duration = self
            .queue
            .kinds(lane)
            .filter(|(other, _)| *other != kind)
            .map(timely)
            .sum();
        let own = self
            .queue
            .count_before_in_kind(lane, kind, demand.objective);
        let own = self.service_time_of(kind).mean() * count(own + 1);
        // Each of the other kinds gets as many slots as this one, or fewer if it needs fewer.
        let kinds = self.queue.kinds(lane).filter(|(other, _)| *other != kind);
        let others = others.min(own * count(kinds.count()));
        // Late calls whose latest start has come go first; more than the slots are not looked at.
        let due = self.queue.due_late(now).take(self.slots as usize);
        let due: Duration = due.map(|(kind, _)| self.service_time_of(kind).mean()).sum();
        (due + before + own + others).div_f64(self.slots_for(now, lane.rank()))
    }

    /// The longest time that a call may wait and still be answered by its objective, or by its
    /// deadline if that is earlier.
    pub(super) fn max_wait_for_objective(
        &self,
        now: Timestamp,
        kind: Kind,
        objective: Timestamp,
        deadline: Timestamp,
    ) -> Duration {
        let left = objective.min(deadline).since(now);
        let max_wait = left.saturating_sub(self.service_time_of(kind).typical());
        max_wait.max(MIN_OBJECTIVE_WAIT)
    }

    /// The time that a call may wait and still be answered by its deadline.
    pub(super) fn spare_time(&self, now: Timestamp, kind: Kind, deadline: Timestamp) -> Duration {
        let service_time = self.service_time_of(kind).typical();
        deadline.since(now).saturating_sub(service_time)
    }

    /// The time by which a call must start so that it is nearly certain to be answered by its
    /// deadline.
    pub(super) fn latest_start(&self, kind: Kind, deadline: Timestamp) -> Timestamp {
        deadline - self.service_time_of(kind).upper_bound()
    }

    /// The time after which a call that starts is unlikely to be answered by its deadline.
    pub(super) fn last_useful_start(&self, kind: Kind, deadline: Timestamp) -> Timestamp {
        deadline - self.service_time_of(kind).lower_bound()
    }
}
