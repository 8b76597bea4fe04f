//! The controller of all moves.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use trefoillock_core::{
    CrashReport, Evidence, HoldReason, Members, Move, MoveEnd, MoveId, MoveState, MoveStep,
    PoolName, RiskReason, RouteClass, Share, Tables, Timestamp,
};

use crate::{
    judge::{Verdict, Window},
    node_report::NodeReport,
    plan::{MIN_DWELL, Next, Plan},
    pool_judge::PoolJudge,
    servers::{PoolServers, ServerWatch},
    track::Track,
};

/// The part of the new pool's slots that may be busy.
const MAX_BUSY: f64 = 0.85;
/// The share from which a route has proved the version for the postings of its service.
const PROVEN: f64 = 0.15;
/// Crash reports that are kept between two decisions.
const MAX_CRASHES: usize = 1_000;
/// The longest hold that is not told as a step of its own.
const BRIEF_HOLD: Duration = Duration::from_secs(3);
/// By how much the earliest time must change to be reported again.
const EARLIEST_CHANGE: Duration = Duration::from_secs(30);

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

/// What a decision on one move is based on.
struct Scene<'a> {
    now: Timestamp,
    action: &'a Move,
    class: RouteClass,
    track: &'a Track,
    verdict: Verdict,
    servers: PoolServers,
    report: NodeReport,
    /// Slots that the other moves to the same pool keep busy.
    busy_of_others: f64,
    /// Whether another move to the same pool has not reached its last stage, or has only just.
    others_are_rising: bool,
    siblings: Siblings,
}

/// How the other routes fare that move to the same pool and are no postings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Siblings {
    /// There are none.
    None,
    /// All have proved the version.
    Proven,
    /// At least one has not proved it yet.
    Unproven,
    /// One has proved that the version is bad.
    Bad(MoveEnd),
}

/// Where a move shall stand.
struct Aim {
    state: MoveState,
    share: Share,
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
                servers: self.servers_of(now, action, tables, members),
                report,
                siblings: siblings(action, &moves, tables),
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

impl Scene<'_> {
    /// The step that leads to the aim, or `None` if the move stands there.
    fn step(&self) -> Option<MoveStep> {
        let aim = self.aim();
        let action = self.action;
        if aim.share == action.share && same_state(aim.state, action.state) {
            return None;
        }
        Some(MoveStep {
            id: action.id,
            step: action.step + 1,
            state: aim.state,
            share: aim.share,
            at: self.now,
            evidence: self.evidence(),
        })
    }

    fn evidence(&self) -> String {
        format!(
            "{}; {} of {} nodes report, {:.1} calls/s, {} new calls at this share",
            self.track.judge.describe(),
            self.report.nodes_reporting,
            self.report.nodes_expected,
            self.track.rate(),
            self.track.calls_at_share(),
        )
    }

    /// Where the move shall stand.
    fn aim(&self) -> Aim {
        if let Verdict::Bad(end) = self.verdict {
            return taken_back(end);
        }
        if let (RouteClass::Posting, Siblings::Bad(end)) = (self.class, self.siblings) {
            return taken_back(end);
        }
        if self.now >= self.action.deadline {
            return taken_back(MoveEnd::DeadlinePassed);
        }
        let is_vouched = self.siblings == Siblings::Proven;
        let plan = Plan::new(self.action, self.class, is_vouched, self.track.rate());
        if self.servers.is_empty() {
            return self.without_servers(&plan);
        }
        if self.is_suspect() {
            let share = self.action.share.min(plan.canary());
            return self.at_share(&plan, share, Some(HoldReason::Suspicion));
        }
        if self.busy_of_others + self.busy(self.action.share) > self.slots() {
            let share = self.affordable_share();
            return self.at_share(&plan, share, Some(HoldReason::Capacity));
        }
        if !self.track.is_observed(self.now) && self.action.share > Share::ZERO {
            return self.unchanged();
        }
        match self.hold_reason(&plan) {
            Some(_) if self.is_hold_brief(&plan) => self.unchanged(),
            Some(reason) => self.at_share(&plan, self.action.share, Some(reason)),
            None => self.onwards(&plan),
        }
    }

    /// The next share, or the end, if it is time.
    fn onwards(&self, plan: &Plan) -> Aim {
        let share = self.action.share;
        let kept = self.now.since(self.track.share_since());
        let dwell = plan.dwell(share, self.track.share_since());
        let is_due = share == Share::ZERO || kept >= dwell;
        match plan.next(share) {
            _ if !is_due => self.at_share(plan, share, None),
            Next::Done if self.must_wait_for_others(plan) => self.at_share(plan, share, None),
            Next::Raise(next) => self.at_share(plan, next, None),
            Next::Done => Aim {
                state: MoveState::Done,
                share: Share::FULL,
            },
        }
    }

    /// Whether other moves to the same pool are still being raised, so that the pool has not
    /// yet been watched under the load of all of them.
    fn must_wait_for_others(&self, plan: &Plan) -> bool {
        self.others_are_rising && self.now < plan.latest()
    }

    fn is_suspect(&self) -> bool {
        self.verdict == Verdict::Suspect
    }

    /// Why the share must not be raised now, whatever the time.
    #[expect(clippy::cast_precision_loss)]
    fn hold_reason(&self, plan: &Plan) -> Option<HoldReason> {
        let share = self.action.share;
        if !self.report.is_enough() || self.track.is_silent(self.now) {
            return Some(HoldReason::EvidenceMissing);
        }
        if share == Share::ZERO {
            let must_wait =
                self.class == RouteClass::Posting && self.siblings == Siblings::Unproven;
            return must_wait.then_some(HoldReason::ThinEvidence);
        }
        let since = self.track.share_since();
        let is_due = self.now.since(since) >= plan.dwell(share, since);
        if !is_due {
            return None;
        }
        if self.verdict == Verdict::Doubtful || self.track.cuts_at_share() > 0 {
            return Some(HoldReason::Suspicion);
        }
        let needed = plan.calls_needed(share, since, self.track.rate());
        if (self.track.calls_at_share() as f64) < needed {
            return Some(HoldReason::ThinEvidence);
        }
        if self.servers.is_all_cold() && share <= plan.canary() {
            return Some(HoldReason::ColdStart);
        }
        let next = match plan.next(share) {
            Next::Raise(next) => next,
            Next::Done => Share::FULL,
        };
        let needed = self.busy_of_others + self.busy(next);
        (needed > self.slots() * MAX_BUSY).then_some(HoldReason::Capacity)
    }

    /// The slots of the new pool that the route keeps busy at a share.
    fn busy(&self, share: Share) -> f64 {
        self.track.busy() * share.fraction()
    }

    fn slots(&self) -> f64 {
        f64::from(self.servers.slots)
    }

    /// The share that the slots of the new pool can carry, if all routes are lowered alike.
    fn affordable_share(&self) -> Share {
        let busy = self.busy_of_others + self.busy(self.action.share);
        let part = self.slots() * MAX_BUSY / busy;
        Share::from_fraction(self.action.share.fraction() * part.min(1.0))
    }

    /// Whether a hold is so short that it is not worth a step.
    fn is_hold_brief(&self, plan: &Plan) -> bool {
        let since = self.track.share_since();
        let dwell = plan.dwell(self.action.share, since);
        let is_unheld = matches!(self.action.state, MoveState::Canary | MoveState::Ramping);
        is_unheld && self.now.since(since) < dwell + BRIEF_HOLD
    }

    /// No step.
    const fn unchanged(&self) -> Aim {
        Aim {
            state: self.action.state,
            share: self.action.share,
        }
    }

    /// Stays at a share, and tells whether it may be done in time.
    fn at_share(&self, plan: &Plan, share: Share, hold: Option<HoldReason>) -> Aim {
        let earliest = plan.earliest(share, self.now);
        let state = if earliest > self.action.deadline {
            let reason = match hold {
                Some(HoldReason::Capacity) => RiskReason::Capacity,
                Some(HoldReason::ThinEvidence) => RiskReason::ThinEvidence,
                _ => RiskReason::TimeLeft,
            };
            MoveState::AtRisk {
                reason,
                earliest: Some(earliest),
            }
        } else {
            match hold {
                Some(reason) => MoveState::Holding { reason },
                None if share <= plan.canary() => MoveState::Canary,
                None => MoveState::Ramping,
            }
        };
        Aim { state, share }
    }

    /// Without backend servers the new pool gets no calls.
    fn without_servers(&self, plan: &Plan) -> Aim {
        let share = Share::ZERO;
        let is_late = plan.earliest(share, self.now) + MIN_DWELL > self.action.deadline;
        let state = if is_late {
            MoveState::AtRisk {
                reason: RiskReason::NoServers,
                earliest: None,
            }
        } else if self.action.share == Share::ZERO
            && self.action.state == MoveState::WaitingForServers
        {
            MoveState::WaitingForServers
        } else {
            MoveState::Holding {
                reason: HoldReason::NoServers,
            }
        };
        Aim { state, share }
    }
}

const fn taken_back(end: MoveEnd) -> Aim {
    Aim {
        state: MoveState::TakenBack { end },
        share: Share::ZERO,
    }
}

/// Whether two states tell an operator the same.
fn same_state(aim: MoveState, held: MoveState) -> bool {
    match (aim, held) {
        (
            MoveState::AtRisk { reason, earliest },
            MoveState::AtRisk {
                reason: held_reason,
                earliest: held_earliest,
            },
        ) => {
            let (new, old) = (
                earliest.unwrap_or_default(),
                held_earliest.unwrap_or_default(),
            );
            let change = new.since(old).max(old.since(new));
            reason == held_reason && change < EARLIEST_CHANGE
        }
        _ => aim == held,
    }
}

/// The class of a move's route; a route that is gone counts as a posting.
fn class_of(action: &Move, tables: &Tables) -> RouteClass {
    let route = tables.routes().get(&action.route);
    route.map_or(RouteClass::Posting, |route| route.class)
}

/// Whether another move to the same pool has not been at its last stage for a while.
fn others_are_rising(now: Timestamp, action: &Move, active: &[&Move]) -> bool {
    active.iter().any(|other| {
        other.id != action.id
            && other.to == action.to
            && (!Plan::is_last(other.share) || now.since(other.stepped) < MIN_DWELL)
    })
}

/// How the moves of other routes to the same pool fare.
fn siblings(action: &Move, moves: &[&Move], tables: &Tables) -> Siblings {
    let others = moves.iter().filter(|other| {
        other.id != action.id
            && other.to == action.to
            && class_of(other, tables) != RouteClass::Posting
    });
    let mut result = Siblings::None;
    for other in others {
        if result == Siblings::None {
            result = Siblings::Proven;
        }
        match other.state {
            MoveState::TakenBack { end } => {
                let is_of_version = !matches!(end, MoveEnd::Cancelled | MoveEnd::DeadlinePassed);
                if is_of_version && other.stepped >= action.started {
                    return Siblings::Bad(end);
                }
            }
            MoveState::Done => {}
            _ if other.share.fraction() >= PROVEN => {}
            _ => result = Siblings::Unproven,
        }
    }
    result
}
