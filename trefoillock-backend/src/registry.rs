//! Keeps [`Announcements`] under a lock with a clock, and publishes every change.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use trefoillock_core::{Announcement, Departure, MemberState};
use trefoillock_process::Clock;

use crate::{
    AnnounceError, Announcements, DefaultDialect, DepartureLog, Dialect, LEASE_DURATION,
    LoadReport, LocalServers, lease::LEASE_CHECK_INTERVAL,
};

/// The largest number of departures that a registry remembers.
const MAX_DEPARTURES: usize = 256;

/// A departure that was reported to this process.
#[derive(Debug)]
struct KnownDeparture {
    departure: Departure,
    /// Whether the log holds it.
    is_recorded: bool,
}

/// Holds the announcements of the local backend servers.
///
/// Each change is applied to [`LocalServers`] immediately, so a drain stops new work at this node
/// without waiting until the list of members is distributed. It is acknowledged once the
/// [`DepartureLog`] holds it, because the announcements are lost with the process.
#[derive(Debug)]
pub struct BackendRegistry {
    clock: Clock,
    announcements: Mutex<Announcements>,
    servers: Arc<LocalServers>,
    list: watch::Sender<Vec<Announcement>>,
    departures: Mutex<VecDeque<KnownDeparture>>,
    log: Option<Arc<dyn DepartureLog>>,
}

impl BackendRegistry {
    /// Creates a registry without backend servers, with leases of [`LEASE_DURATION`] and
    /// [`DefaultDialect`].
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self::with_dialect(clock, LEASE_DURATION, Arc::new(DefaultDialect))
    }

    /// Creates a registry whose announcements expire after `lease` unless they are renewed, and
    /// whose backend servers use `dialect`.
    #[must_use]
    pub fn with_dialect(clock: Clock, lease: Duration, dialect: Arc<dyn Dialect>) -> Self {
        Self {
            clock,
            announcements: Mutex::new(Announcements::new(lease)),
            servers: Arc::new(LocalServers::new(clock).with_dialect(dialect)),
            list: watch::Sender::new(Vec::new()),
            departures: Mutex::default(),
            log: None,
        }
    }

    /// Sets the log that must hold a departure before it is acknowledged. Without one, departures are
    /// forgotten with the registry.
    #[must_use]
    pub fn with_departure_log(mut self, log: Arc<dyn DepartureLog>) -> Self {
        self.log = Some(log);
        self
    }

    /// The backend servers that calls can be sent to.
    #[must_use]
    pub fn servers(&self) -> Arc<LocalServers> {
        self.servers.clone()
    }

    /// Watches the list of announcements that hold a lease; it is sent again after every change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Vec<Announcement>> {
        self.list.subscribe()
    }

    /// Adds or renews an announcement. A run that has begun to leave stays draining, whatever state
    /// it announces.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement conflicts with a lease that is still held.
    pub fn announce(&self, announcement: Announcement) -> Result<(), AnnounceError> {
        self.announce_with_warm_up(announcement, None)
    }

    /// Adds or renews an announcement like [`Self::announce`], of a backend server that states for
    /// how long it stays cold; `None` if it does not state it.
    ///
    /// The time is kept at this node and is not part of the announcement, which all nodes get.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement conflicts with a lease that is still held.
    pub fn announce_with_warm_up(
        &self,
        mut announcement: Announcement,
        left: Option<Duration>,
    ) -> Result<(), AnnounceError> {
        let now = self.clock.now();
        let address = announcement.address;
        if self.servers.has_left(&announcement) || self.has_departed(&announcement) {
            announcement.state = MemberState::Draining;
        }
        self.update(|state| state.announce(announcement, now))?;
        self.servers.record_warm_up(address, left);
        Ok(())
    }

    /// Marks a backend server as draining.
    ///
    /// # Errors
    ///
    /// Returns an error if no backend server holds a lease on the address.
    pub fn drain(&self, address: SocketAddr) -> Result<(), AnnounceError> {
        self.update(|state| state.drain(address))
    }

    /// Marks a backend server as draining like [`Self::drain`], and returns once its departure is
    /// recorded.
    ///
    /// # Errors
    ///
    /// Returns an error if no backend server holds a lease on the address, or if the departure was
    /// not recorded. The backend server drains then all the same.
    pub async fn drain_and_record(&self, address: SocketAddr) -> Result<(), AnnounceError> {
        let announced = self.lock_announcements().get(address).map(Departure::from);
        let departure = announced.ok_or(AnnounceError::Unknown(address))?;
        self.depart(departure).await
    }

    /// Lets the runs leave that a departure covers, whether they are announced or not, and returns
    /// once it is recorded. From the call on they get no new calls from this node.
    ///
    /// # Errors
    ///
    /// Returns an error if the departure was not recorded, so it must not be acknowledged.
    pub async fn depart(&self, departure: Departure) -> Result<(), AnnounceError> {
        self.apply_departure(&departure);
        let Some(log) = &self.log else {
            return Ok(());
        };
        if self.is_recorded(&departure) {
            return Ok(());
        }
        if !log.record(&departure).await {
            return Err(AnnounceError::DepartureNotRecorded);
        }
        self.insert_departure(&departure, true);
        Ok(())
    }

    /// Applies a departure that was reported to this process or recorded by an earlier one.
    pub fn apply_departure(&self, departure: &Departure) {
        self.insert_departure(departure, false);
        // A departure conflicts with no lease.
        let _ = self.update(|state| Ok(state.depart(departure)));
    }

    fn insert_departure(&self, departure: &Departure, is_recorded: bool) {
        let mut known = self.lock_departures();
        if let Some(known) = known.iter_mut().find(|k| k.departure == *departure) {
            known.is_recorded |= is_recorded;
            return;
        }
        if known.len() >= MAX_DEPARTURES {
            known.pop_front();
        }
        known.push_back(KnownDeparture {
            departure: departure.clone(),
            is_recorded,
        });
    }

    fn has_departed(&self, announcement: &Announcement) -> bool {
        let known = self.lock_departures();
        known.iter().any(|k| k.departure.covers(announcement))
    }

    fn is_recorded(&self, departure: &Departure) -> bool {
        let known = self.lock_departures();
        let mut recorded = known.iter().filter(|k| k.is_recorded);
        recorded.any(|k| k.departure == *departure)
    }

    fn lock_departures(&self) -> MutexGuard<'_, VecDeque<KnownDeparture>> {
        self.departures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_announcements(&self) -> MutexGuard<'_, Announcements> {
        self.announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores the load report of a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if no backend server holds a lease on the address.
    pub fn report_load(&self, address: SocketAddr, load: LoadReport) -> Result<(), AnnounceError> {
        self.update(|state| state.report_load(address, load).map(|()| false))
    }

    /// Removes expired leases, and the leases of crashed backend servers, drains backend servers
    /// that have said that they leave, and ends the limits of those that have become warm, until
    /// `stop` is cancelled.
    pub async fn watch_leases(&self, stop: CancellationToken) {
        while stop
            .run_until_cancelled(tokio::time::sleep(LEASE_CHECK_INTERVAL))
            .await
            .is_some()
        {
            let now = self.clock.now();
            self.servers.refresh_warm_ups();
            let _ = self.update(|state| {
                let mut changed = state.expire(now);
                for address in self.servers.crashed_addresses() {
                    changed |= state.remove(address);
                }
                for address in self.servers.leaving_addresses() {
                    changed |= state.drain(address).is_ok_and(|changed| changed);
                }
                Ok(changed)
            });
        }
    }

    /// Applies a change, and publishes the list if `change` returns that it differs.
    fn update(
        &self,
        change: impl FnOnce(&mut Announcements) -> Result<bool, AnnounceError>,
    ) -> Result<(), AnnounceError> {
        let mut state = self.lock_announcements();
        if change(&mut state)? {
            let list = state.list();
            self.servers.update(&list);
            self.list.send_replace(list);
        }
        Ok(())
    }
}
