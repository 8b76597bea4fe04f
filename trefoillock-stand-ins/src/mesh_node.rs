//! A node with its own runtime, and functions that publish a configuration and a list of members
//! to nodes.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use tokio::{net::TcpListener, runtime::Runtime, task::JoinHandle};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::BackendRegistry;
use trefoillock_core::{
    Announcement, Config, DataCentre, Guard, Incarnation, Member, Members, MembersVersion, NodeId,
    ServerId, Term,
};
use trefoillock_node::NodeContext;
use trefoillock_process::Clock;
use trefoillock_rpc::Token;

/// The longest time to wait for the tasks of a killed node.
const CRASH_TIMEOUT: Duration = Duration::from_secs(5);

/// A node with its own runtime, so that a test can kill it as if it were a process.
#[derive(Debug)]
pub struct MeshNode {
    id: NodeId,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    cx: Arc<NodeContext>,
    registry: Arc<BackendRegistry>,
    stop: CancellationToken,
    stop_leases: CancellationToken,
    server_tasks: Vec<JoinHandle<()>>,
    runtime: Option<Runtime>,
}

impl MeshNode {
    /// Starts a node on free loopback ports with a number of worker threads.
    ///
    /// # Errors
    ///
    /// Returns an error if the sockets or the runtime cannot be created.
    pub fn start(name: &str, token: Token, threads: usize) -> io::Result<Self> {
        let data_centre = DataCentre::try_from("dc-a").map_err(io::Error::other)?;
        Self::start_in(data_centre, name, token, threads)
    }

    /// Starts a node as [`Self::start`] does, in a given data centre.
    ///
    /// # Errors
    ///
    /// Returns an error if the sockets or the runtime cannot be created.
    pub fn start_in(
        data_centre: DataCentre,
        name: &str,
        token: Token,
        threads: usize,
    ) -> io::Result<Self> {
        let id = NodeId::try_from(name).map_err(io::Error::other)?;
        let clock = Clock::start();
        let registry = Arc::new(BackendRegistry::new(clock));
        let servers = registry.servers();
        let incarnation = Incarnation::new(1);
        let cx = NodeContext::new(id.clone(), incarnation, data_centre, token, clock, servers);
        let cx = Arc::new(cx);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build()?;
        let caller_listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let peer_listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let mut node = Self {
            id,
            caller_address: caller_listener.local_addr()?,
            peer_address: peer_listener.local_addr()?,
            cx,
            registry,
            stop: CancellationToken::new(),
            stop_leases: CancellationToken::new(),
            server_tasks: Vec::new(),
            runtime: Some(runtime),
        };
        node.serve(caller_listener, peer_listener)?;
        Ok(node)
    }

    /// Starts the tasks that serve callers and peers and expire the backend servers' leases.
    fn serve(
        &mut self,
        caller_listener: std::net::TcpListener,
        peer_listener: std::net::TcpListener,
    ) -> io::Result<()> {
        let Some(runtime) = &self.runtime else {
            return Ok(());
        };
        caller_listener.set_nonblocking(true)?;
        peer_listener.set_nonblocking(true)?;
        let _runtime_guard = runtime.enter();
        let caller_listener = TcpListener::from_std(caller_listener)?;
        let peer_listener = TcpListener::from_std(peer_listener)?;
        let registry = self.registry.clone();
        let stop_leases = self.stop_leases.clone();
        runtime.spawn(async move { registry.watch_leases(stop_leases).await });
        let (cx, stop) = (self.cx.clone(), self.stop.clone());
        self.server_tasks
            .push(runtime.spawn(trefoillock_caller::serve(caller_listener, cx, stop)));
        let (cx, stop) = (self.cx.clone(), self.stop.clone());
        self.server_tasks
            .push(runtime.spawn(trefoillock_node::serve_peer(peer_listener, cx, stop)));
        Ok(())
    }

    /// The address at which the node takes calls from callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// The identity of the node.
    #[must_use]
    pub const fn id(&self) -> &NodeId {
        &self.id
    }

    /// The context that all calls at this node share.
    #[must_use]
    pub const fn context(&self) -> &Arc<NodeContext> {
        &self.cx
    }

    /// The registry to which the backend servers beside the node announce themselves.
    #[must_use]
    pub const fn registry(&self) -> &Arc<BackendRegistry> {
        &self.registry
    }

    /// The entry in the list of members for a backend server beside this node.
    #[must_use]
    pub fn member(&self, announcement: Announcement) -> Member {
        Member {
            id: ServerId {
                node: self.id.clone(),
                address: announcement.address,
            },
            announcement,
            peer_address: self.peer_address,
            data_centre: self.cx.data_centre().clone(),
            node_incarnation: self.cx.incarnation(),
        }
    }

    /// The guard entry for this incarnation of the node.
    #[must_use]
    pub fn guard(&self) -> Guard {
        Guard {
            node: self.id.clone(),
            incarnation: self.cx.incarnation(),
            peer_address: self.peer_address,
            data_centre: self.cx.data_centre().clone(),
        }
    }

    /// Whether the node has not crashed.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.runtime.is_some()
    }

    /// Stops the node gracefully and waits for the calls in flight.
    pub async fn stop(&mut self) {
        self.stop.cancel();
        for task in self.server_tasks.drain(..) {
            let _ = task.await;
        }
        self.stop_leases.cancel();
    }

    /// Starts a graceful stop without waiting for it.
    pub fn begin_stop(&self) {
        self.stop.cancel();
    }

    /// Kills the node: drops all its tasks and connections, and returns when they are closed.
    pub fn crash(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // A runtime must not be waited for on a thread of another one.
            let crash = std::thread::spawn(move || runtime.shutdown_timeout(CRASH_TIMEOUT));
            if crash.join().is_err() {
                log::error!("the runtime of a crashed node panicked");
            }
        }
    }
}

impl Drop for MeshNode {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Builds a list of members with version (term 1, `sequence`).
#[must_use]
pub fn members(sequence: u64, members: impl IntoIterator<Item = Member>) -> Members {
    let servers: BTreeMap<_, _> = members
        .into_iter()
        .map(|member| (member.id.clone(), Arc::new(member)))
        .collect();
    Members {
        version: MembersVersion::new(Term::new(1), sequence),
        servers,
        quarantined: BTreeMap::new(),
    }
}

/// Sets the configuration and the list of members of all nodes.
pub fn publish<'a>(
    nodes: impl IntoIterator<Item = &'a MeshNode>,
    config: &Arc<Config>,
    members: &Arc<Members>,
) {
    for node in nodes {
        node.cx.view().set_config(config.clone());
        node.cx.view().set_members(members.clone());
    }
}
