//! Nodes and backend servers in one process, with a fixed configuration.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use tokio::{net::TcpListener, runtime::Runtime, task::JoinHandle};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::BackendInterface;
use trefoillock_core::{
    Announcement, Config, DataCentre, Guard, Incarnation, Member, Members, MembersVersion, NodeId,
    ServerId, Term,
};
use trefoillock_node::NodeContext;
use trefoillock_process::Clock;
use trefoillock_rpc::Token;

/// One node with its own runtime, so that it can die as a process would.
#[derive(Debug)]
pub struct MeshNode {
    id: NodeId,
    entry: SocketAddr,
    peer: SocketAddr,
    cx: Arc<NodeContext>,
    interface: Arc<BackendInterface>,
    stop: CancellationToken,
    leases: CancellationToken,
    serving: Vec<JoinHandle<()>>,
    runtime: Option<Runtime>,
}

impl MeshNode {
    /// Starts a node on free ports.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket or runtime can be had.
    pub fn start(name: &str, token: Token, threads: usize) -> io::Result<Self> {
        let id = NodeId::try_from(name).map_err(io::Error::other)?;
        let data_centre = DataCentre::try_from("dc-a").map_err(io::Error::other)?;
        let clock = Clock::start();
        let interface = Arc::new(BackendInterface::new(clock));
        let servers = interface.servers();
        let incarnation = Incarnation::new(1);
        let cx = NodeContext::new(id.clone(), incarnation, data_centre, token, clock, servers);
        let cx = Arc::new(cx);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build()?;
        let entry = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let peer = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let mut node = Self {
            id,
            entry: entry.local_addr()?,
            peer: peer.local_addr()?,
            cx,
            interface,
            stop: CancellationToken::new(),
            leases: CancellationToken::new(),
            serving: Vec::new(),
            runtime: Some(runtime),
        };
        node.serve(entry, peer)?;
        Ok(node)
    }

    fn serve(
        &mut self,
        entry: std::net::TcpListener,
        peer: std::net::TcpListener,
    ) -> io::Result<()> {
        let Some(runtime) = &self.runtime else {
            return Ok(());
        };
        entry.set_nonblocking(true)?;
        peer.set_nonblocking(true)?;
        let _inside = runtime.enter();
        let entry = TcpListener::from_std(entry)?;
        let peer = TcpListener::from_std(peer)?;
        let interface = self.interface.clone();
        let leases = self.leases.clone();
        runtime.spawn(async move { interface.watch_leases(leases).await });
        let (cx, stop) = (self.cx.clone(), self.stop.clone());
        self.serving
            .push(runtime.spawn(trefoillock_caller::serve(entry, cx, stop)));
        let (cx, stop) = (self.cx.clone(), self.stop.clone());
        self.serving
            .push(runtime.spawn(trefoillock_node::serve_peer(peer, cx, stop)));
        Ok(())
    }

    /// The address for callers.
    #[must_use]
    pub const fn entry(&self) -> SocketAddr {
        self.entry
    }

    /// The identity.
    #[must_use]
    pub const fn id(&self) -> &NodeId {
        &self.id
    }

    /// What its calls share.
    #[must_use]
    pub const fn context(&self) -> &Arc<NodeContext> {
        &self.cx
    }

    /// The interface for the backend servers beside it.
    #[must_use]
    pub const fn interface(&self) -> &Arc<BackendInterface> {
        &self.interface
    }

    /// The member that a backend server beside this node is.
    #[must_use]
    pub fn member(&self, announcement: Announcement) -> Member {
        Member {
            id: ServerId {
                node: self.id.clone(),
                address: announcement.address,
            },
            announcement,
            peer_address: self.peer,
            data_centre: self.cx.data_centre().clone(),
            node_incarnation: self.cx.incarnation(),
        }
    }

    /// The guard that this run of the node is.
    #[must_use]
    pub fn guard(&self) -> Guard {
        Guard {
            node: self.id.clone(),
            incarnation: self.cx.incarnation(),
            peer_address: self.peer,
            data_centre: self.cx.data_centre().clone(),
        }
    }

    /// Whether the process of the node runs.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.runtime.is_some()
    }

    /// Stops the node gracefully and waits until all calls in flight have ended.
    pub async fn stop(&mut self) {
        self.stop.cancel();
        for serving in self.serving.drain(..) {
            let _ = serving.await;
        }
        self.leases.cancel();
    }

    /// Starts a graceful stop without waiting for it.
    pub fn begin_stop(&self) {
        self.stop.cancel();
    }

    /// Ends the node as the death of its process would.
    pub fn crash(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for MeshNode {
    fn drop(&mut self) {
        self.crash();
    }
}

/// A list of members in which each backend server stands beside a node.
#[must_use]
pub fn members(sequence: u64, placed: impl IntoIterator<Item = Member>) -> Members {
    let servers: BTreeMap<_, _> = placed
        .into_iter()
        .map(|member| (member.id.clone(), Arc::new(member)))
        .collect();
    Members {
        version: MembersVersion::new(Term::new(1), sequence),
        servers,
        quarantined: BTreeMap::new(),
    }
}

/// Gives all nodes the same configuration and list of members.
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
