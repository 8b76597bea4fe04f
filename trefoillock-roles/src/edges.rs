//! The interfaces of a process towards callers, backend servers and operators.

use std::{sync::Arc, time::Duration};

use futures::{FutureExt, future::BoxFuture};
use http::HeaderName;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trefoillock_backend::{BackendInterface, Dialect, LEASE, OwnDialect};
use trefoillock_core::Error;
use trefoillock_node::NodeContext;
use trefoillock_operator::OperatorService;
use trefoillock_rpc::Token;

use crate::Readiness;

/// What a process speaks with the outside. The roles behind it are the same for all.
///
/// Every served interface ends once its token is cancelled and what is in flight has ended.
pub trait Edges: Send + Sync + 'static {
    /// How backend servers are spoken to.
    fn dialect(&self) -> Arc<dyn Dialect>;

    /// The time for which an announcement of a backend server lasts.
    fn announcement_lease(&self) -> Duration;

    /// The header that names a request in log lines, if callers send one.
    fn request_id_header(&self) -> Option<HeaderName> {
        None
    }

    /// Takes the calls of callers.
    fn serve_callers(
        &self,
        listener: TcpListener,
        node: Arc<NodeContext>,
        stop: CancellationToken,
    ) -> BoxFuture<'static, ()>;

    /// Takes the announcements of the backend servers beside the node.
    fn serve_backend(
        &self,
        listener: TcpListener,
        interface: Arc<BackendInterface>,
        stop: CancellationToken,
    ) -> BoxFuture<'static, Result<(), Error>>;

    /// Takes the requests of operators.
    fn serve_operators(
        &self,
        listener: TcpListener,
        service: Arc<dyn OperatorService>,
        stop: CancellationToken,
    ) -> BoxFuture<'static, Result<(), Error>>;

    /// Runs whatever else the edge serves, such as an interface that tells readiness.
    fn run(&self, readiness: Readiness, stop: CancellationToken) -> BoxFuture<'static, ()> {
        let _ = (readiness, stop);
        futures::future::ready(()).boxed()
    }
}

/// The project's own interfaces.
#[derive(Debug)]
pub struct OwnEdges {
    token: Token,
}

impl OwnEdges {
    /// Creates the interfaces; requests of operators must carry the token.
    #[must_use]
    pub const fn new(token: Token) -> Self {
        Self { token }
    }
}

impl Edges for OwnEdges {
    fn dialect(&self) -> Arc<dyn Dialect> {
        Arc::new(OwnDialect)
    }

    fn announcement_lease(&self) -> Duration {
        LEASE
    }

    fn serve_callers(
        &self,
        listener: TcpListener,
        node: Arc<NodeContext>,
        stop: CancellationToken,
    ) -> BoxFuture<'static, ()> {
        trefoillock_caller::serve(listener, node, stop).boxed()
    }

    fn serve_backend(
        &self,
        listener: TcpListener,
        interface: Arc<BackendInterface>,
        stop: CancellationToken,
    ) -> BoxFuture<'static, Result<(), Error>> {
        trefoillock_backend::serve(listener, interface, stop).boxed()
    }

    fn serve_operators(
        &self,
        listener: TcpListener,
        service: Arc<dyn OperatorService>,
        stop: CancellationToken,
    ) -> BoxFuture<'static, Result<(), Error>> {
        trefoillock_operator::serve(listener, service, self.token.clone(), stop).boxed()
    }
}
