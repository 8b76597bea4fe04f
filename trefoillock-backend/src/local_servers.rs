//! The local backend servers that a node can send calls to.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::{
    sync::{Notify, broadcast},
    time::{Instant, timeout_at},
};
use trefoillock_core::{Announcement, Incarnation, Map, MemberState};
use trefoillock_process::Clock;

use crate::{
    DefaultDialect, Dialect, LocalServer, ServerEvent, StatementCounts, statement_log::StatementLog,
};

/// The backend servers that hold a lease, by address.
#[derive(Debug)]
pub struct LocalServers {
    clock: Clock,
    dialect: Arc<dyn Dialect>,
    servers: Mutex<Map<SocketAddr, Arc<LocalServer>>>,
    changed: Notify,
    statement_log: Arc<StatementLog>,
}

impl LocalServers {
    /// Creates an empty list.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            dialect: Arc::new(DefaultDialect),
            servers: Mutex::default(),
            changed: Notify::new(),
            statement_log: Arc::default(),
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

    /// Replaces the list of announcements. A backend server in a new incarnation starts without
    /// connections; calls in flight to the earlier incarnation continue.
    pub fn update(&self, list: &[Announcement]) {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut next = Map::default();
        for announcement in list {
            let held = servers.get(&announcement.address);
            let server = if let Some(held) = held.filter(|held| held.is_same_run(announcement)) {
                held.set_state(announcement.state);
                held.clone()
            } else {
                let server = LocalServer::new(announcement.clone(), self.clock);
                let server = server.with_dialect(self.dialect.clone());
                Arc::new(server.with_statement_log(self.statement_log.clone()))
            };
            next.insert(announcement.address, server);
        }
        let earlier = std::mem::replace(&mut *servers, next);
        for (address, server) in &earlier {
            let stays = servers
                .get(address)
                .is_some_and(|next| Arc::ptr_eq(next, server));
            if !stays {
                server.set_state(MemberState::Draining);
            }
        }
        drop(servers);
        self.changed.notify_waiters();
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
