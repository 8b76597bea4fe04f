//! The daemons and backend servers of the demonstration: starts, kills, stops and observes them.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::{FutureExt, future::BoxFuture};
use trefoillock_core::{Config, ConfigVersion};
use trefoillock_operator::OperatorClient;
use trefoillock_process::Settings;
use trefoillock_roles::{DaemonObserver, init_voter_folder};
use trefoillock_rpc::Token;

use super::{plan::Plan, process::Process};
use crate::{
    announcer::Announcer,
    backend_server::{BackendServer, BackendServerConfig, RunCounter},
};

/// The number of control replicas.
const REPLICAS: usize = 3;
/// The delay before a stand-in backend server serves a new connection.
const CONNECT_DELAY: Duration = Duration::from_millis(1);
/// How long a stand-in backend server runs a call.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// A stand-in backend server with its own run counts and its announcer.
pub(crate) struct Server {
    pub(crate) backend: Arc<BackendServer>,
    pub(crate) run_counter: RunCounter,
    pub(crate) announcer: Announcer,
}

/// The observers of the running nodes, by node name.
pub(crate) type Observers = Arc<Mutex<BTreeMap<String, DaemonObserver>>>;

/// The daemons and backend servers. `None` is a daemon that does not run; servers are by service
/// and version.
pub(crate) struct Fleet {
    pub(crate) controls: Vec<Option<Process>>,
    pub(crate) nodes: Vec<Option<Process>>,
    pub(crate) servers: BTreeMap<(String, String), Vec<Server>>,
    pub(crate) observers: Observers,
    pub(crate) client: Arc<OperatorClient>,
    plan: Plan,
    node_settings: Vec<Settings>,
    ended_control_bytes: u64,
}

impl Fleet {
    /// Starts the control replicas and the nodes with the settings in a folder. Their data folders
    /// are created in `data`.
    pub(crate) async fn start(plan: Plan, settings: &Path, data: &Path) -> io::Result<Self> {
        let folder = settings.join(plan.name);
        let mut controls = Vec::new();
        let mut operators = Vec::new();
        for at in 1..=REPLICAS {
            let mut settings = load_settings(&folder.join(format!("control-{at}.json")))?;
            if let Some(control) = &mut settings.control {
                control.data_folder = data.join(format!("control-{at}"));
                operators.push(control.operators);
            }
            init_voter_folder(&settings).map_err(io::Error::other)?;
            controls.push(Some(Process::start(settings).await?));
        }
        let count = plan.services.iter().map(|(_, count)| count).sum::<usize>();
        let mut fleet = Self {
            controls,
            nodes: Vec::new(),
            servers: BTreeMap::new(),
            observers: Observers::default(),
            client: Arc::new(OperatorClient::new(operators, Token::none())),
            plan,
            node_settings: Vec::new(),
            ended_control_bytes: 0,
        };
        for at in 1..=count {
            let settings = load_settings(&folder.join(format!("node-{at:02}.json")))?;
            fleet.node_settings.push(settings.clone());
            let process = Process::start(settings).await?;
            fleet.observe(&process);
            fleet.nodes.push(Some(process));
        }
        Ok(fleet)
    }

    fn observe(&self, process: &Process) {
        let name = process.settings().name.to_string();
        let mut observers = self
            .observers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        observers.insert(name, process.observer());
    }

    /// Removes the observer of a node that ends and keeps the number of bytes that it sent.
    fn stop_observing(&mut self, process: &Process) {
        let name = process.settings().name.to_string();
        self.ended_control_bytes += process.observer().control_bytes_sent();
        let mut observers = self
            .observers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        observers.remove(&name);
    }

    /// The index of the first node beside a backend server of a service.
    pub(crate) fn first_node(&self, service: &str) -> usize {
        let before = self
            .plan
            .services
            .iter()
            .take_while(|(name, _)| *name != service);
        before.map(|(_, count)| count).sum()
    }

    /// Starts the backend servers of one version of a service beside the service's nodes.
    pub(crate) async fn start_servers(
        &mut self,
        service: &str,
        version: &str,
        fail_every: u64,
    ) -> io::Result<()> {
        let count = self.plan.services.iter().find(|(name, _)| *name == service);
        let first = self.first_node(service);
        for at in first..first + count.map_or(0, |(_, count)| *count) {
            let run_counter = RunCounter::new();
            let config = BackendServerConfig::new(service, version)
                .map_err(io::Error::other)?
                .capacity(self.plan.slots, self.plan.connections)
                .connect_delay(CONNECT_DELAY)
                .service_time(SERVICE_TIME)
                .fail_every(fail_every);
            let server = Arc::new(BackendServer::start(config, run_counter.clone()).await?);
            let Some(node) = self.node_settings.get(at).and_then(|s| s.node.as_ref()) else {
                continue;
            };
            let announcer = Announcer::start(server.clone(), node.backend);
            let key = (service.to_owned(), version.to_owned());
            self.servers.entry(key).or_default().push(Server {
                backend: server,
                run_counter,
                announcer,
            });
        }
        Ok(())
    }

    /// The backend servers of one version of a service.
    pub(crate) fn servers_of(&self, service: &str, version: &str) -> &[Server] {
        let key = (service.to_owned(), version.to_owned());
        self.servers
            .get(&key)
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    /// The run counts of all backend servers.
    pub(crate) fn run_counters(&self) -> Vec<RunCounter> {
        self.servers
            .values()
            .flatten()
            .map(|server| server.run_counter.clone())
            .collect()
    }

    /// The addresses at which the running nodes take calls from callers.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let running = self.nodes.iter().flatten();
        running
            .filter_map(|process| Some(process.settings().node.as_ref()?.callers))
            .collect()
    }

    /// The configurations of the running nodes, with the node names.
    pub(crate) fn configs(&self) -> Vec<(String, Option<Arc<Config>>)> {
        let observers = self
            .observers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        observers
            .iter()
            .map(|(name, observer)| (name.clone(), observer.config()))
            .collect()
    }

    /// Whether every running node has a configuration of at least this version.
    pub(crate) fn is_in_force(&self, version: ConfigVersion) -> bool {
        let holds = |config: &Option<Arc<Config>>| {
            config
                .as_ref()
                .is_some_and(|config| config.version() >= version)
        };
        self.configs().iter().all(|(_, config)| holds(config))
    }

    /// Whether every running node knows at least `count` backend servers that take new work.
    pub(crate) fn knows_servers(&self, count: usize) -> bool {
        let observers = self
            .observers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        observers.values().all(|observer| {
            let members = observer.members();
            members.is_some_and(|m| m.servers.values().filter(|s| s.is_up()).count() >= count)
        })
    }

    /// Kills a node, if it runs.
    pub(crate) fn kill_node(&mut self, at: usize) {
        if let Some(process) = self.nodes[at].take() {
            self.stop_observing(&process);
            process.kill();
        }
    }

    /// Begins the graceful stop of a node. The returned future completes when the node has stopped.
    pub(crate) fn begin_node_stop(&mut self, at: usize) -> Option<BoxFuture<'static, Settings>> {
        let process = self.nodes[at].take()?;
        self.stop_observing(&process);
        Some(process.begin_stop().boxed())
    }

    /// Restarts a node with the same settings.
    pub(crate) async fn restart_node(&mut self, at: usize) -> io::Result<()> {
        let process = start_with_retries(self.node_settings[at].clone()).await?;
        self.observe(&process);
        self.nodes[at] = Some(process);
        Ok(())
    }

    /// Kills the leading control replica and returns its index and settings.
    pub(crate) async fn kill_leader(&mut self) -> Option<(usize, Settings)> {
        let status = self.client.status().await.ok()?;
        let leader = status
            .replicas
            .iter()
            .find(|replica| replica.leader)?
            .address;
        let leads = |process: &Process| {
            process
                .settings()
                .control
                .as_ref()
                .is_some_and(|control| control.mesh == leader)
        };
        let at = self
            .controls
            .iter()
            .position(|process| process.as_ref().is_some_and(leads))?;
        let process = self.controls[at].take()?;
        self.ended_control_bytes += process.observer().control_bytes_sent();
        Some((at, process.kill()))
    }

    /// Restarts a control replica.
    pub(crate) async fn restart_control(
        &mut self,
        at: usize,
        settings: Settings,
    ) -> io::Result<()> {
        self.controls[at] = Some(start_with_retries(settings).await?);
        Ok(())
    }

    /// The number of bytes of control messages that all daemons sent, including ended ones.
    pub(crate) fn control_bytes(&self) -> u64 {
        let running = self.controls.iter().chain(&self.nodes).flatten();
        let sent = running.map(|process| process.observer().control_bytes_sent());
        self.ended_control_bytes + sent.sum::<u64>()
    }

    /// Stops all nodes and then all control replicas gracefully.
    pub(crate) async fn stop(mut self) {
        let nodes = self.nodes.drain(..).flatten().map(Process::begin_stop);
        futures::future::join_all(nodes).await;
        let controls = self.controls.drain(..).flatten().map(Process::begin_stop);
        futures::future::join_all(controls).await;
    }
}

fn load_settings(file: &Path) -> io::Result<Settings> {
    Settings::load(file).map_err(io::Error::other)
}

/// Starts a daemon again. Retries, because the killed daemon may not yet have closed its sockets
/// and files.
async fn start_with_retries(settings: Settings) -> io::Result<Process> {
    const ATTEMPTS: u32 = 100;
    for _ in 0..ATTEMPTS {
        if let Ok(process) = Process::start(settings.clone()).await {
            return Ok(process);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Process::start(settings).await
}
