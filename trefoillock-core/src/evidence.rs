//! Counts of call outcomes, which moves and rollouts use to compare two versions.
//!
//! Nodes collect the counts, and the counts of several nodes are merged.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_macros::data;

use crate::{LatencySketch, MoveId, RouteName};

/// The outcomes and latencies of the calls that one pool got.
#[data]
#[derive(Default)]
pub struct PoolEvidence {
    /// Calls that ended, except those refused before running.
    pub calls: u64,
    /// Calls that failed: a server error, a broken connection or a timeout.
    pub failures: u64,
    /// Responses that were aborted in the middle of the body; they count as failures too.
    pub aborted: u64,
    /// Connections lost because the process of the backend server crashed.
    pub crashes: u64,
    /// Calls that were refused before running. They indicate load rather than a fault of the
    /// version, so they do not count as calls or failures.
    pub refused: u64,
    /// Latencies of the calls that were answered in full.
    pub latency: LatencySketch,
}

impl PoolEvidence {
    /// Adds the counts and latencies of other calls.
    pub fn merge(&mut self, other: &Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.failures = self.failures.saturating_add(other.failures);
        self.aborted = self.aborted.saturating_add(other.aborted);
        self.crashes = self.crashes.saturating_add(other.crashes);
        self.refused = self.refused.saturating_add(other.refused);
        self.latency.merge(&other.latency);
    }

    /// Counts a call that was answered in full.
    pub fn record_answer(&mut self, latency: Duration) {
        self.calls += 1;
        self.latency.record(latency);
    }

    /// Counts a call that failed.
    pub const fn record_failure(&mut self) {
        self.calls += 1;
        self.failures += 1;
    }

    /// Whether there are no calls, refusals or crashes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.calls == 0 && self.refused == 0 && self.crashes == 0
    }
}

/// The evidence on both pools of a move, over the same time and the same routes.
#[data]
#[derive(Default)]
pub struct MoveEvidence {
    /// The step of the move during which the calls were assigned to a pool.
    pub step: u32,
    /// The evidence on the old pool.
    pub old: PoolEvidence,
    /// The evidence on the new pool.
    pub new: PoolEvidence,
    /// The number of nodes that cut the share of the new pool to zero on their own evidence.
    pub local_cuts: u32,
}

impl MoveEvidence {
    /// Adds the evidence of other calls of the same move.
    ///
    /// Evidence of an older step is ignored; evidence of a newer step replaces the current
    /// evidence.
    pub fn merge(&mut self, other: &Self) {
        if other.step < self.step {
            return;
        }
        if other.step > self.step {
            *self = Self {
                step: other.step,
                ..Self::default()
            };
        }
        self.old.merge(&other.old);
        self.new.merge(&other.new);
        self.local_cuts = self.local_cuts.saturating_add(other.local_cuts);
    }
}

/// Counts of calls that met or missed the service-level objective of their route.
#[data(key)]
#[derive(Default)]
pub struct ServiceLevelCounts {
    /// Calls that met the objective.
    pub good: u64,
    /// Calls that missed the objective.
    pub bad: u64,
}

impl ServiceLevelCounts {
    /// Adds the counts of other calls.
    pub const fn merge(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

/// The evidence of one or more nodes on moves and rollouts, with the counts for the burn report.
#[data]
#[derive(Default)]
pub struct Evidence {
    /// The evidence by move or rollout; only those that got calls.
    pub moves: BTreeMap<MoveId, MoveEvidence>,
    /// Counts of good and bad calls by route.
    #[serde(default)]
    pub service_levels: BTreeMap<RouteName, ServiceLevelCounts>,
}

impl Evidence {
    /// Adds the evidence and the counts of other calls.
    pub fn merge(&mut self, other: &Self) {
        for (id, evidence) in &other.moves {
            self.moves.entry(*id).or_default().merge(evidence);
        }
        for (route, counts) in &other.service_levels {
            self.service_levels
                .entry(route.clone())
                .or_default()
                .merge(*counts);
        }
    }

    /// Whether there is neither evidence on a move or rollout nor a count of a route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.moves.is_empty() && self.service_levels.is_empty()
    }
}
