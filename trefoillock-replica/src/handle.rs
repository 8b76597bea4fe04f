//! The handle of a running replica: start, proposals, reads, membership changes and status.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use trefoillock_core::{Error, LogIndex, Peer, ReplicaId, Step};
use trefoillock_process::BootInstant;
use trefoillock_rpc::{RpcServer, TrafficCounter};

use crate::{
    ChangeError, DataFolder, DiskId, Envelope, JoinCandidate, Membership, MembershipChange,
    ProposeError, ReadError, Replica, ReplicaIdentity, ReplicaSettings, ReplicaStatus,
    StateMachine,
    disk_thread::DiskThread,
    driver::{Command, Driver, Inputs},
    monotonic_clock::MonotonicClock,
    new_disk_id,
    peers::{self, Peers},
    waiters::Waiters,
};

/// The capacity of the channel of commands to the task of the replica.
const QUEUED_COMMANDS: usize = 1_024;
/// The capacity of the channel of messages to the task of the replica.
const QUEUED_MESSAGES: usize = 1_024;

/// A handle of a running replica. Clones refer to the same replica.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    settings: Arc<ReplicaSettings>,
    commands: mpsc::Sender<Command>,
    inbox: mpsc::Sender<Envelope>,
    status: watch::Receiver<ReplicaStatus>,
    lease: watch::Receiver<Option<BootInstant>>,
    traffic: Arc<TrafficCounter>,
    last_heard: Arc<Mutex<BTreeMap<ReplicaId, Instant>>>,
    disk_id: DiskId,
    stop: CancellationToken,
}

impl ReplicaHandle {
    /// Initializes an empty data folder for a voter of a new system.
    ///
    /// The voters are the peers of the settings and this replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is not empty or cannot be written.
    pub fn init_voter_folder(settings: &ReplicaSettings) -> Result<(), Error> {
        let mut voters = settings.peers.clone();
        if voters.iter().all(|(id, _)| *id != settings.id) {
            voters.push((settings.id, settings.address));
        }
        let voters = Membership::of_voters(&voters);
        let identity = new_identity(settings);
        DataFolder::init_voter(&settings.data_folder, &settings.system, identity, voters)?;
        Ok(())
    }

    /// Initializes an empty data folder for a replica that is to be added to an existing system.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is not empty or cannot be written.
    pub fn init_joining_folder(settings: &ReplicaSettings) -> Result<(), Error> {
        let identity = new_identity(settings);
        DataFolder::init_joining(&settings.data_folder, &settings.system, identity)?;
        Ok(())
    }

    /// Starts a replica on its data folder. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the data folder is missing, damaged, in use, or belongs to another
    /// replica or system.
    pub fn start(
        settings: ReplicaSettings,
        state_machine: Box<dyn StateMachine>,
        stop: CancellationToken,
    ) -> Result<Self, Error> {
        let (folder, recovered) =
            DataFolder::open(&settings.data_folder, &settings.system, settings.id)?;
        let clock = MonotonicClock::new();
        let rng = Pcg64Mcg::seed_from_u64(rand::random());
        let replica = Replica::new(
            recovered,
            settings.timing,
            settings.limits,
            rng,
            clock.now(),
        );
        let disk_id = replica.identity().disk;
        let (commands, commands_rx) = mpsc::channel(QUEUED_COMMANDS);
        let (inbox, inbox_rx) = mpsc::channel(QUEUED_MESSAGES);
        let (synced, synced_rx) = mpsc::unbounded_channel();
        let (status, status_rx) = watch::channel(ReplicaStatus::from_replica(&replica));
        let (lease, lease_rx) = watch::channel(None);
        let platform = Peer::Platform("threads".to_owned());
        let disk = DiskThread::start(folder, synced)
            .map_err(|error| Error::new(Step::Write, platform, error))?;
        let traffic = Arc::new(TrafficCounter::new());
        let last_heard = Arc::new(Mutex::new(BTreeMap::new()));
        let driver = Driver {
            settings: settings.clone(),
            replica,
            state_machine,
            clock,
            disk,
            peers: Peers::new(settings.token.clone(), traffic.clone(), stop.clone()),
            status,
            lease,
            waiters: Waiters::default(),
            reads: BTreeMap::new(),
            last_read_id: 0,
            addresses: BTreeMap::new(),
            last_heard: last_heard.clone(),
        };
        let inputs = Inputs {
            commands: commands_rx,
            inbox: inbox_rx,
            synced: synced_rx,
        };
        tokio::spawn(driver.run(inputs, stop.clone()));
        Ok(Self {
            settings: Arc::new(settings),
            commands,
            inbox,
            status: status_rx,
            lease: lease_rx,
            traffic,
            last_heard,
            disk_id,
            stop,
        })
    }

    /// Adds the handler of messages from other replicas to a server.
    #[must_use]
    pub fn add_rpc_handlers(&self, server: RpcServer) -> RpcServer {
        peers::add_rpc_handlers(server, self.inbox.clone(), self.stop.clone())
    }

    /// Proposes a command and waits until it is applied. Returns its index and the answer of the
    /// state machine.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer, and whether the command may still commit.
    pub async fn propose(&self, command: Vec<u8>) -> Result<(LogIndex, Vec<u8>), ProposeError> {
        let (tx, rx) = oneshot::channel();
        let not_running = |_| ProposeError::NotLeader { leader: None };
        let command = Command::Propose(command, tx);
        self.commands.send(command).await.map_err(not_running)?;
        rx.await?
    }

    /// Waits until everything committed before the call is applied, and returns the applied index.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica is not confirmed as the leader.
    pub async fn read_barrier(&self) -> Result<LogIndex, ReadError> {
        let (tx, rx) = oneshot::channel();
        let not_running = |_| ReadError::NotLeader { leader: None };
        let command = Command::Read(tx);
        self.commands.send(command).await.map_err(not_running)?;
        match tokio::time::timeout(self.settings.answer_timeout, rx).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(ReadError::NotLeader { leader: None }),
            Err(_) => Err(ReadError::TimedOut),
        }
    }

    /// Adds a replica with a new identity as a learner, which then receives the log.
    ///
    /// # Errors
    ///
    /// Returns why the change was refused or is not known to be committed.
    pub async fn add_learner(&self, id: ReplicaId, address: SocketAddr) -> Result<(), ChangeError> {
        self.change(MembershipChange::AddLearner { id, address })
            .await
    }

    /// Makes a learner that has caught up a voter.
    ///
    /// # Errors
    ///
    /// Returns why the change was refused or is not known to be committed.
    pub async fn promote(&self, id: ReplicaId) -> Result<(), ChangeError> {
        self.change(MembershipChange::Promote { id }).await
    }

    /// Removes a replica permanently.
    ///
    /// # Errors
    ///
    /// Returns why the change was refused or is not known to be committed.
    pub async fn remove(&self, id: ReplicaId) -> Result<(), ChangeError> {
        self.change(MembershipChange::Remove { id }).await
    }

    /// Adds a removed replica that has kept its disk again, as a learner.
    ///
    /// # Errors
    ///
    /// Returns why the change was refused or is not known to be committed.
    pub async fn readmit(
        &self,
        id: ReplicaId,
        address: SocketAddr,
        disk: DiskId,
    ) -> Result<(), ChangeError> {
        self.change(MembershipChange::Readmit { id, address, disk })
            .await
    }

    async fn change(&self, change: MembershipChange) -> Result<(), ChangeError> {
        let (tx, rx) = oneshot::channel();
        let command = Command::Change(change, tx);
        let not_running = |_| ChangeError::NotLeader;
        self.commands.send(command).await.map_err(not_running)?;
        rx.await?
    }

    /// Returns the request of this replica to join the membership.
    #[must_use]
    pub fn join_candidate(&self) -> JoinCandidate {
        JoinCandidate {
            id: self.settings.id,
            address: self.settings.address,
            disk: Some(self.disk_id),
        }
    }

    /// Returns a receiver of the status of the replica, which is updated on each change.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Returns a receiver of the end of the lease of this replica.
    ///
    /// No other replica can lead before it. The value is `None` without a lease.
    #[must_use]
    pub fn lease(&self) -> watch::Receiver<Option<BootInstant>> {
        self.lease.clone()
    }

    /// Returns the counter of the bytes that the replica sent.
    #[must_use]
    pub fn traffic(&self) -> Arc<TrafficCounter> {
        self.traffic.clone()
    }

    /// Returns when the last message of each other replica arrived.
    #[must_use]
    pub fn last_heard(&self) -> BTreeMap<ReplicaId, Instant> {
        let last_heard = self
            .last_heard
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_heard.clone()
    }

    /// Waits until the replica has stopped and its data folder is closed.
    pub async fn wait_until_stopped(&self) {
        let mut status = self.status.clone();
        while status.changed().await.is_ok() {}
    }
}

fn new_identity(settings: &ReplicaSettings) -> ReplicaIdentity {
    ReplicaIdentity {
        id: settings.id,
        disk: new_disk_id(),
    }
}
