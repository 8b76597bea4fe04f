//! A mesh for tests of calls: nodes, each with a backend server beside it, and a stand-in for
//! the distribution of members.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::task::JoinHandle;
use trefoillock_core::{
    Config, ConfigVersion, Guard, GuardSet, GuardSlot, GuardTable, Members, MembersVersion,
    MoveShare, RawTables, RouteName, Tables, Term,
};
use trefoillock_policy::CrashTally;
use trefoillock_process::Clock;
use trefoillock_rpc::Token;

use crate::{
    backend_server::{BackendServer, BackendServerConfig, FaultPlan, RunLog},
    call_mesh::MeshNode,
};

/// The time between two lists of members.
const TICK: Duration = Duration::from_millis(10);
/// The number of guards of a slot.
const GUARDS: usize = 3;

/// A node and the backend server beside it, if there is one.
#[derive(Debug)]
pub struct Place {
    /// The node.
    pub node: MeshNode,
    /// The backend server.
    pub server: Option<Arc<BackendServer>>,
}

/// Nodes and backend servers with one configuration.
#[derive(Debug)]
pub struct CallBench {
    places: Arc<Mutex<Vec<Place>>>,
    log: RunLog,
    faults: FaultPlan,
    distributing: JoinHandle<()>,
}

impl CallBench {
    /// Starts one node for each backend server configuration; `None` is a node without one.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be opened.
    pub async fn start(servers: Vec<Option<BackendServerConfig>>) -> io::Result<Self> {
        let (log, faults) = (RunLog::new(), FaultPlan::new());
        let mut places = Vec::new();
        for (at, config) in servers.into_iter().enumerate() {
            let node = MeshNode::start(&format!("node-{at}"), Token::new("secret"), 1)?;
            let server = match config {
                Some(config) => {
                    let config = config.faults(faults.clone());
                    Some(Arc::new(BackendServer::start(config, log.clone()).await?))
                }
                None => None,
            };
            places.push(Place { node, server });
        }
        let places = Arc::new(Mutex::new(places));
        let distributing = tokio::spawn(distribute(places.clone()));
        Ok(Self {
            places,
            log,
            faults,
            distributing,
        })
    }

    /// The runs of all requests.
    #[must_use]
    pub const fn log(&self) -> &RunLog {
        &self.log
    }

    /// The faults that are still to happen, at whichever backend server.
    #[must_use]
    pub const fn faults(&self) -> &FaultPlan {
        &self.faults
    }

    /// The nodes with their backend servers.
    pub fn places(&self) -> MutexGuard<'_, Vec<Place>> {
        lock(&self.places)
    }

    /// The address of a node for callers.
    #[must_use]
    pub fn entry(&self, at: usize) -> SocketAddr {
        self.places()[at].node.entry()
    }

    /// The node whose backend server has an address.
    #[must_use]
    pub fn place_of(&self, server: SocketAddr) -> Option<usize> {
        let places = self.places();
        places.iter().position(|place| {
            let held = place.server.as_ref();
            held.is_some_and(|held| held.address() == server)
        })
    }

    /// The backend server beside a node.
    #[must_use]
    pub fn server(&self, at: usize) -> Option<Arc<BackendServer>> {
        self.places()[at].server.clone()
    }

    /// Publishes a configuration to all nodes, with the nodes of the mesh as guards of every
    /// slot.
    ///
    /// # Panics
    ///
    /// Panics if the tables are not valid.
    pub fn publish(&self, version: u64, tables: &str, moves: BTreeMap<RouteName, MoveShare>) {
        let raw = RawTables::from_json(tables).expect("valid JSON");
        let tables = Tables::try_from(raw).expect("valid tables");
        let version = ConfigVersion::new(version);
        let guards = self.guards();
        let config = Config::new(version, version, tables, moves, guards);
        let config = Arc::new(config.expect("a valid configuration"));
        for place in self.places().iter() {
            place.node.context().view().set_config(config.clone());
        }
    }

    fn guards(&self) -> GuardTable {
        let guards: Vec<Guard> = self
            .places()
            .iter()
            .take(GUARDS)
            .map(|place| place.node.guard())
            .collect();
        let set = GuardSet {
            epoch: 1,
            guards,
            previous: Vec::new(),
            previous_epoch: 0,
            lost_at: None,
        };
        GuardSlot::all().map(|slot| (slot, set.clone())).collect()
    }

    /// Waits until every node knows all backend servers, and is an active guard if it is one.
    pub async fn settled(&self) {
        let is_settled = || {
            let places = self.places();
            let servers = places.iter().filter(|place| place.server.is_some()).count();
            places.iter().enumerate().all(|(at, place)| {
                let cx = place.node.context();
                cx.view().members().servers.len() == servers
                    && (at >= GUARDS || cx.guards().acks().len() == GuardSlot::all().count())
            })
        };
        while !is_settled() {
            tokio::time::sleep(TICK).await;
        }
    }

    /// Announces that the backend server beside a node drains.
    pub fn drain(&self, at: usize) {
        let places = self.places();
        if let Some(server) = &places[at].server {
            server.drain();
            let _ = places[at].node.interface().drain(server.address());
        }
    }

    /// Stops all nodes gracefully that still run.
    pub async fn stop(self) {
        self.distributing.abort();
        let mut places = std::mem::take(&mut *self.places());
        for place in &places {
            place.node.begin_stop();
        }
        for place in &mut places {
            place.node.stop().await;
        }
    }
}

impl Drop for CallBench {
    fn drop(&mut self) {
        self.distributing.abort();
    }
}

/// Renews announcements and publishes the list of members and the quarantine, as the backend
/// servers and the control replicas do.
async fn distribute(places: Arc<Mutex<Vec<Place>>>) {
    let clock = Clock::start();
    let mut tally = CrashTally::new();
    let mut sequence = 0;
    let mut last = Members::default();
    loop {
        {
            let places = lock(&places);
            let mut members = Members::default();
            for place in places.iter() {
                renew(place);
                for report in place.node.context().recorder().drain_crashes() {
                    tally.record(clock.now(), &report);
                }
                let announced = place.node.interface().subscribe().borrow().clone();
                for announcement in announced {
                    let member = place.node.member(announcement);
                    members.servers.insert(member.id.clone(), Arc::new(member));
                }
            }
            members.quarantined.clone_from(tally.quarantined());
            if members.servers != last.servers || members.quarantined != last.quarantined {
                sequence += 1;
                last = members.clone();
                members.version = MembersVersion::new(Term::new(1), sequence);
                let members = Arc::new(members);
                for place in places.iter() {
                    place.node.context().view().set_members(members.clone());
                }
            }
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Announces a backend server that runs.
fn renew(place: &Place) {
    let Some(server) = &place.server else {
        return;
    };
    if place.node.is_up() && server.is_up() {
        let _ = place.node.interface().announce(server.announcement());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
