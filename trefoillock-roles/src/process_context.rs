//! The settings, clock, tasks and stop tokens that the roles of one process share.

use std::{net::SocketAddr, sync::Arc};

use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use trefoillock_core::{Error, Peer, Step};
use trefoillock_process::{Clock, Event, Settings};
use trefoillock_rpc::Token;

use crate::{ExternalProtocol, admin::Health, event_log::EventLog, metrics::Metrics};

/// The settings, clock, tasks and stop tokens that the roles of one process share.
///
/// A process stops in three stages, each with a token of its own: `stop`, `stop_accepting` and
/// `shutdown`.
#[derive(Clone)]
pub(crate) struct ProcessContext {
    pub(crate) settings: Arc<Settings>,
    pub(crate) clock: Clock,
    pub(crate) token: Token,
    pub(crate) events: EventLog,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) health: Arc<Health>,
    pub(crate) tasks: TaskTracker,
    pub(crate) protocol: Arc<dyn ExternalProtocol>,
    /// Cancelled when the graceful stop begins.
    pub(crate) stop: CancellationToken,
    /// Cancelled after the linger time: the listeners for callers and other nodes close.
    pub(crate) stop_accepting: CancellationToken,
    /// Cancelled when the calls in flight have ended or the stop limit has passed: the links to
    /// other processes, the remaining servers and all background tasks end.
    pub(crate) shutdown: CancellationToken,
}

impl ProcessContext {
    /// Opens a listening socket.
    pub(crate) async fn listen(&self, address: SocketAddr) -> Result<TcpListener, Error> {
        TcpListener::bind(address)
            .await
            .map_err(|e| Error::new(Step::Listen, Peer::Platform(address.to_string()), e))
    }

    /// Runs a server in the background and writes an event with the name of its socket if it fails.
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
