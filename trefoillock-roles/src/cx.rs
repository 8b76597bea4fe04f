//! What the roles of one process share.

use std::{net::SocketAddr, sync::Arc};

use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use trefoillock_core::{Error, Peer, Step};
use trefoillock_process::{Clock, Event, Settings};
use trefoillock_rpc::Token;

use crate::{Edges, admin::Health, events::EventLog, metrics::Metrics};

/// What the roles of one process share.
#[derive(Clone)]
pub(crate) struct Cx {
    pub(crate) settings: Arc<Settings>,
    pub(crate) clock: Clock,
    pub(crate) token: Token,
    pub(crate) events: EventLog,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) health: Arc<Health>,
    pub(crate) tasks: TaskTracker,
    pub(crate) edges: Arc<dyn Edges>,
    /// Cancelled when the graceful stop begins.
    pub(crate) stop: CancellationToken,
    /// Cancelled when no more connections of callers and other nodes are taken.
    pub(crate) close: CancellationToken,
    /// Cancelled when calls in flight have ended and the links to other processes may close.
    pub(crate) finish: CancellationToken,
}

impl Cx {
    /// Opens a listening socket.
    pub(crate) async fn listen(&self, address: SocketAddr) -> Result<TcpListener, Error> {
        TcpListener::bind(address)
            .await
            .map_err(|e| Error::new(Step::Listen, Peer::Platform(address.to_string()), e))
    }

    /// Runs a server and writes an event if it fails.
    pub(crate) fn spawn_server<F, E>(&self, socket: &'static str, server: F)
    where
        F: Future<Output = Result<(), E>> + Send + 'static,
        E: std::fmt::Display + Send,
    {
        let events = self.events;
        self.tasks.spawn(async move {
            if let Err(error) = server.await {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("socket", &socket), ("error", &error)];
                events.write(Event::ListenerFailed, &fields);
            }
        });
    }
}
