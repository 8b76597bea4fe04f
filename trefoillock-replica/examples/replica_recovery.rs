//! Measures elections, recovery, the catch-up of a learner and the rate of proposals.
//!
//! Three replicas run in one process, communicate over loopback sockets and sync to files on one
//! disk, below the folder given as the first argument or else below the temporary folder.
//!
//! `cargo run --release -p trefoillock-replica --example replica_recovery [folder]`

use std::{
    error::Error,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trefoillock_core::{LogIndex, ReplicaId, Term};
use trefoillock_replica::{
    ChangeError, DataFolder, Limits, ProposeError, ReplicaHandle, ReplicaRole, ReplicaSettings,
    RestoreError, StateMachine,
};
use trefoillock_rpc::{RpcServer, Token};

const SYSTEM: &str = "measurement";
/// The size of a command in bytes.
const COMMAND_BYTES: usize = 1_024;
/// The number of entries in the log before recovery is measured.
const LOG_ENTRIES: u64 = 10_000;
/// The number of leader failures that are measured.
const KILLS: usize = 10;
/// The duration of each measurement of the rate of proposals.
const PROPOSE_DURATION: Duration = Duration::from_secs(5);

type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// A state machine that counts commands and their bytes.
#[derive(Debug, Clone, Default)]
struct Counter(Arc<Mutex<(u64, u64)>>);

impl StateMachine for Counter {
    fn apply(&mut self, _: LogIndex, _: Term, command: &[u8]) -> Vec<u8> {
        if let Ok(mut counts) = self.0.lock() {
            counts.0 += 1;
            counts.1 += command.len() as u64;
        }
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        let counts = self.0.lock().map(|counts| *counts).unwrap_or_default();
        [counts.0.to_le_bytes(), counts.1.to_le_bytes()].concat()
    }

    fn restore(&mut self, snapshot: &[u8]) -> std::result::Result<(), RestoreError> {
        let (count, bytes) = snapshot.split_first_chunk().ok_or("a short snapshot")?;
        let bytes = bytes.first_chunk().ok_or("a short snapshot")?;
        if let Ok(mut counts) = self.0.lock() {
            *counts = (u64::from_le_bytes(*count), u64::from_le_bytes(*bytes));
        }
        Ok(())
    }
}

/// A replica with its server and what is needed to start it again.
struct RunningReplica {
    settings: ReplicaSettings,
    address: SocketAddr,
    handle: ReplicaHandle,
    stop: CancellationToken,
}

/// Whether snapshots are taken at the default limits or never.
#[derive(Clone, Copy)]
enum SnapshotPolicy {
    Default,
    Never,
}

fn limits(snapshots: SnapshotPolicy) -> Limits {
    match snapshots {
        SnapshotPolicy::Default => Limits::default(),
        SnapshotPolicy::Never => Limits {
            snapshot_every: u64::MAX,
            log_bytes: usize::MAX,
            replay_bytes: usize::MAX,
            ..Limits::default()
        },
    }
}

fn start(settings: ReplicaSettings, listener: TcpListener) -> Result<RunningReplica> {
    let address = listener.local_addr()?;
    let stop = CancellationToken::new();
    let machine = Box::new(Counter::default());
    let handle = ReplicaHandle::start(settings.clone(), machine, stop.clone())?;
    let server = handle.add_rpc_handlers(RpcServer::new(Token::none(), Arc::default()));
    tokio::spawn(server.serve(listener, stop.clone()));
    Ok(RunningReplica {
        settings,
        address,
        handle,
        stop,
    })
}

async fn start_three(root: &Path, snapshots: SnapshotPolicy) -> Result<Vec<RunningReplica>> {
    let mut listeners = Vec::new();
    let mut peers = Vec::new();
    for id in 1..=3 {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        peers.push((ReplicaId::new(id), listener.local_addr()?));
        listeners.push(listener);
    }
    let mut replicas = Vec::new();
    for (&(id, address), listener) in peers.iter().zip(listeners) {
        let folder = root.join(id.to_string());
        let settings = ReplicaSettings::new(SYSTEM, id, address, folder)
            .peers(peers.clone())
            .limits(limits(snapshots));
        ReplicaHandle::init_voter_folder(&settings)?;
        replicas.push(start(settings, listener)?);
    }
    Ok(replicas)
}

/// Waits until a replica leads with a lease. Returns its index in `replicas`.
async fn wait_for_leader(replicas: &[RunningReplica]) -> usize {
    let waits = replicas.iter().map(|replica| {
        let mut status = replica.handle.status();
        Box::pin(async move {
            let leads =
                status.wait_for(|s| s.role == ReplicaRole::Leader && s.lease_until.is_some());
            if leads.await.is_err() {
                std::future::pending::<()>().await;
            }
        })
    });
    futures::future::select_all(waits).await.1
}

async fn propose(replicas: &[RunningReplica]) -> Result<LogIndex> {
    loop {
        let leader_index = wait_for_leader(replicas).await;
        let command = vec![7; COMMAND_BYTES];
        match replicas[leader_index].handle.propose(command).await {
            Ok((index, _)) => return Ok(index),
            Err(ProposeError::Unknown) => return Err("an unknown outcome".into()),
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

fn quantile(sorted: &[Duration], part: f64) -> Duration {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the index of a quantile in a short list"
    )]
    let index = ((sorted.len() - 1) as f64 * part).round() as usize;
    sorted[index]
}

/// Stops leaders and measures the time until a new leader answers a proposal.
async fn measure_elections(root: &Path) -> Result<()> {
    let mut replicas = start_three(root, SnapshotPolicy::Default).await?;
    propose(&replicas).await?;
    let (mut to_leader, mut to_answer) = (Vec::new(), Vec::new());
    for _ in 0..KILLS {
        let old = replicas.swap_remove(wait_for_leader(&replicas).await);
        let killed = Instant::now();
        old.stop.cancel();
        wait_for_leader(&replicas).await;
        to_leader.push(killed.elapsed());
        propose(&replicas).await?;
        to_answer.push(killed.elapsed());
        old.handle.wait_until_stopped().await;
        let listener = TcpListener::bind(old.address).await?;
        let restarted = start(old.settings, listener)?;
        let last = propose(&replicas).await?;
        let mut status = restarted.handle.status();
        status.wait_for(|s| s.applied >= last).await?;
        replicas.push(restarted);
    }
    to_leader.sort_unstable();
    to_answer.sort_unstable();
    for (what, times) in [
        ("leader with a lease", to_leader),
        ("answered proposal", to_answer),
    ] {
        let (p50, max) = (quantile(&times, 0.5), quantile(&times, 1.0));
        println!("kill to next {what}: p50 {p50:.2?}, max {max:.2?} of {KILLS}");
    }
    stop(replicas).await;
    Ok(())
}

async fn stop(replicas: Vec<RunningReplica>) {
    for replica in replicas {
        replica.stop.cancel();
        replica.handle.wait_until_stopped().await;
    }
}

/// Proposes from a number of concurrent callers and prints the rate and latency of proposals.
async fn measure_rate(replicas: &[RunningReplica], callers: usize) -> Result<()> {
    let handle = &replicas[wait_for_leader(replicas).await].handle;
    let begun = Instant::now();
    let tasks = (0..callers).map(|_| {
        let handle = handle.clone();
        tokio::spawn(async move {
            let mut times = Vec::new();
            while begun.elapsed() < PROPOSE_DURATION {
                let sent = Instant::now();
                handle.propose(vec![7; COMMAND_BYTES]).await?;
                times.push(sent.elapsed());
            }
            Ok::<_, ProposeError>(times)
        })
    });
    let mut times = Vec::new();
    for task in futures::future::join_all(tasks).await {
        times.extend(task??);
    }
    let span = begun.elapsed();
    times.sort_unstable();
    let (p50, p99) = (quantile(&times, 0.5), quantile(&times, 0.99));
    #[expect(clippy::cast_precision_loss, reason = "a count of proposals")]
    let rate = times.len() as f64 / span.as_secs_f64();
    println!("{callers:>4} callers: {rate:>7.0} proposals/s, p50 {p50:.2?}, p99 {p99:.2?}");
    Ok(())
}

async fn measure_rates(root: &Path) -> Result<()> {
    let replicas = start_three(root, SnapshotPolicy::Default).await?;
    propose(&replicas).await?;
    for callers in [1, 16, 64, 256] {
        measure_rate(&replicas, callers).await?;
    }
    let handle = &replicas[wait_for_leader(&replicas).await].handle;
    let begun = Instant::now();
    for _ in 0..1_000 {
        handle.read_barrier().await?;
    }
    println!(
        "read barrier by lease: {:.2?} each",
        begun.elapsed() / 1_000
    );
    stop(replicas).await;
    Ok(())
}

/// Fills a log, then measures the catch-up of a learner and a restart of all replicas.
async fn measure_recovery(root: &Path, snapshots: SnapshotPolicy) -> Result<()> {
    let mut replicas = start_three(root, snapshots).await?;
    let handle = replicas[wait_for_leader(&replicas).await].handle.clone();
    let proposals = (0..LOG_ENTRIES).map(|_| handle.propose(vec![7; COMMAND_BYTES]));
    for batch in futures::future::join_all(proposals).await {
        batch?;
    }
    let last = propose(&replicas).await?;

    let id = ReplicaId::new(4);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let settings = ReplicaSettings::new(SYSTEM, id, address, root.join("4"));
    let settings = settings.limits(limits(snapshots));
    ReplicaHandle::init_joining_folder(&settings)?;
    let learner = start(settings, listener)?;
    let begun = Instant::now();
    handle.add_learner(id, address).await?;
    let mut status = learner.handle.status();
    status.wait_for(|s| s.applied >= last).await?;
    println!(
        "  learner holds {last} entries after {:.2?}",
        begun.elapsed()
    );
    while let Err(error) = handle.promote(id).await {
        if !matches!(error, ChangeError::InProgress | ChangeError::NotCaughtUp(_)) {
            return Err(error.into());
        }
        tokio::task::yield_now().await;
    }
    println!("  learner is a voter after {:.2?}", begun.elapsed());
    replicas.push(learner);

    let settings: Vec<_> = replicas
        .iter()
        .map(|r| (r.settings.clone(), r.address))
        .collect();
    stop(replicas).await;
    let begun = Instant::now();
    let (folder, recovered) = DataFolder::open(&root.join("1"), SYSTEM, ReplicaId::new(1))?;
    let read = recovered.entries.len();
    println!(
        "  files with {read} entries in the log are read in {:.2?}",
        begun.elapsed()
    );
    drop(folder);
    let begun = Instant::now();
    let mut replicas = Vec::new();
    for (settings, address) in settings {
        replicas.push(start(settings, TcpListener::bind(address).await?)?);
    }
    wait_for_leader(&replicas).await;
    println!("  cold start to a leader: {:.2?}", begun.elapsed());
    let last = propose(&replicas).await?;
    for replica in &replicas {
        let mut status = replica.handle.status();
        status.wait_for(|s| s.applied >= last).await?;
    }
    println!(
        "  cold start to all entries applied everywhere: {:.2?}",
        begun.elapsed()
    );
    stop(replicas).await;
    Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
    let root = match std::env::args().nth(1) {
        Some(folder) => tempfile::tempdir_in(folder)?,
        None => tempfile::tempdir()?,
    };
    println!("three replicas, commands of {COMMAND_BYTES} bytes, one disk");
    measure_rates(&root.path().join("rates")).await?;
    measure_elections(&root.path().join("elections")).await?;
    println!("{LOG_ENTRIES} entries, never a snapshot:");
    measure_recovery(&root.path().join("log"), SnapshotPolicy::Never).await?;
    println!("{LOG_ENTRIES} entries, snapshots at the usual times:");
    measure_recovery(&root.path().join("snapshots"), SnapshotPolicy::Default).await?;
    Ok(())
}
