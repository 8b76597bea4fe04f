//! The local backend servers that a node can send calls to.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{Notify, broadcast},
    time::{Instant, timeout_at},
};
use trefoillock_core::{Announcement, Incarnation, Map, Timestamp};
use trefoillock_process::Clock;

use crate::{
    DefaultDialect, Dialect, LocalServer, ServerEvent, StatementCounts, WarmUpTable,
    statement_log::StatementLog,
};

/// The largest number of backend servers that are kept after their lease has ended.
const MAX_FORMER_SERVERS: usize = 64;

/// The backend servers that hold a lease, by address.
///
/// The last backend server of each address is kept after its lease has ended. If the same run is
/// announced again, because its announcements were only late, its calls in flight still count, and
/// what it has stated still holds.
#[derive(Debug)]
pub struct LocalServers {
    clock: Clock,
    /// The time from which this run of the node knows all calls.
    created_at: Timestamp,
    dialect: Arc<dyn Dialect>,
    warm_ups: Mutex<WarmUpTable>,
    servers: Mutex<Map<SocketAddr, Arc<LocalServer>>>,
    /// The backend servers whose lease has ended.
    former: Mutex<VecDeque<Arc<LocalServer>>>,
    changed: Notify,
    statement_log: Arc<StatementLog>,
    /// Whether the data centre of the node is evacuated; written only while `servers` is locked.
    evacuated: AtomicBool,
}

impl LocalServers {
    /// Creates an empty list.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            created_at: clock.now(),
            dialect: Arc::new(DefaultDialect),
            warm_ups: Mutex::default(),
            servers: Mutex::default(),
            former: Mutex::default(),
            changed: Notify::new(),
            statement_log: Arc::default(),
            evacuated: AtomicBool::new(false),
        }
    }

    /// Sets the headers that are exchanged with the backend servers.
    #[must_use]
    pub fn with_dialect(mut self, dialect: Arc<dyn Dialect>) -> Self {
        self.dialect = dialect;
        self
    }

    /// The backend server at an address; `None` if none holds a lease there.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<Arc<LocalServer>> {
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.get(&address).cloned()
    }

    /// The addresses of the backend servers that refused connections; see
    /// [`LocalServer::is_crashed`].
    #[must_use]
    pub fn crashed_addresses(&self) -> Vec<SocketAddr> {
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let crashed = servers.iter().filter(|(_, server)| server.is_crashed());
        crashed.map(|(address, _)| *address).collect()
    }

    /// Subscribes to changes of what the backend servers say about themselves.
    #[must_use]
    pub fn subscribe_events(&self) -> broadcast::Receiver<ServerEvent> {
        self.statement_log.subscribe()
    }

    /// How often the backend servers have made statements about themselves.
    #[must_use]
    pub fn statement_counts(&self) -> StatementCounts {
        self.statement_log.counts()
    }

    /// The addresses of the backend servers that have said that they leave; see
    /// [`LocalServer::is_leaving`].
    #[must_use]
    pub fn leaving_addresses(&self) -> Vec<SocketAddr> {
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let leaving = servers.iter().filter(|(_, server)| server.is_leaving());
        leaving.map(|(address, _)| *address).collect()
    }

    /// Whether the data centre of the node is evacuated.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.load(Ordering::Acquire)
    }

    /// Records whether the data centre of the node is evacuated, and returns whether that is new.
    ///
    /// While it is, calls to the backend servers, and those that wait for a slot, are refused with
    /// [`RefusalReason::Evacuated`](trefoillock_core::RefusalReason::Evacuated). Running calls go
    /// on, and announcements are accepted as before.
    pub fn set_evacuated(&self, evacuated: bool) -> bool {
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = self.evacuated.swap(evacuated, Ordering::AcqRel) != evacuated;
        if is_new {
            let former = self.former.lock().unwrap_or_else(PoisonError::into_inner);
            for server in servers.values().chain(former.iter()) {
                // Backend servers may have turned cold during the evacuation, after their last statement.
                if !evacuated {
                    server.assume_cold();
                }
                server.set_evacuated(evacuated);
            }
        }
        is_new
    }

    /// Whether the run that an announcement belongs to has said, or announced before, that it leaves.
    pub(crate) fn has_left(&self, announcement: &Announcement) -> bool {
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let former = self.former.lock().unwrap_or_else(PoisonError::into_inner);
        let held = servers.get(&announcement.address);
        let mut known = held.into_iter().chain(former.iter());
        known.any(|known| known.is_leaving() && known.is_same_run(announcement))
    }

    /// Replaces the list of announcements. A backend server in a new incarnation starts without
    /// connections; calls in flight to the earlier incarnation continue.
    pub fn update(&self, list: &[Announcement]) {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut former = self.former.lock().unwrap_or_else(PoisonError::into_inner);
        let mut next = Map::default();
        for announcement in list {
            let held = servers.get(&announcement.address);
            let mut known = held.into_iter().chain(former.iter());
            let known = known.find(|known| known.is_same_run(announcement));
            let server = match known {
                Some(known) if known.continues_with(announcement) => {
                    known.set_state(announcement.state);
                    known.clone()
                }
                known => {
                    let server = self.new_server(announcement);
                    if let Some(known) = known {
                        server.inherit_statements(known);
                    }
                    Arc::new(server)
                }
            };
            next.insert(announcement.address, server);
        }
        let earlier = std::mem::replace(&mut *servers, next);
        for (address, server) in &earlier {
            let stays = servers
                .get(address)
                .is_some_and(|next| Arc::ptr_eq(next, server));
            if !stays {
                server.suspend();
                former.retain(|former| former.announcement().address != *address);
                former.push_back(server.clone());
            }
        }
        if former.len() > MAX_FORMER_SERVERS {
            former.pop_front();
        }
        drop((servers, former));
        self.changed.notify_waiters();
    }

    /// Creates a backend server. `servers` must be locked, so that it does not miss the begin or end
    /// of an evacuation.
    fn new_server(&self, announcement: &Announcement) -> LocalServer {
        let server = LocalServer::new(announcement.clone(), self.clock)
            .with_dialect(self.dialect.clone())
            .with_statement_log(self.statement_log.clone())
            .with_unknown_calls_before(self.created_at);
        server.set_evacuated(self.is_evacuated());
        server.set_warm_up(&self.lock_warm_ups());
        server
    }

    /// Replaces the limits of the pools for cold backend servers.
    pub fn set_warm_ups(&self, warm_ups: WarmUpTable) {
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let former = self.former.lock().unwrap_or_else(PoisonError::into_inner);
        for server in servers.values().chain(former.iter()) {
            server.set_warm_up(&warm_ups);
        }
        *self.lock_warm_ups() = warm_ups;
    }

    /// Treats all backend servers as cold until they state otherwise or the time that their pools
    /// state has passed; see [`LocalServer::assume_cold`].
    ///
    /// At the end of an evacuation they may have turned cold since their last statement.
    pub fn assume_cold(&self) {
        for server in self.list() {
            server.assume_cold();
        }
    }

    /// Records for how long a backend server states to stay cold; `None` if it does not state it.
    pub(crate) fn record_warm_up(&self, address: SocketAddr, left: Option<Duration>) {
        if let Some(server) = self.get(address) {
            server.record_warm_up(left);
        }
    }

    /// Ends the limits of the backend servers that have become warm, and asks those that may have
    /// turned cold.
    pub(crate) fn refresh_warm_ups(&self) {
        for server in self.list() {
            server.refresh_warm_up();
            server.probe_warm_up_if_due();
        }
    }

    /// How often backend servers have turned cold while their pool limits calls to cold ones.
    #[must_use]
    pub fn cold_phases(&self) -> u64 {
        self.statement_log.cold_phases()
    }

    fn list(&self) -> Vec<Arc<LocalServer>> {
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.values().cloned().collect()
    }

    fn lock_warm_ups(&self) -> MutexGuard<'_, WarmUpTable> {
        self.warm_ups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until an incarnation higher than `previous` is announced at an address. Returns
    /// whether that happened before `until`.
    pub async fn wait_for_restart(
        &self,
        address: SocketAddr,
        previous: Incarnation,
        until: Instant,
    ) -> bool {
        loop {
            let changed = self.changed.notified();
            let server = self.get(address);
            if server.is_some_and(|server| server.announcement().incarnation > previous) {
                return true;
            }
            if timeout_at(until, changed).await.is_err() {
                return false;
            }
        }
    }
}
