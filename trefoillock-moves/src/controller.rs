//! The controller of all moves.

use std::collections::{BTreeMap, BTreeSet};

use trefoillock_core::{
    CrashReport, Evidence, Members, Move, MoveId, MoveStep, PoolName, Tables, Timestamp,
};

use crate::{
    judge::{Verdict, Window},
    node_report::NodeReport,
    plan::Plan,
    pool_judge::PoolJudge,
    scene::Scene,
    servers::{PoolServers, ServerWatch},
    siblings::{bad_under_load, class_of, others_are_rising, siblings},
    track::Track,
};

/// Crash reports that are kept between two decisions.
const MAX_CRASHES: usize = 1_000;

/// The decisions of the leader on all moves.
///
/// It holds soft state only. A new leader starts with an empty controller, goes on from the
/// replicated [`Move`]s and gathers evidence of its own before it raises a share.
#[derive(Debug, Clone, Default)]
pub struct MoveController {
    tracks: BTreeMap<MoveId, Track>,
    pools: BTreeMap<PoolName, PoolJudge>,
    crashes: Vec<CrashReport>,
    servers: ServerWatch,
}

impl MoveController {
    /// Creates a controller without evidence.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in evidence that arrived. Counts are those of the calls since the report before,
    /// and each report is taken in at most once.
    pub fn observe(&mut self, now: Timestamp, evidence: &Evidence) {
        for (id, evidence) in &evidence.moves {
            self.tracks.entry(*id).or_default().observe(now, evidence);
        }
    }

    /// Takes in a crash of a backend server with the request that it was running. Reports of the
    /// same request may come more than once.
    pub fn observe_crash(&mut self, crash: &CrashReport) {
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.push(crash.clone());
        }
    }

    /// Decides on all moves: at most one step for each move that has not ended.
    ///
    /// `moves` holds the moves that have not ended and, if known, those that ended of late.
    pub fn decide<'a>(
        &mut self,
        now: Timestamp,
        moves: impl IntoIterator<Item = &'a Move>,
        tables: &Tables,
        members: &Members,
        report: NodeReport,
    ) -> Vec<MoveStep> {
        let moves: Vec<&Move> = moves.into_iter().collect();
        let active: Vec<&Move> = moves
            .iter()
            .copied()
            .filter(|m| !m.state.is_final())
            .collect();
        self.servers.sync(now, members);
        self.take_in(now, &active, tables, members);
        let verdicts = self.verdicts(&active);
        let mut steps = Vec::new();
        for (action, verdict) in active.iter().zip(verdicts) {
            let Some(track) = self.tracks.get(&action.id) else {
                continue;
            };
            let scene = Scene {
                now,
                action,
                class: class_of(action, tables),
                track,
                verdict,
                pool_verdict: self
                    .pools
                    .get(&action.to)
                    .map_or(Verdict::Clear, PoolJudge::verdict),
                servers: self.servers_of(now, action, tables, members),
                report,
                siblings: siblings(action, &moves, tables),
                bad_under_load: bad_under_load(action, &moves),
                busy_of_others: self.busy_of_others(action, &active),
                others_are_rising: others_are_rising(now, action, &active),
            };
            steps.extend(scene.step());
        }
        steps
    }

    /// Brings tracks and judges up to date.
    fn take_in(&mut self, now: Timestamp, active: &[&Move], tables: &Tables, members: &Members) {
        let ids: BTreeSet<MoveId> = active.iter().map(|action| action.id).collect();
        self.tracks.retain(|id, _| ids.contains(id));
        let targets: BTreeSet<&PoolName> = active.iter().map(|action| &action.to).collect();
        self.pools.retain(|pool, _| targets.contains(pool));
        let mut windows: BTreeMap<&PoolName, Vec<Window>> = BTreeMap::new();
        for action in active {
            let is_cold = self.servers_of(now, action, tables, members).is_cold();
            let track = self.tracks.entry(action.id).or_default();
            track.sync(action);
            let drained = track.drain(now, is_cold);
            windows.entry(&action.to).or_default().extend(drained);
        }
        self.take_in_crashes(active, tables);
        for (pool, windows) in windows {
            let judge = self.pools.entry(pool.clone()).or_default();
            judge.add(&windows);
        }
    }

    /// Counts each crash for the pools that its backend server belongs to.
    fn take_in_crashes(&mut self, active: &[&Move], tables: &Tables) {
        for crash in std::mem::take(&mut self.crashes) {
            for action in active {
                let is_in = |name| {
                    let pool = tables.pools().get(name);
                    pool.is_some_and(|pool| self.servers.is_in(&crash.server, pool))
                };
                let (is_old, is_new) = (is_in(&action.from), is_in(&action.to));
                if is_old || is_new {
                    let judge = self.pools.entry(action.to.clone()).or_default();
                    judge.crash(crash.fingerprint, is_new);
                }
            }
        }
    }

    /// The verdict on each move, from its own evidence and that of all moves to its pool.
    fn verdicts(&mut self, active: &[&Move]) -> Vec<Verdict> {
        let own: Vec<Verdict> = active
            .iter()
            .map(|action| match self.tracks.get(&action.id) {
                Some(track) => track.judge.verdict(),
                None => Verdict::Clear,
            })
            .collect();
        for (action, verdict) in active.iter().zip(&own) {
            if matches!(verdict, Verdict::Bad(_))
                && let Some(pool) = self.pools.get_mut(&action.to)
            {
                pool.restart();
            }
        }
        let with_pool = |(action, verdict): (&&Move, Verdict)| {
            let pool = self.pools.get(&action.to);
            let pool = pool.map_or(Verdict::Clear, PoolJudge::verdict);
            match (verdict, pool) {
                (Verdict::Bad(end), _) | (_, Verdict::Bad(end)) => Verdict::Bad(end),
                (Verdict::Suspect, _) => Verdict::Suspect,
                (_, Verdict::Suspect | Verdict::Doubtful) => Verdict::Doubtful,
                (verdict, _) => verdict,
            }
        };
        active.iter().zip(own).map(with_pool).collect()
    }

    /// The slots of the new pool that other moves keep busy at their present shares.
    fn busy_of_others(&self, action: &Move, active: &[&Move]) -> f64 {
        let others = active
            .iter()
            .filter(|other| other.to == action.to && other.id != action.id);
        let busy = others.filter_map(|other| {
            let track = self.tracks.get(&other.id)?;
            Some(track.busy() * other.share.fraction())
        });
        busy.sum()
    }

    fn servers_of(
        &self,
        now: Timestamp,
        action: &Move,
        tables: &Tables,
        members: &Members,
    ) -> PoolServers {
        let pool = tables.pools().get(&action.to);
        pool.map_or_else(PoolServers::default, |pool| {
            let is_past_canary = !Plan::is_canary(action.share);
            self.servers.of_pool(now, members, pool, is_past_canary)
        })
    }
}
