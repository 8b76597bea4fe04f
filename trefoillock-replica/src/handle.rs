//! The handle of a running replica.

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
use trefoillock_rpc::{RpcServer, Traffic};

use crate::{
    ChangeError, DataFolder, Envelope, Membership, MembershipChange, ProposeError, ReadError,
    Replica, ReplicaSettings, ReplicaStatus, Sender, StateMachine,
    disk_thread::DiskThread,
    driver::{Command, Driver, Inputs},
    monotonic_clock::MonotonicClock,
    new_disk_id,
    peers::{self, Peers},
    waiters::Waiters,
};

/// The number of commands that wait for the replica's task.
const QUEUED_COMMANDS: usize = 1_024;
/// The number of messages that wait for the replica's task.
const QUEUED_MESSAGES: usize = 1_024;

/// A running replica. Clones belong to the same replica.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    settings: Arc<ReplicaSettings>,
    commands: mpsc::Sender<Command>,
    inbox: mpsc::Sender<Envelope>,
    status: watch::Receiver<ReplicaStatus>,
    lease: watch::Receiver<Option<Instant>>,
    traffic: Arc<Traffic>,
    heard: Arc<Mutex<BTreeMap<ReplicaId, Instant>>>,
    stop: CancellationToken,
}

impl ReplicaHandle {
    /// Makes an empty data folder that of a voter of a new system, with the settings' peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is not empty or cannot be written.
    pub fn bootstrap(settings: &ReplicaSettings) -> Result<(), Error> {
        let mut voters = settings.peers.clone();
        if voters.iter().all(|(id, _)| *id != settings.id) {
            voters.push((settings.id, settings.address));
        }
        let voters = Membership::of_voters(&voters);
        let identity = new_identity(settings);
        DataFolder::bootstrap(&settings.data_folder, &settings.system, identity, voters)?;
        Ok(())
    }

    /// Makes an empty data folder that of a replica that waits to be added to a system.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is not empty or cannot be written.
    pub fn join(settings: &ReplicaSettings) -> Result<(), Error> {
        let identity = new_identity(settings);
        DataFolder::join(&settings.data_folder, &settings.system, identity)?;
        Ok(())
    }

    /// Starts a replica on its data folder. It must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the data folder is missing, foreign, damaged or in use.
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
        let (commands, commands_rx) = mpsc::channel(QUEUED_COMMANDS);
        let (inbox, inbox_rx) = mpsc::channel(QUEUED_MESSAGES);
        let (synced, synced_rx) = mpsc::unbounded_channel();
        let (status, status_rx) = watch::channel(ReplicaStatus::of(&replica));
        let (lease, lease_rx) = watch::channel(None);
        let platform = Peer::Platform("threads".to_owned());
        let disk = DiskThread::start(folder, synced)
            .map_err(|error| Error::new(Step::Write, platform, error))?;
        let traffic = Arc::new(Traffic::new());
        let heard = Arc::new(Mutex::new(BTreeMap::new()));
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
            last_read: 0,
            addresses: BTreeMap::new(),
            heard: heard.clone(),
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
            heard,
            stop,
        })
    }

    /// Adds the handlers of the calls between replicas to a server.
    #[must_use]
    pub fn rpc_routes(&self, server: RpcServer) -> RpcServer {
        peers::routes(server, self.inbox.clone(), self.stop.clone())
    }

    /// Proposes a command. Returns its index and the state machine's answer once it is applied.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer, and whether the command may yet commit.
    pub async fn propose(&self, command: Vec<u8>) -> Result<(LogIndex, Vec<u8>), ProposeError> {
        let (tx, rx) = oneshot::channel();
        let not_running = |_| ProposeError::NotLeader { leader: None };
        let command = Command::Propose(command, tx);
        self.commands.send(command).await.map_err(not_running)?;
        rx.await?
    }

    /// Waits until the state machine's state is at least as new as at the time of the call.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica cannot prove that it leads.
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

    /// Adds a replica with a new identity as a non-voter, which then catches up.
    ///
    /// # Errors
    ///
    /// Returns why the change was refused or is not known to be committed.
    pub async fn add_learner(&self, id: ReplicaId, address: SocketAddr) -> Result<(), ChangeError> {
        self.change(MembershipChange::AddLearner { id, address })
            .await
    }

    /// Makes a non-voter that has caught up a voter.
    ///
    /// # Errors
    ///
    /// Returns why the change was refused or is not known to be committed.
    pub async fn promote(&self, id: ReplicaId) -> Result<(), ChangeError> {
        self.change(MembershipChange::Promote { id }).await
    }

    /// Removes a replica for good.
    ///
    /// # Errors
    ///
    /// Returns why the change was refused or is not known to be committed.
    pub async fn remove(&self, id: ReplicaId) -> Result<(), ChangeError> {
        self.change(MembershipChange::Remove { id }).await
    }

    async fn change(&self, change: MembershipChange) -> Result<(), ChangeError> {
        let (tx, rx) = oneshot::channel();
        let command = Command::Change(change, tx);
        let not_running = |_| ChangeError::NotLeader;
        self.commands.send(command).await.map_err(not_running)?;
        rx.await?
    }

    /// The replica's state, as it changes.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// The instant until which no other replica can lead, while this one leads.
    #[must_use]
    pub fn lease(&self) -> watch::Receiver<Option<Instant>> {
        self.lease.clone()
    }

    /// The bytes of messages that the replica sent.
    #[must_use]
    pub fn traffic(&self) -> Arc<Traffic> {
        self.traffic.clone()
    }

    /// When each other replica was last heard of.
    #[must_use]
    pub fn heard(&self) -> BTreeMap<ReplicaId, Instant> {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.clone()
    }

    /// Waits until the replica has stopped and its data folder is closed.
    pub async fn stopped(&self) {
        let mut status = self.status.clone();
        while status.changed().await.is_ok() {}
    }
}

fn new_identity(settings: &ReplicaSettings) -> Sender {
    Sender {
        id: settings.id,
        disk: new_disk_id(),
    }
}
