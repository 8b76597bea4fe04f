//! Tests of the task of a replica whose clocks and peers are simulated.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};

use super::{Command, Driver};
use crate::{
    AppendOutcome, BatchId, DataFolder, DiskId, Envelope, FolderError, Message, ReadError, Replica,
    ReplicaHandle, ReplicaIdentity, ReplicaRole, ReplicaSettings, ReplicaStatus, RestoreError,
    StateMachine,
    disk_thread::DiskThread,
    monotonic_clock::{ClockReadings, MonotonicClock},
    peers::Peers,
    waiters::Waiters,
};

const SYSTEM: &str = "test";
/// The time after which an election counts as hung.
const HANG_TIMEOUT: Duration = Duration::from_mins(1);
/// The time for which a report of a sync is waited for.
const SYNC_WAIT: Duration = Duration::from_millis(10);
/// The number of heartbeat rounds that are answered; a test begins fewer.
const MAX_ROUNDS: u64 = 100;

struct NoState;

impl StateMachine for NoState {
    fn apply(&mut self, _: LogIndex, _: Term, _: &[u8]) -> Vec<u8> {
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _: &[u8]) -> Result<(), RestoreError> {
        Ok(())
    }
}

/// The clocks of a simulated VM.
#[derive(Clone)]
struct SimulatedClocks(Arc<Mutex<ClockReadings>>);

impl SimulatedClocks {
    fn new() -> Self {
        Self(Arc::new(Mutex::new(ClockReadings {
            monotonic: Duration::from_secs(10),
            wall: Timestamp::from_secs(1_000),
        })))
    }

    fn advance(&self, monotonic: Duration, wall: Duration) {
        let mut readings = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        readings.monotonic += monotonic;
        readings.wall = readings.wall + wall;
    }

    fn clock(&self) -> MonotonicClock {
        let readings = self.0.clone();
        MonotonicClock::with_source(Box::new(move || {
            *readings.lock().unwrap_or_else(PoisonError::into_inner)
        }))
    }
}

/// The driver of replica 1 of three; the test plays the other two.
struct Harness {
    driver: Driver,
    clocks: SimulatedClocks,
    synced: mpsc::UnboundedReceiver<Result<BatchId, FolderError>>,
    _root: tempfile::TempDir,
}

fn address(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(id).expect("a small number")))
}

impl Harness {
    fn start() -> Self {
        let root = tempfile::tempdir().expect("a folder");
        let peers = (1..=3).map(|id| (ReplicaId::new(id), address(id)));
        let id = ReplicaId::new(1);
        let settings =
            ReplicaSettings::new(SYSTEM, id, address(1), root.path()).peers(peers.collect());
        ReplicaHandle::init_voter_folder(&settings).expect("an empty folder");
        let (folder, recovered) =
            DataFolder::open(&settings.data_folder, &settings.system, id).expect("a folder");
        let clocks = SimulatedClocks::new();
        let clock = clocks.clock();
        let rng = Pcg64Mcg::seed_from_u64(1);
        let replica = Replica::new(
            recovered,
            settings.timing,
            settings.limits,
            rng,
            clock.now(),
        );
        let (synced_tx, synced) = mpsc::unbounded_channel();
        let peers = Peers::new(
            settings.token.clone(),
            Arc::default(),
            CancellationToken::new(),
        );
        let driver = Driver {
            status: watch::channel(ReplicaStatus::from_replica(&replica)).0,
            settings,
            replica,
            state_machine: Box::new(NoState),
            clock,
            disk: DiskThread::start(folder, synced_tx).expect("a thread"),
            peers,
            lease: watch::channel(None).0,
            waiters: Waiters::default(),
            reads: std::collections::BTreeMap::new(),
            last_read_id: 0,
            addresses: std::collections::BTreeMap::new(),
            last_heard: Arc::default(),
        };
        Self {
            driver,
            clocks,
            synced,
            _root: root,
        }
    }

    /// Executes effects, and reports a sync if there is one within [`SYNC_WAIT`].
    async fn run(&mut self) {
        self.driver.execute_effects().expect("no failure");
        let wait = tokio::time::timeout(SYNC_WAIT, self.synced.recv());
        if let Ok(Some(batch)) = wait.await {
            let now = self.driver.clock.now();
            self.driver
                .replica
                .report_synced(now, batch.expect("synced"));
            self.driver.execute_effects().expect("no failure");
        }
    }

    fn receive(&mut self, from: u64, message: Message) {
        self.driver.receive(Envelope {
            system: SYSTEM.to_owned(),
            from: ReplicaIdentity {
                id: ReplicaId::new(from),
                disk: DiskId::new(from),
            },
            address: address(from),
            to: ReplicaId::new(1),
            message,
        });
    }

    /// Makes the replica the leader by the votes of replica 2, which also answers its heartbeats.
    async fn lead(&mut self) {
        let step = Duration::from_millis(20);
        let campaign = async {
            while self.driver.replica.role() != ReplicaRole::Leader {
                self.clocks.advance(step, step);
                self.driver.tick();
                self.driver.execute_effects().expect("no failure");
                let term = self.driver.replica.term().next();
                let granted = true;
                self.receive(2, Message::PreVoteAnswer { term, granted });
                self.run().await;
                let term = self.driver.replica.term();
                self.receive(2, Message::VoteAnswer { term, granted });
                self.run().await;
            }
            while self.driver.replica.lease_until().is_none() {
                self.run().await;
                self.answer_heartbeats();
                self.run().await;
            }
        };
        let campaign = tokio::time::timeout(HANG_TIMEOUT, campaign).await;
        campaign.expect("a leader in time");
    }

    /// Answers all heartbeats so far in the name of replica 2.
    fn answer_heartbeats(&mut self) {
        for round in 1..=MAX_ROUNDS {
            let answer = Message::AppendAnswer {
                term: self.driver.replica.term(),
                round,
                outcome: AppendOutcome::Accepted {
                    matched: self.driver.replica.last().index,
                },
            };
            self.receive(2, answer);
        }
    }

    /// Returns the answer to a read, if it is answered without further messages.
    fn read(&mut self) -> Option<Result<LogIndex, ReadError>> {
        let (tx, mut rx) = oneshot::channel();
        self.driver.handle_command(Command::Read(tx));
        self.driver.execute_effects().expect("no failure");
        rx.try_recv().ok()
    }
}

#[tokio::test]
async fn a_leader_answers_reads_while_its_lease_holds() {
    let mut harness = Harness::start();
    harness.lead().await;
    assert!(matches!(harness.read(), Some(Ok(_))));
}

#[tokio::test]
async fn a_read_after_a_suspension_is_not_answered_by_the_lease_from_before_it() {
    let suspension = Duration::from_secs(3);
    for monotonic in [Duration::ZERO, suspension] {
        let mut harness = Harness::start();
        harness.lead().await;
        harness.clocks.advance(monotonic, suspension);
        assert_eq!(harness.read(), None);
    }
}
