//! Controller of all moves: combines the evidence of the nodes, runs the analyses and decides the
//! next steps.

use std::collections::{BTreeMap, BTreeSet};

use trefoillock_core::{
    CrashReport, Evidence, Members, Move, MoveId, MoveStep, PoolName, Tables, Timestamp,
};

use crate::{
    decision::DecisionContext,
    evidence_coverage::EvidenceCoverage,
    move_tracker::MoveTracker,
    pool_analysis::PoolAnalysis,
    schedule::MoveSchedule,
    servers::{PoolCapacity, ServerTracker},
    siblings::{bad_under_load, class_of, others_are_ramping, sibling_state},
    version_analysis::{Verdict, Window},
};

/// Number of crash reports that are kept between two decisions.
const MAX_CRASHES: usize = 1_000;

/// Decides the steps of all moves on the leader.
///
/// It holds soft state only. A new leader starts with an empty controller, continues from the
/// replicated [`Move`]s and collects its own evidence before it raises a share.
#[derive(Debug, Clone, Default)]
pub struct MoveController {
    trackers: BTreeMap<MoveId, MoveTracker>,
    pools: BTreeMap<PoolName, PoolAnalysis>,
    crashes: Vec<CrashReport>,
    servers: ServerTracker,
}

impl MoveController {
    /// Creates a controller without evidence.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds reported evidence. The counts are those since the previous report, so each report
    /// must be passed in at most once.
    pub fn add_evidence(&mut self, now: Timestamp, evidence: &Evidence) {
        for (id, evidence) in &evidence.moves {
            self.trackers
                .entry(*id)
                .or_default()
                .add_evidence(now, evidence);
        }
    }

    /// Adds a crash of a backend server with the request that it was running. Reports of the same
    /// request may arrive more than once.
    pub fn add_crash(&mut self, crash: &CrashReport) {
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.push(crash.clone());
        }
    }

    /// Decides on all moves and returns at most one step for each move that has not ended.
    ///
    /// `moves` holds the moves that have not ended and, if known, those that ended recently.
    pub fn decide<'a>(
        &mut self,
        now: Timestamp,
        moves: impl IntoIterator<Item = &'a Move>,
        tables: &Tables,
        members: &Members,
        coverage: EvidenceCoverage,
    ) -> Vec<MoveStep> {
        let moves: Vec<&Move> = moves.into_iter().collect();
        let active: Vec<&Move> = moves
            .iter()
            .copied()
            .filter(|m| !m.state.is_final())
            .collect();
        self.servers.update(now, members);
        self.update(now, &active, tables, members);
        let verdicts = self.verdicts(&active);
        let mut steps = Vec::new();
        for (route_move, verdict) in active.iter().zip(verdicts) {
            let Some(tracker) = self.trackers.get(&route_move.id) else {
                continue;
            };
            let context = DecisionContext {
                now,
                route_move,
                class: class_of(route_move, tables),
                tracker,
                verdict,
                pool_verdict: self
                    .pools
                    .get(&route_move.to)
                    .map_or(Verdict::Clear, PoolAnalysis::verdict),
                capacity: self.capacity_of(now, route_move, tables, members),
                coverage,
                sibling_state: sibling_state(route_move, &moves, tables),
                bad_under_load: bad_under_load(route_move, &moves),
                busy_slots_of_others: self.busy_slots_of_others(route_move, &active),
                others_are_ramping: others_are_ramping(now, route_move, &active),
            };
            steps.extend(context.next_step());
        }
        steps
    }

    /// Updates trackers and analyses with the evidence received since the last decision.
    fn update(&mut self, now: Timestamp, active: &[&Move], tables: &Tables, members: &Members) {
        let ids: BTreeSet<MoveId> = active.iter().map(|route_move| route_move.id).collect();
        self.trackers.retain(|id, _| ids.contains(id));
        let targets: BTreeSet<&PoolName> = active.iter().map(|route_move| &route_move.to).collect();
        self.pools.retain(|pool, _| targets.contains(pool));
        let mut windows: BTreeMap<&PoolName, Vec<Window>> = BTreeMap::new();
        for route_move in active {
            let is_cold = self.capacity_of(now, route_move, tables, members).is_cold();
            let tracker = self.trackers.entry(route_move.id).or_default();
            tracker.update_share(route_move);
            let closed = tracker.close_windows(now, is_cold);
            windows.entry(&route_move.to).or_default().extend(closed);
        }
        self.count_crashes(active, tables);
        for (pool, windows) in windows {
            let analysis = self.pools.entry(pool.clone()).or_default();
            analysis.add(&windows);
        }
    }

    /// Counts each crash for the pools that its backend server belongs to.
    fn count_crashes(&mut self, active: &[&Move], tables: &Tables) {
        for crash in std::mem::take(&mut self.crashes) {
            for route_move in active {
                let is_member = |name| {
                    let pool = tables.pools().get(name);
                    pool.is_some_and(|pool| self.servers.is_in_pool(&crash.server, pool))
                };
                let (is_old, is_new) = (is_member(&route_move.from), is_member(&route_move.to));
                if is_old || is_new {
                    let analysis = self.pools.entry(route_move.to.clone()).or_default();
                    analysis.record_crash(crash.fingerprint, is_new);
                }
            }
        }
    }

    /// Returns the verdict on each move, from its own evidence and that of all moves to its pool.
    fn verdicts(&mut self, active: &[&Move]) -> Vec<Verdict> {
        let own: Vec<Verdict> = active
            .iter()
            .map(|route_move| match self.trackers.get(&route_move.id) {
                Some(tracker) => tracker.analysis.verdict(),
                None => Verdict::Clear,
            })
            .collect();
        for (route_move, verdict) in active.iter().zip(&own) {
            if matches!(verdict, Verdict::Bad(_))
                && let Some(pool) = self.pools.get_mut(&route_move.to)
            {
                pool.reset_except_crashes();
            }
        }
        let with_pool = |(route_move, verdict): (&&Move, Verdict)| {
            let pool = self.pools.get(&route_move.to);
            let pool = pool.map_or(Verdict::Clear, PoolAnalysis::verdict);
            match (verdict, pool) {
                (Verdict::Bad(reason), _) | (_, Verdict::Bad(reason)) => Verdict::Bad(reason),
                (Verdict::Suspect, _) => Verdict::Suspect,
                (_, Verdict::Suspect | Verdict::Inconclusive) => Verdict::Inconclusive,
                (verdict, _) => verdict,
            }
        };
        active.iter().zip(own).map(with_pool).collect()
    }

    /// Slots of the new pool that other moves keep busy at their current shares.
    fn busy_slots_of_others(&self, route_move: &Move, active: &[&Move]) -> f64 {
        let others = active
            .iter()
            .filter(|other| other.to == route_move.to && other.id != route_move.id);
        let busy = others.filter_map(|other| {
            let tracker = self.trackers.get(&other.id)?;
            Some(tracker.concurrency() * other.share.fraction())
        });
        busy.sum()
    }

    /// Slots of the new pool of a move.
    fn capacity_of(
        &self,
        now: Timestamp,
        route_move: &Move,
        tables: &Tables,
        members: &Members,
    ) -> PoolCapacity {
        let pool = tables.pools().get(&route_move.to);
        pool.map_or_else(PoolCapacity::default, |pool| {
            let is_past_canary = !MoveSchedule::is_canary(route_move.share);
            self.servers
                .pool_capacity(now, members, pool, is_past_canary)
        })
    }
}
