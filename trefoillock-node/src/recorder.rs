//! How the calls that entered at this node ended.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use trefoillock_core::{
    CrashReport, Evidence, Map, MoveEvidence, MoveId, Outcome, PoolEvidence, RouteClass, RouteName,
    ServiceCount, Set,
};

use crate::{RouteCounts, ServiceCounts};

/// The number of shards.
const SHARDS: usize = 16;
/// The largest number of crash reports held between two drains.
const MAX_CRASHES: usize = 1_024;

/// The part that a call plays in a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveCall {
    /// The move.
    pub id: MoveId,
    /// The step that set the share by which the call was assigned.
    pub step: u32,
    /// Whether the new pool took the call.
    pub is_new: bool,
}

/// What was seen of a call at its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// An answer in full after a time, with or without a server error.
    Answer {
        /// The time from the arrival of the call to the end of the answer.
        latency: Duration,
        /// Whether the status tells a server error.
        server_error: bool,
    },
    /// An answer that was cut in mid-body.
    Aborted,
    /// The call was refused before running.
    Refused,
    /// No answer: a lost connection or a timeout.
    Failed {
        /// Whether the process of the backend server is gone.
        crashed: bool,
    },
    /// The caller left before the end.
    Left,
}

impl Seen {
    /// The outcome as the caller saw it.
    const fn outcome(self) -> Outcome {
        match self {
            Self::Answer { .. } => Outcome::Answered,
            Self::Refused => Outcome::DidNotRun,
            Self::Aborted | Self::Failed { .. } | Self::Left => Outcome::MayHaveRun,
        }
    }
}

/// The record of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallRecord<'a> {
    /// The route.
    pub route: &'a RouteName,
    /// The class.
    pub class: RouteClass,
    /// The time within which a good call is answered.
    pub target: Duration,
    /// The part that the call plays in a move.
    pub in_move: Option<MoveCall>,
    /// What was seen.
    pub seen: Seen,
}

#[derive(Debug, Default)]
struct Shard {
    moves: BTreeMap<MoveId, MoveEvidence>,
    service_levels: BTreeMap<RouteName, ServiceCount>,
    totals: Map<RouteName, (RouteClass, ServiceCounts)>,
}

/// Counts of how calls ended, in shards that are each under their own lock.
#[derive(Debug, Default)]
pub struct EvidenceRecorder {
    shards: [Mutex<Shard>; SHARDS],
    crashes: Mutex<Vec<CrashReport>>,
    cuts: ArcSwap<Set<MoveId>>,
}

impl EvidenceRecorder {
    /// Creates a recorder without counts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call.
    pub fn record(&self, record: &CallRecord<'_>) {
        if record.seen == Seen::Left {
            return;
        }
        let good = match record.seen {
            Seen::Answer {
                latency,
                server_error,
            } => !server_error && latency <= record.target,
            _ => false,
        };
        let mut shard = lock(&self.shards[shard_of_thread()]);
        count_service(&mut shard, record, good);
        if let Some(in_move) = record.in_move {
            record_move(&mut shard.moves, in_move, record.seen);
        }
    }

    /// Takes the evidence on moves and the service-level counts since the last time.
    #[must_use]
    pub fn drain(&self) -> Evidence {
        let mut evidence = Evidence::default();
        for shard in &self.shards {
            let (moves, service_levels) = {
                let mut shard = lock(shard);
                let moves = std::mem::take(&mut shard.moves);
                (moves, std::mem::take(&mut shard.service_levels))
            };
            evidence.merge(&Evidence {
                moves,
                service_levels,
            });
        }
        evidence
    }

    /// The counts by route since the start.
    #[must_use]
    pub fn totals(&self) -> Vec<RouteCounts> {
        let mut merged: BTreeMap<RouteName, (RouteClass, ServiceCounts)> = BTreeMap::new();
        for shard in &self.shards {
            for (route, (class, counts)) in &lock(shard).totals {
                let fresh = (*class, ServiceCounts::default());
                let entry = merged.entry(route.clone()).or_insert(fresh);
                entry.1.merge(counts);
            }
        }
        let rows = merged.into_iter();
        rows.map(|(route, (class, counts))| RouteCounts {
            route,
            class,
            counts,
        })
        .collect()
    }

    /// Adds a report of a crash that was seen at this node's backend server.
    pub fn record_crash(&self, report: CrashReport) {
        let mut crashes = lock(&self.crashes);
        if crashes.len() < MAX_CRASHES && !crashes.contains(&report) {
            crashes.push(report);
        }
    }

    /// Takes the crash reports since the last time.
    #[must_use]
    pub fn drain_crashes(&self) -> Vec<CrashReport> {
        std::mem::take(&mut lock(&self.crashes))
    }

    /// Sets the moves whose new pool gets no call of this node for the time being.
    pub fn set_cuts(&self, cuts: Set<MoveId>) {
        self.cuts.store(cuts.into());
    }

    /// Whether this node sends no call to the new pool of a move.
    #[must_use]
    pub fn is_cut(&self, id: MoveId) -> bool {
        self.cuts.load().contains(&id)
    }
}

fn count_service(shard: &mut Shard, record: &CallRecord<'_>, good: bool) {
    let level = ServiceCount {
        good: u64::from(good),
        bad: u64::from(!good),
    };
    match shard.service_levels.get_mut(record.route) {
        Some(held) => held.merge(level),
        None => {
            shard.service_levels.insert(record.route.clone(), level);
        }
    }
    let outcome = record.seen.outcome();
    let (_, counts) = shard
        .totals
        .entry(record.route.clone())
        .or_insert_with(|| (record.class, ServiceCounts::default()));
    counts.record(outcome, good);
}

fn record_move(moves: &mut BTreeMap<MoveId, MoveEvidence>, call: MoveCall, seen: Seen) {
    let evidence = moves.entry(call.id).or_default();
    if evidence.step > call.step {
        return;
    }
    if evidence.step < call.step {
        *evidence = MoveEvidence {
            step: call.step,
            ..MoveEvidence::default()
        };
    }
    let pool = if call.is_new {
        &mut evidence.new
    } else {
        &mut evidence.old
    };
    record_pool(pool, seen);
}

fn record_pool(pool: &mut PoolEvidence, seen: Seen) {
    match seen {
        Seen::Answer {
            server_error: true, ..
        } => pool.record_failure(),
        Seen::Answer { latency, .. } => pool.record_answer(latency),
        Seen::Aborted => {
            pool.record_failure();
            pool.aborted += 1;
        }
        Seen::Refused => pool.refused += 1,
        Seen::Failed { crashed } => {
            pool.record_failure();
            pool.crashes += u64::from(crashed);
        }
        Seen::Left => {}
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The shard that the present thread counts into.
fn shard_of_thread() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static SHARD: usize = NEXT.fetch_add(1, Ordering::Relaxed) % SHARDS;
    }
    SHARD.with(|shard| *shard)
}
