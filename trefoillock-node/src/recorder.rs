//! Counts how the calls that entered at this node ended, as evidence for moves, rollouts and the
//! service-level report.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use trefoillock_core::{
    CrashReport, Evidence, Map, MoveEvidence, MoveId, Outcome, PoolEvidence, RouteClass, RouteName,
    ServiceLevelCounts, Set, WorkspaceName,
};

use crate::{RouteCounts, ServiceCounts, WorkspaceCounts};

/// The number of shards; threads are divided among them to reduce lock contention.
const SHARD_COUNT: usize = 16;
/// The largest number of crash reports kept until the next drain; later ones are dropped.
const MAX_CRASH_REPORTS: usize = 1_024;

/// How the share of a move or rollout assigned a call to a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveAssignment {
    /// The move or rollout.
    pub id: MoveId,
    /// The step that set the share by which the call was assigned.
    pub step: u32,
    /// Whether the call was assigned to the new pool or version.
    pub to_new_pool: bool,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The response was complete, with or without a server error.
    Answered {
        /// The time from the arrival of the call to the end of the response.
        latency: Duration,
        /// Whether the status is a server error.
        server_error: bool,
    },
    /// The response ended before its body was complete.
    Aborted,
    /// The call was refused before it ran.
    Refused,
    /// There was no response: the connection was lost or the call timed out.
    Failed {
        /// Whether the process of the backend server is gone.
        crashed: bool,
    },
    /// The caller disconnected before the end.
    CallerDisconnected,
}

impl CallEnd {
    /// The outcome that the caller received.
    const fn outcome(self) -> Outcome {
        match self {
            Self::Answered { .. } => Outcome::Answered,
            Self::Refused => Outcome::DidNotRun,
            Self::Aborted | Self::Failed { .. } | Self::CallerDisconnected => Outcome::MayHaveRun,
        }
    }
}

/// What is counted of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallRecord<'a> {
    /// The route of the call.
    pub route: &'a RouteName,
    /// The class of the route.
    pub class: RouteClass,
    /// The workspace that sent the call; `None` if the call carried no known key.
    pub workspace: Option<&'a WorkspaceName>,
    /// The time within which a good call gets its complete response.
    pub target: Duration,
    /// The assignment by a move or rollout; `None` if none applied to the call.
    pub assignment: Option<MoveAssignment>,
    /// How the call ended.
    pub end: CallEnd,
}

#[derive(Debug, Default)]
struct Shard {
    moves: BTreeMap<MoveId, MoveEvidence>,
    service_levels: BTreeMap<RouteName, ServiceLevelCounts>,
    totals: Map<RouteName, (RouteClass, ServiceCounts)>,
    workspaces: Map<WorkspaceName, WorkspaceCounts>,
}

/// Counts of how calls ended, in shards with one lock each.
#[derive(Debug, Default)]
pub struct EvidenceRecorder {
    shards: [Mutex<Shard>; SHARD_COUNT],
    crashes: Mutex<Vec<CrashReport>>,
    local_cuts: ArcSwap<Set<MoveId>>,
    unknown_keys: AtomicU64,
    abandoned_calls: AtomicU64,
}

impl EvidenceRecorder {
    /// Creates a recorder without counts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call. One whose caller disconnected is not evidence.
    pub fn record(&self, record: &CallRecord<'_>) {
        if record.end == CallEnd::CallerDisconnected {
            self.abandoned_calls.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let is_good = match record.end {
            CallEnd::Answered {
                latency,
                server_error,
            } => !server_error && latency <= record.target,
            _ => false,
        };
        let mut shard = lock(&self.shards[shard_of_thread()]);
        count_service(&mut shard, record, is_good);
        if let Some(workspace) = record.workspace {
            count_workspace(&mut shard.workspaces, workspace, record.end);
        }
        if let Some(assignment) = record.assignment {
            record_move(&mut shard.moves, assignment, record.end);
        }
    }

    /// Returns the evidence on moves and the service-level counts since the last call, and resets
    /// them.
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

    /// The counts by route since the process started.
    #[must_use]
    pub fn totals(&self) -> Vec<RouteCounts> {
        let mut merged: BTreeMap<RouteName, (RouteClass, ServiceCounts)> = BTreeMap::new();
        for shard in &self.shards {
            for (route, (class, counts)) in &lock(shard).totals {
                let empty = (*class, ServiceCounts::default());
                let entry = merged.entry(route.clone()).or_insert(empty);
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

    /// The counts by workspace since the process started.
    #[must_use]
    pub fn workspace_totals(&self) -> BTreeMap<WorkspaceName, WorkspaceCounts> {
        let mut merged: BTreeMap<WorkspaceName, WorkspaceCounts> = BTreeMap::new();
        for shard in &self.shards {
            for (workspace, counts) in &lock(shard).workspaces {
                merged.entry(workspace.clone()).or_default().merge(counts);
            }
        }
        merged
    }

    /// Counts a call that was refused because it carried no known key.
    pub fn record_unknown_key(&self) {
        self.unknown_keys.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of calls that were refused because they carried no known key.
    #[must_use]
    pub fn unknown_keys(&self) -> u64 {
        self.unknown_keys.load(Ordering::Relaxed)
    }

    /// The number of calls whose caller disconnected before the end.
    #[must_use]
    pub fn abandoned_calls(&self) -> u64 {
        self.abandoned_calls.load(Ordering::Relaxed)
    }

    /// Adds a report of a crash of a local backend server.
    pub fn record_crash(&self, report: CrashReport) {
        let mut crashes = lock(&self.crashes);
        if crashes.len() < MAX_CRASH_REPORTS && !crashes.contains(&report) {
            crashes.push(report);
        }
    }

    /// Returns the crash reports since the last call, and removes them.
    #[must_use]
    pub fn drain_crashes(&self) -> Vec<CrashReport> {
        std::mem::take(&mut lock(&self.crashes))
    }

    /// Sets the local cuts: the moves whose new pool gets no calls from this node for now.
    pub fn set_local_cuts(&self, cuts: Set<MoveId>) {
        self.local_cuts.store(cuts.into());
    }

    /// Whether a local cut applies to a move: this node sends no calls to its new pool.
    #[must_use]
    pub fn is_locally_cut(&self, id: MoveId) -> bool {
        self.local_cuts.load().contains(&id)
    }
}

fn count_service(shard: &mut Shard, record: &CallRecord<'_>, is_good: bool) {
    let counts = ServiceLevelCounts {
        good: u64::from(is_good),
        bad: u64::from(!is_good),
    };
    match shard.service_levels.get_mut(record.route) {
        Some(held) => held.merge(counts),
        None => {
            shard.service_levels.insert(record.route.clone(), counts);
        }
    }
    let outcome = record.end.outcome();
    let (_, counts) = shard
        .totals
        .entry(record.route.clone())
        .or_insert_with(|| (record.class, ServiceCounts::default()));
    counts.record(outcome, is_good);
}

fn count_workspace(
    counts: &mut Map<WorkspaceName, WorkspaceCounts>,
    workspace: &WorkspaceName,
    end: CallEnd,
) {
    match counts.get_mut(workspace) {
        Some(counts) => counts.record(end),
        None => counts.entry(workspace.clone()).or_default().record(end),
    }
}

fn record_move(
    moves: &mut BTreeMap<MoveId, MoveEvidence>,
    assignment: MoveAssignment,
    end: CallEnd,
) {
    let evidence = moves.entry(assignment.id).or_default();
    if evidence.step > assignment.step {
        return;
    }
    if evidence.step < assignment.step {
        *evidence = MoveEvidence {
            step: assignment.step,
            ..MoveEvidence::default()
        };
    }
    let pool = if assignment.to_new_pool {
        &mut evidence.new
    } else {
        &mut evidence.old
    };
    record_pool(pool, end);
}

fn record_pool(pool: &mut PoolEvidence, end: CallEnd) {
    match end {
        CallEnd::Answered {
            server_error: true, ..
        } => pool.record_failure(),
        CallEnd::Answered { latency, .. } => pool.record_answer(latency),
        CallEnd::Aborted => {
            pool.record_failure();
            pool.aborted += 1;
        }
        CallEnd::Refused => pool.refused += 1,
        CallEnd::Failed { crashed } => {
            pool.record_failure();
            pool.crashes += u64::from(crashed);
        }
        CallEnd::CallerDisconnected => {}
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The shard that the current thread counts in.
fn shard_of_thread() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static SHARD: usize = NEXT.fetch_add(1, Ordering::Relaxed) % SHARD_COUNT;
    }
    SHARD.with(|shard| *shard)
}
