//! A running daemon.

use std::{net::SocketAddr, sync::Arc};

use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use trefoillock_core::{Config, Error, Members, Peer, Step};
use trefoillock_node::NodeView;
use trefoillock_process::{Clock, ControlSettings, Event, Settings};
use trefoillock_replica::{DataFolder, ReplicaHandle, ReplicaSettings};
use trefoillock_rpc::Token;

use crate::{
    admin::{self, Health},
    control_role::ControlRole,
    events::EventLog,
    metrics::Metrics,
    node_role::NodeRole,
};

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
    /// Cancelled when the graceful stop begins.
    pub(crate) stop: CancellationToken,
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
        let clock = Clock::start();
        let events = EventLog::new(clock, settings.log.format);
        let token = settings
            .token
            .as_deref()
            .map_or_else(Token::none, Token::new);
        let cx = Cx {
            settings: Arc::new(settings),
            clock,
            token,
            events,
            metrics: Arc::new(Metrics::new()),
            health: Arc::new(Health::default()),
            tasks: TaskTracker::new(),
            stop,
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
        let (name, version) = (&cx.settings.name, env!("CARGO_PKG_VERSION"));
        events.write(
            Event::ProcessStarted,
            &[("name", name), ("version", &version)],
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
        if let Some(node) = self.node {
            node.drained().await;
        }
        self.cx.finish.cancel();
        self.cx.tasks.close();
        self.cx.tasks.wait().await;
        if let Some(control) = self.control {
            control.stopped().await;
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

/// The settings of the replicated log for a control replica.
pub(crate) fn replica_settings(settings: &Settings, control: &ControlSettings) -> ReplicaSettings {
    let peers = control
        .replicas
        .iter()
        .map(|replica| (replica.id, replica.address));
    let token = settings
        .token
        .as_deref()
        .map_or_else(Token::none, Token::new);
    ReplicaSettings::new(SYSTEM, control.id, control.mesh, &control.data_folder)
        .peers(peers.collect())
        .token(token)
}

/// The name of the system in the data folders of its replicas.
const SYSTEM: &str = "trefoillock";

fn control_of(settings: &Settings) -> Result<&ControlSettings, Error> {
    let missing = "the settings have no role `control`, so there is no data folder";
    let peer = Peer::Platform("settings".to_owned());
    settings
        .control
        .as_ref()
        .ok_or_else(|| Error::new(Step::Settings, peer, missing))
}

/// Makes the empty data folder that of a first voter of a new system.
///
/// # Errors
///
/// Returns an error if the folder is not empty or cannot be written.
pub fn bootstrap(settings: &Settings) -> Result<(), Error> {
    ReplicaHandle::bootstrap(&replica_settings(settings, control_of(settings)?))
}

/// Makes the empty data folder that of a replica that waits to be added.
///
/// # Errors
///
/// Returns an error if the folder is not empty or cannot be written.
pub fn join(settings: &Settings) -> Result<(), Error> {
    ReplicaHandle::join(&replica_settings(settings, control_of(settings)?))
}

/// Checks that the data folder of a control replica can be opened.
///
/// # Errors
///
/// Returns an error if the folder is missing, foreign, damaged or in use.
pub fn check_data_folder(settings: &Settings) -> Result<(), Error> {
    let Some(control) = &settings.control else {
        return Ok(());
    };
    DataFolder::open(&control.data_folder, SYSTEM, control.id)?;
    Ok(())
}
