//! A running daemon.

use std::sync::{Arc, atomic::Ordering};

use tokio_util::{sync::CancellationToken, task::TaskTracker};
use trefoillock_core::{Config, Error, Members};
use trefoillock_node::NodeView;
use trefoillock_process::{Clock, Event, Settings};
use trefoillock_rpc::Token;

use crate::{
    Edges, OwnEdges, Readiness,
    admin::{self, Health},
    control_role::ControlRole,
    cx::Cx,
    events::EventLog,
    metrics::Metrics,
    node_role::NodeRole,
};

/// A running daemon. Dropping it does not stop it; cancel its token.
pub struct Daemon {
    cx: Cx,
    node: Option<NodeRole>,
    control: Option<ControlRole>,
}

impl Daemon {
    /// Starts the roles that the settings name. Cancelling `stop` begins the graceful stop.
    ///
    /// It must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or the data folder cannot be opened.
    pub async fn start(settings: Settings, stop: CancellationToken) -> Result<Self, Error> {
        let token = token_of(&settings);
        Self::start_with(settings, Arc::new(OwnEdges::new(token)), stop).await
    }

    /// Starts the roles that the settings name behind the given interfaces.
    ///
    /// It must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket or the data folder cannot be opened.
    pub async fn start_with(
        settings: Settings,
        edges: Arc<dyn Edges>,
        stop: CancellationToken,
    ) -> Result<Self, Error> {
        let clock = Clock::start();
        let events = EventLog::new(clock, settings.log.format);
        let token = token_of(&settings);
        let cx = Cx {
            settings: Arc::new(settings),
            clock,
            token,
            events,
            metrics: Arc::new(Metrics::new()),
            health: Arc::new(Health::default()),
            tasks: TaskTracker::new(),
            edges,
            stop,
            close: CancellationToken::new(),
            finish: CancellationToken::new(),
        };
        let admin = cx.listen(cx.settings.admin).await?;
        let control = match cx.settings.control.clone() {
            Some(control) => Some(ControlRole::start(&cx, &control).await?),
            None => None,
        };
        let node = match cx.settings.node.clone() {
            Some(node) => Some(NodeRole::start(&cx, &node).await?),
            None => None,
        };
        let served = admin::serve(
            admin,
            cx.health.clone(),
            cx.metrics.clone(),
            cx.finish.clone(),
        );
        cx.spawn_server("admin", served);
        let readiness = Readiness(cx.health.clone());
        cx.tasks.spawn(cx.edges.run(readiness, cx.finish.clone()));
        let (name, version) = (&cx.settings.name, env!("CARGO_PKG_VERSION"));
        events.write(
            Event::ProcessStarted,
            &[("process", name), ("version", &version)],
        );
        Ok(Self { cx, node, control })
    }

    /// What can be seen of the daemon from outside while it runs.
    #[must_use]
    pub fn observer(&self) -> Observer {
        Observer {
            view: self.node.as_ref().map(NodeRole::view),
            metrics: self.cx.metrics.clone(),
        }
    }

    /// Waits until the stop begins and all calls in flight have ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the control replica failed.
    pub async fn stopped(self) -> Result<(), Error> {
        let failed = if let Some(control) = &self.control {
            tokio::select! {
                () = self.cx.stop.cancelled() => None,
                failure = control.failed() => Some(failure),
            }
        } else {
            self.cx.stop.cancelled().await;
            None
        };
        self.cx.stop.cancel();
        self.cx.events.write(Event::StopRequested, &[]);
        self.cx.health.stopping.store(true, Ordering::Relaxed);
        let how = self.cx.settings.stop;
        if let Some(node) = self.node {
            tokio::time::sleep(how.linger()).await;
            self.cx.close.cancel();
            match how.patience() {
                Some(patience) => {
                    let drained = tokio::time::timeout(patience, node.drained()).await;
                    if drained.is_err() {
                        self.cx.events.write(Event::CallsCut, &[]);
                    }
                }
                None => node.drained().await,
            }
        }
        self.cx.close.cancel();
        self.cx.finish.cancel();
        self.cx.tasks.close();
        self.cx.tasks.wait().await;
        if let Some(control) = self.control {
            match how.patience() {
                // A disk that hangs keeps no process; what it has not synced was not promised.
                Some(patience) => drop(tokio::time::timeout(patience, control.stopped()).await),
                None => control.stopped().await,
            }
        }
        self.cx.events.write(Event::ProcessStopped, &[]);
        failed.map_or(Ok(()), Err)
    }
}

/// What can be seen of a daemon from outside while it runs, for demonstrations.
#[derive(Debug, Clone)]
pub struct Observer {
    view: Option<Arc<NodeView>>,
    metrics: Arc<Metrics>,
}

impl Observer {
    /// The configuration that the node serves calls by, once there is one.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.view.as_ref()?.config()
    }

    /// The list of members that the node holds.
    #[must_use]
    pub fn members(&self) -> Option<Arc<Members>> {
        Some(self.view.as_ref()?.members())
    }

    /// The bytes of control messages that the process sent.
    #[must_use]
    pub fn control_bytes_sent(&self) -> u64 {
        self.metrics.control_sent.get()
    }
}

fn token_of(settings: &Settings) -> Token {
    let token = settings.token.as_deref();
    token.map_or_else(Token::none, Token::new)
}
