//! The shell around the announcements of the backend servers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use trefoillock_core::Announcement;
use trefoillock_process::Clock;

use crate::{
    AnnounceError, Announcements, Dialect, LEASE, LoadReport, LocalServers, OwnDialect,
    lease::LEASE_CHECK,
};

/// Holds what the backend servers beside a node announce.
///
/// Each change shows at once in [`LocalServers`], so a drain stops new work at this node
/// without waiting for the distribution of the list of members.
#[derive(Debug)]
pub struct BackendInterface {
    clock: Clock,
    state: Mutex<Announcements>,
    servers: Arc<LocalServers>,
    list: watch::Sender<Vec<Announcement>>,
}

impl BackendInterface {
    /// Creates an interface without backend servers.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self::with(clock, LEASE, Arc::new(OwnDialect))
    }

    /// Creates an interface whose announcements last for `lease`, and whose backend servers
    /// speak a dialect.
    #[must_use]
    pub fn with(clock: Clock, lease: Duration, dialect: Arc<dyn Dialect>) -> Self {
        Self {
            clock,
            state: Mutex::new(Announcements::new(lease)),
            servers: Arc::new(LocalServers::new(clock).dialect(dialect)),
            list: watch::Sender::new(Vec::new()),
        }
    }

    /// The backend servers as destinations of calls.
    #[must_use]
    pub fn servers(&self) -> Arc<LocalServers> {
        self.servers.clone()
    }

    /// The announcements that hold a lease, as they change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Vec<Announcement>> {
        self.list.subscribe()
    }

    /// Takes or renews an announcement.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement contradicts a lease that is still held.
    pub fn announce(&self, announcement: Announcement) -> Result<(), AnnounceError> {
        let now = self.clock.now();
        self.change(|state| state.announce(announcement, now))
    }

    /// Marks a backend server as draining.
    ///
    /// # Errors
    ///
    /// Returns an error if no backend server holds a lease on the address.
    pub fn drain(&self, address: SocketAddr) -> Result<(), AnnounceError> {
        self.change(|state| state.drain(address).map(|()| true))
    }

    /// Takes a load report.
    ///
    /// # Errors
    ///
    /// Returns an error if no backend server holds a lease on the address.
    pub fn report_load(&self, address: SocketAddr, load: LoadReport) -> Result<(), AnnounceError> {
        self.change(|state| state.report_load(address, load).map(|()| false))
    }

    /// Drops leases that have run out, and those of crashed backend servers, until `stop` is cancelled.
    pub async fn watch_leases(&self, stop: CancellationToken) {
        while stop
            .run_until_cancelled(tokio::time::sleep(LEASE_CHECK))
            .await
            .is_some()
        {
            let now = self.clock.now();
            let _ = self.change(|state| {
                let mut changed = state.expire(now);
                for address in self.servers.crashed() {
                    changed |= state.remove(address);
                }
                Ok(changed)
            });
        }
    }

    /// Changes the state and publishes the list if it has changed.
    fn change(
        &self,
        change: impl FnOnce(&mut Announcements) -> Result<bool, AnnounceError>,
    ) -> Result<(), AnnounceError> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if change(&mut state)? {
            let list = state.list();
            self.servers.update(&list);
            self.list.send_replace(list);
        }
        Ok(())
    }
}
