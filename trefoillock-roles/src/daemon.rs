//! Starts the roles of a process and stops them gracefully.

use std::sync::{Arc, atomic::Ordering};

use tokio_util::{sync::CancellationToken, task::TaskTracker};
use trefoillock_core::{Config, Error, Members};
use trefoillock_node::NodeView;
use trefoillock_process::{Clock, Event, Settings};
use trefoillock_rpc::Token;

use crate::{
    DefaultProtocol, ExternalProtocol, Readiness,
    admin::{self, Health},
    control_role::ControlRole,
    event_log::EventLog,
    metrics::Metrics,
    node_role::NodeRole,
    process_context::ProcessContext,
};

/// A running daemon. Dropping it leaves its tasks running: only [`Self::run_until_stopped`] ends
/// them, after the `stop` token has been cancelled.
pub struct Daemon {
    context: ProcessContext,
    node: Option<NodeRole>,
    control: Option<ControlRole>,
}

impl Daemon {
    /// Starts the roles that the settings name, with the project's own protocols. Cancelling `stop`
    /// begins the graceful stop.
    ///
    /// Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or the data folder cannot be opened.
    pub async fn start(settings: Settings, stop: CancellationToken) -> Result<Self, Error> {
        let token = shared_token(&settings);
        Self::start_with_protocol(settings, Arc::new(DefaultProtocol::new(token)), stop).await
    }

    /// Starts the roles that the settings name, with the given protocols towards callers, backend
    /// servers and operators. Cancelling `stop` begins the graceful stop.
    ///
    /// Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or the data folder cannot be opened.
    pub async fn start_with_protocol(
        settings: Settings,
        protocol: Arc<dyn ExternalProtocol>,
        stop: CancellationToken,
    ) -> Result<Self, Error> {
        let clock = Clock::start();
        let events = EventLog::new(clock, settings.log.format);
        let token = shared_token(&settings);
        let context = ProcessContext {
            settings: Arc::new(settings),
            clock,
            token,
            events,
            metrics: Arc::new(Metrics::new()),
            health: Arc::new(Health::default()),
            tasks: TaskTracker::new(),
            protocol,
            stop,
            stop_accepting: CancellationToken::new(),
            shutdown: CancellationToken::new(),
        };
        let admin = context.listen(context.settings.admin).await?;
        let control = match context.settings.control.clone() {
            Some(control) => Some(ControlRole::start(&context, &control).await?),
            None => None,
        };
        let node = match context.settings.node.clone() {
            Some(node) => Some(NodeRole::start(&context, &node).await?),
            None => None,
        };
        let admin_server = admin::serve(
            admin,
            context.health.clone(),
            context.metrics.clone(),
            context.shutdown.clone(),
        );
        context.spawn_server("admin", admin_server);
        let readiness = Readiness(context.health.clone());
        context.tasks.spawn(
            context
                .protocol
                .run_extra_servers(readiness, context.shutdown.clone()),
        );
        let (name, version) = (&context.settings.name, env!("CARGO_PKG_VERSION"));
        events.write(
            Event::ProcessStarted,
            &[("process", name), ("version", &version)],
        );
        Ok(Self {
            context,
            node,
            control,
        })
    }

    /// Returns a read-only view of the daemon that stays valid while the daemon runs.
    #[must_use]
    pub fn observer(&self) -> DaemonObserver {
        DaemonObserver {
            view: self.node.as_ref().map(NodeRole::view),
            metrics: self.context.metrics.clone(),
        }
    }

    /// Waits until `stop` is cancelled or the control replica fails, then stops gracefully.
    ///
    /// The process reports itself as not ready. A node keeps accepting connections for the linger
    /// time, then closes its listeners and waits for the calls in flight up to the stop limit.
    /// Last, the links to other processes are closed and the control replica ends.
    ///
    /// # Errors
    ///
    /// Returns the failure of the control replica, if that is what began the stop.
    pub async fn run_until_stopped(self) -> Result<(), Error> {
        let failed = if let Some(control) = &self.control {
            tokio::select! {
                () = self.context.stop.cancelled() => None,
                failure = control.wait_for_failure() => Some(failure),
            }
        } else {
            self.context.stop.cancelled().await;
            None
        };
        self.context.stop.cancel();
        self.context.events.write(Event::StopRequested, &[]);
        self.context.health.stopping.store(true, Ordering::Relaxed);
        let stop_settings = self.context.settings.stop;
        if let Some(node) = self.node {
            if let Some(limit) = stop_settings.limit() {
                node.begin_stop(limit);
            }
            tokio::time::sleep(stop_settings.linger()).await;
            node.refuse_calls_to_cut();
            self.context.stop_accepting.cancel();
            match stop_settings.drain_timeout() {
                Some(drain_timeout) => {
                    let drained =
                        tokio::time::timeout(drain_timeout, node.wait_until_drained()).await;
                    if drained.is_err() {
                        self.context.events.write(Event::CallsCut, &[]);
                    }
                }
                None => node.wait_until_drained().await,
            }
        }
        self.context.stop_accepting.cancel();
        self.context.shutdown.cancel();
        self.context.tasks.close();
        self.context.tasks.wait().await;
        if let Some(control) = self.control {
            match stop_settings.drain_timeout() {
                // A hanging disk must not keep the process alive. Writes that are not synced yet
                // were never acknowledged, so nothing acknowledged is lost.
                Some(drain_timeout) => {
                    drop(tokio::time::timeout(drain_timeout, control.wait_until_closed()).await);
                }
                None => control.wait_until_closed().await,
            }
        }
        self.context.events.write(Event::ProcessStopped, &[]);
        failed.map_or(Ok(()), Err)
    }
}

/// A read-only view of a running daemon, for demonstrations and measurements.
#[derive(Debug, Clone)]
pub struct DaemonObserver {
    view: Option<Arc<NodeView>>,
    metrics: Arc<Metrics>,
}

impl DaemonObserver {
    /// Returns the configuration that the node uses for calls. `None` if the process is not a node
    /// or has no configuration yet.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.view.as_ref()?.config()
    }

    /// Returns the node's current member list. `None` if the process is not a node.
    #[must_use]
    pub fn members(&self) -> Option<Arc<Members>> {
        Some(self.view.as_ref()?.members())
    }

    /// Returns the number of bytes of control messages that the process had sent when the metrics
    /// were last updated.
    #[must_use]
    pub fn control_bytes_sent(&self) -> u64 {
        self.metrics.control_sent.get()
    }
}

fn shared_token(settings: &Settings) -> Token {
    let token = settings.token.as_deref();
    token.map_or_else(Token::none, Token::new)
}
