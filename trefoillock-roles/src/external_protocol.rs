//! The protocols that a process uses with callers, backend servers and operators.

use std::{sync::Arc, time::Duration};

use futures::{FutureExt, future::BoxFuture};
use http::HeaderName;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trefoillock_backend::{BackendRegistry, DefaultDialect, Dialect, LEASE_DURATION};
use trefoillock_core::Error;
use trefoillock_node::NodeContext;
use trefoillock_operator::OperatorService;
use trefoillock_rpc::Token;

use crate::Readiness;

/// The protocols that a process uses with callers, backend servers and operators.
///
/// The roles behind it do not depend on the implementation. Every future returned by a `serve_`
/// method ends once its `stop` token is cancelled and the requests in flight have ended.
pub trait ExternalProtocol: Send + Sync + 'static {
    /// Returns the headers that a node exchanges with backend servers.
    fn dialect(&self) -> Arc<dyn Dialect>;

    /// Returns how long an announcement of a backend server is valid without being renewed.
    fn announcement_lease(&self) -> Duration;

    /// Returns the request header whose value identifies a request in log lines. `None` if callers
    /// send no such header.
    fn request_id_header(&self) -> Option<HeaderName> {
        None
    }

    /// Serves the calls of callers.
    fn serve_callers(
        &self,
        listener: TcpListener,
        node: Arc<NodeContext>,
        stop: CancellationToken,
    ) -> BoxFuture<'static, ()>;

    /// Serves the announcements of the backend servers beside the node.
    fn serve_backend(
        &self,
        listener: TcpListener,
        registry: Arc<BackendRegistry>,
        stop: CancellationToken,
    ) -> BoxFuture<'static, Result<(), Error>>;

    /// Serves the requests of operators.
    fn serve_operators(
        &self,
        listener: TcpListener,
        service: Arc<dyn OperatorService>,
        stop: CancellationToken,
    ) -> BoxFuture<'static, Result<(), Error>>;

    /// Runs additional servers of the protocol, such as a readiness endpoint, until `stop` is
    /// cancelled. By default there are none.
    fn run_extra_servers(
        &self,
        readiness: Readiness,
        stop: CancellationToken,
    ) -> BoxFuture<'static, ()> {
        let _ = (readiness, stop);
        futures::future::ready(()).boxed()
    }
}

/// The project's own protocols, used unless a program provides others.
#[derive(Debug)]
pub struct DefaultProtocol {
    token: Token,
}

impl DefaultProtocol {
    /// Creates the protocols. Requests of operators must carry `token`.
    #[must_use]
    pub const fn new(token: Token) -> Self {
        Self { token }
    }
}

impl ExternalProtocol for DefaultProtocol {
    fn dialect(&self) -> Arc<dyn Dialect> {
        Arc::new(DefaultDialect)
    }

    fn announcement_lease(&self) -> Duration {
        LEASE_DURATION
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
        registry: Arc<BackendRegistry>,
        stop: CancellationToken,
    ) -> BoxFuture<'static, Result<(), Error>> {
        trefoillock_backend::serve(listener, registry, stop).boxed()
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
