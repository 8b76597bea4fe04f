//! Decides on the rollouts of all services.

use std::{collections::BTreeMap, sync::Arc};

use trefoillock_core::{
    Evidence, Member, Members, MoveId, Rollout, RolloutAllowance, RolloutLimits, RolloutProgress,
    RolloutStep, ServiceName, Timestamp,
};

use crate::rollout_tracker::{PROGRESS_INTERVAL, RolloutTracker};

/// The reported calls of a rollout, and its limit for as many.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RolloutCalls {
    /// The calls of the service since the order.
    pub service: u64,
    /// Those of them that the new version got.
    pub version: u64,
    /// The calls that the new version may have got by now.
    pub allowed: u64,
}

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
    limits: RolloutLimits,
}

impl RolloutController {
    /// Creates a controller that tracks no rollout.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the limits within which the new version of a rollout must stay until it completes.
    #[must_use]
    pub const fn with_limits(mut self, limits: RolloutLimits) -> Self {
        self.limits = limits;
        self
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
            tracker.observe_allowance(now, &rollout.allowance);
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
                let has_servers = members.map(|members| servers(members, rollout).next().is_some());
                tracker.step(now, rollout, has_servers, has_converged)
            })
            .collect()
    }

    /// Returns the allowances that must be extended now, before the steps that are due. An extension takes effect
    /// once it is replicated; until then the next one is planned from the same state.
    #[must_use]
    pub fn due_allowances(
        &self,
        now: Timestamp,
        rollouts: &BTreeMap<ServiceName, Rollout>,
        members: &Members,
    ) -> Vec<(MoveId, RolloutAllowance)> {
        let running = rollouts.values().filter(|r| !r.state.is_final());
        running
            .filter_map(|rollout| {
                let tracker = self.trackers.get(&rollout.id)?;
                let servers: Vec<_> = servers(members, rollout)
                    .map(|member| (member.id.clone(), member.node_incarnation))
                    .collect();
                let allowance = tracker.allowance(now, rollout, &servers, &self.limits)?;
                Some((rollout.id, allowance))
            })
            .collect()
    }

    /// The calls of a rollout that this replica knows of; `None` if it does not track the rollout.
    #[must_use]
    pub fn calls(&self, id: MoveId) -> Option<RolloutCalls> {
        let tracker = self.trackers.get(&id)?;
        Some(RolloutCalls {
            service: tracker.calls(),
            version: tracker.new_calls(),
            allowed: self.limits.allowed_calls(tracker.calls()),
        })
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

/// The backend servers of the new version that are up.
fn servers<'a>(
    members: &'a Members,
    rollout: &'a Rollout,
) -> impl Iterator<Item = &'a Arc<Member>> {
    members.servers.values().filter(|member| {
        let announced = &member.announcement;
        member.is_up()
            && announced.service == rollout.service
            && announced.version == rollout.version
    })
}
