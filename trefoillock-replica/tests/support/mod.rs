//! Helpers for tests with running replicas.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trefoillock_core::{LogIndex, ReplicaId, Term};
use trefoillock_replica::{
    ReplicaHandle, ReplicaRole, ReplicaSettings, RestoreError, StateMachine, Timing,
};
use trefoillock_rpc::{RpcServer, Token};

/// The time after which a test that waits counts as hung.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_mins(1);

/// A state machine that records its commands.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecordingStateMachine(Arc<Mutex<Vec<Vec<u8>>>>);

impl RecordingStateMachine {
    /// Returns the commands applied so far.
    pub(crate) fn commands(&self) -> Vec<Vec<u8>> {
        self.0.lock().expect("lock").clone()
    }
}

impl StateMachine for RecordingStateMachine {
    fn apply(&mut self, _: LogIndex, _: Term, command: &[u8]) -> Vec<u8> {
        let mut commands = self.0.lock().expect("lock");
        commands.push(command.to_vec());
        commands.len().to_string().into_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        let commands = self.commands();
        commands.join(&b'\n')
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let commands = snapshot.split(|&byte| byte == b'\n');
        *self.0.lock().expect("lock") = commands.map(<[u8]>::to_vec).collect();
        Ok(())
    }
}

/// A replica with its state machine and the token that stops it and its server.
pub(crate) struct RunningReplica {
    pub(crate) handle: ReplicaHandle,
    pub(crate) state_machine: RecordingStateMachine,
    pub(crate) stop: CancellationToken,
}

impl RunningReplica {
    /// Stops the replica and waits until its data folder is closed.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.handle.wait_until_stopped().await;
    }
}

/// Short timing, so that tests run fast.
pub(crate) fn timing() -> Timing {
    Timing {
        heartbeat: Duration::from_millis(50),
        election_min: Duration::from_millis(500),
        election_max: Duration::from_secs(1),
        lease: Duration::from_millis(300),
        max_clock_step: Duration::from_millis(150),
    }
}

/// Binds a free port on the loopback interface.
pub(crate) async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Binds an address as soon as it is free.
pub(crate) async fn listener_at(address: SocketAddr) -> TcpListener {
    let attempts = async {
        loop {
            match TcpListener::bind(address).await {
                Ok(listener) => return listener,
                Err(error) => assert_eq!(error.kind(), ErrorKind::AddrInUse),
            }
            tokio::task::yield_now().await;
        }
    };
    let waited = tokio::time::timeout(HANG_TIMEOUT, attempts).await;
    waited.expect("a free port in time")
}

/// Returns the settings of a replica with a data folder below `root`.
pub(crate) fn settings(root: &Path, id: u64, address: SocketAddr) -> ReplicaSettings {
    let folder = root.join(id.to_string());
    ReplicaSettings::new("test", ReplicaId::new(id), address, folder)
        .timing(timing())
        .token(Token::new("secret"))
}

/// Starts a replica and serves its calls.
pub(crate) fn start(settings: ReplicaSettings, listener: TcpListener) -> RunningReplica {
    let stop = CancellationToken::new();
    let state_machine = RecordingStateMachine::default();
    let boxed = Box::new(state_machine.clone());
    let handle = ReplicaHandle::start(settings, boxed, stop.clone()).expect("a replica");
    let server = RpcServer::new(Token::new("secret"), Arc::default());
    let server = handle.add_rpc_handlers(server);
    tokio::spawn(server.serve(listener, stop.clone()));
    RunningReplica {
        handle,
        state_machine,
        stop,
    }
}

/// Waits until one of the replicas leads with a lease. Returns its index in `replicas`.
pub(crate) async fn wait_for_leader(replicas: &[RunningReplica]) -> usize {
    let waits = replicas.iter().map(|replica| {
        let mut status = replica.handle.status();
        Box::pin(async move {
            let leads = |s: &trefoillock_replica::ReplicaStatus| {
                s.role == ReplicaRole::Leader && s.lease_until.is_some()
            };
            if status.wait_for(leads).await.is_err() {
                std::future::pending::<()>().await;
            }
        })
    });
    let any = futures::future::select_all(waits);
    let ((), leader_index, _) = tokio::time::timeout(HANG_TIMEOUT, any)
        .await
        .expect("a leader");
    leader_index
}

/// Waits until a replica has applied an index.
pub(crate) async fn wait_until_applied(replica: &RunningReplica, index: LogIndex) {
    let mut status = replica.handle.status();
    let wait = status.wait_for(|s| s.applied >= index);
    let waited = tokio::time::timeout(HANG_TIMEOUT, wait).await;
    waited.expect("applied in time").expect("a running replica");
}
