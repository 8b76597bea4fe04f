//! Decides on the rollouts of all services.

use std::collections::BTreeMap;

use trefoillock_core::{
    Evidence, Members, MoveId, Rollout, RolloutProgress, RolloutStep, ServiceName, Timestamp,
};

use crate::rollout_tracker::{PROGRESS_INTERVAL, RolloutTracker};

/// Decides the steps of rollouts.
///
/// Times are measured from when this replica first saw a rollout, so the clock of the replica
/// that accepted the order does not matter. [`RolloutController::track`] must therefore be
/// called on every replica, leader or not.
///
/// The leader records the progress of each rollout in the replicated state. A replica that starts,
/// or that begins to lead, goes on from the last record.
#[derive(Debug, Clone, Default)]
pub struct RolloutController {
    trackers: BTreeMap<MoveId, RolloutTracker>,
}

impl RolloutController {
    /// Creates a controller that tracks no rollout.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts tracking rollouts that are new and stops tracking those that have ended.
    pub fn track(&mut self, now: Timestamp, rollouts: &BTreeMap<ServiceName, Rollout>) {
        let running = |id: &MoveId| {
            rollouts
                .values()
                .any(|r| r.id == *id && !r.state.is_final())
        };
        self.trackers.retain(|id, _| running(id));
        for rollout in rollouts.values().filter(|r| !r.state.is_final()) {
            let tracker = self.trackers.entry(rollout.id);
            let tracker = tracker.or_insert_with(|| RolloutTracker::new(now));
            tracker.adopt(now, &rollout.progress);
        }
    }

    /// Adds evidence reported by nodes.
    pub fn add_evidence(&mut self, now: Timestamp, evidence: &Evidence) {
        for (id, counts) in &evidence.moves {
            if let Some(tracker) = self.trackers.get_mut(id) {
                tracker.add_evidence(now, counts);
            }
        }
    }

    /// Returns the steps that are due. `members` is `None` while this replica does not know enough of
    /// the fleet. `has_converged` tells whether all nodes have applied the last step.
    #[must_use]
    pub fn decide(
        &self,
        now: Timestamp,
        rollouts: &BTreeMap<ServiceName, Rollout>,
        members: Option<&Members>,
        has_converged: bool,
    ) -> Vec<RolloutStep> {
        let running = rollouts.values().filter(|r| !r.state.is_final());
        running
            .filter_map(|rollout| {
                let tracker = self.trackers.get(&rollout.id)?;
                let has_servers = members.map(|members| has_servers(members, rollout));
                tracker.step(now, rollout, has_servers, has_converged)
            })
            .collect()
    }

    /// Returns the progress of the rollouts whose last record is old enough for another one.
    #[must_use]
    pub fn due_progress(
        &self,
        now: Timestamp,
        rollouts: &BTreeMap<ServiceName, Rollout>,
    ) -> Vec<(MoveId, RolloutProgress)> {
        let running = rollouts.values().filter(|r| !r.state.is_final());
        running
            .filter_map(|rollout| {
                let progress = self.trackers.get(&rollout.id)?.progress(now);
                let is_due = progress.elapsed >= rollout.progress.elapsed + PROGRESS_INTERVAL;
                is_due.then_some((rollout.id, progress))
            })
            .collect()
    }
}

fn has_servers(members: &Members, rollout: &Rollout) -> bool {
    members.servers.values().any(|member| {
        let announced = &member.announcement;
        member.is_up()
            && announced.service == rollout.service
            && announced.version == rollout.version
    })
}
