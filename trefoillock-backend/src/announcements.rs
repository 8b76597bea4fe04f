//! The leases of the local backend servers, as a state machine without I/O: the caller passes the
//! current time.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use displaydoc::Display;
use trefoillock_core::{Announcement, Departure, Incarnation, MemberState, ServiceName, Timestamp};

use crate::LoadReport;

/// The largest number of local backend servers of one node. The message of
/// [`AnnounceError::TooMany`] repeats it.
const MAX_SERVERS: usize = 64;

/// Why an announcement, a drain or a load report was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum AnnounceError {
    /// incarnation {offered} is lower than the held incarnation {held}
    LowerIncarnation {
        /// The incarnation of the rejected announcement.
        offered: Incarnation,
        /// The incarnation that holds the lease.
        held: Incarnation,
    },
    /// the address {address} is leased to a backend server of {service}
    AddressClash {
        /// The address that both backend servers announced.
        address: SocketAddr,
        /// The service of the backend server that holds the lease.
        service: ServiceName,
    },
    /// a backend server that drains takes work again only in a higher incarnation than {0}
    DrainReverted(Incarnation),
    /// slots and connections must be at least 1
    NoCapacity,
    /// at most 64 backend servers may announce themselves to one node
    TooMany,
    /// no backend server announced the address {0}
    Unknown(SocketAddr),
    /// the departure is not recorded yet; report it again
    DepartureNotRecorded,
}

impl std::error::Error for AnnounceError {}

#[derive(Debug, Clone)]
struct Lease {
    announcement: Announcement,
    load: LoadReport,
    expires: Timestamp,
}

/// The announcements and load reports of the backend servers that hold a lease, by address.
#[derive(Debug, Default)]
pub struct Announcements {
    leases: BTreeMap<SocketAddr, Lease>,
    lease_duration: Duration,
}

impl Announcements {
    /// Creates an empty list whose leases expire after `lease_duration` unless they are renewed.
    #[must_use]
    pub const fn new(lease_duration: Duration) -> Self {
        Self {
            leases: BTreeMap::new(),
            lease_duration,
        }
    }

    /// Adds or renews an announcement. Returns whether the list has changed.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the announcement conflicts with a lease that is
    /// still held.
    pub fn announce(
        &mut self,
        announcement: Announcement,
        now: Timestamp,
    ) -> Result<bool, AnnounceError> {
        if announcement.slots == 0 || announcement.connections == 0 {
            return Err(AnnounceError::NoCapacity);
        }
        let expires = now + self.lease_duration;
        let held = self
            .leases
            .get(&announcement.address)
            .filter(|held| held.expires > now);
        match held {
            Some(held) => check_successor(&held.announcement, &announcement)?,
            None if self.leases.len() >= MAX_SERVERS => return Err(AnnounceError::TooMany),
            None => {}
        }
        let changed = held.is_none_or(|held| held.announcement != announcement);
        let load = held.map(|held| held.load).unwrap_or_default();
        let lease = Lease {
            announcement,
            load,
            expires,
        };
        self.leases.insert(lease.announcement.address, lease);
        Ok(changed)
    }

    /// Marks a backend server as draining; it keeps its lease. Returns whether that changed its
    /// announcement.
    ///
    /// # Errors
    ///
    /// Returns an error if no backend server holds a lease on the address.
    pub fn drain(&mut self, address: SocketAddr) -> Result<bool, AnnounceError> {
        let lease = self.lease_mut(address)?;
        let previous = std::mem::replace(&mut lease.announcement.state, MemberState::Draining);
        Ok(previous != MemberState::Draining)
    }

    /// Marks the backend servers as draining that a departure covers; they keep their leases. Returns
    /// whether that changed an announcement.
    pub fn depart(&mut self, departure: &Departure) -> bool {
        let mut changed = false;
        for lease in self.leases.values_mut() {
            let announcement = &mut lease.announcement;
            if departure.covers(announcement) {
                changed |= announcement.state != MemberState::Draining;
                announcement.state = MemberState::Draining;
            }
        }
        changed
    }

    /// The announcement that holds the lease on an address; `None` if there is none.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<&Announcement> {
        self.leases.get(&address).map(|lease| &lease.announcement)
    }

    /// Stores the load report of a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if no backend server holds a lease on the address.
    pub fn report_load(
        &mut self,
        address: SocketAddr,
        load: LoadReport,
    ) -> Result<(), AnnounceError> {
        self.lease_mut(address)?.load = load;
        Ok(())
    }

    /// Removes expired leases. Returns whether the list has changed.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.expires > now);
        before != self.leases.len()
    }

    /// Removes the lease of a backend server whose process is gone; its next announcement starts a
    /// new lease. Returns whether the list has changed.
    pub fn remove(&mut self, address: SocketAddr) -> bool {
        self.leases.remove(&address).is_some()
    }

    /// The announcements that hold a lease, ordered by address.
    #[must_use]
    pub fn list(&self) -> Vec<Announcement> {
        self.leases
            .values()
            .map(|lease| lease.announcement.clone())
            .collect()
    }

    /// The last load report of a backend server; `None` if it holds no lease.
    #[must_use]
    pub fn load(&self, address: SocketAddr) -> Option<LoadReport> {
        self.leases.get(&address).map(|lease| lease.load)
    }

    fn lease_mut(&mut self, address: SocketAddr) -> Result<&mut Lease, AnnounceError> {
        self.leases
            .get_mut(&address)
            .ok_or(AnnounceError::Unknown(address))
    }
}

/// Checks that an announcement may replace the one that holds the lease.
fn check_successor(held: &Announcement, offered: &Announcement) -> Result<(), AnnounceError> {
    if offered.incarnation < held.incarnation {
        return Err(AnnounceError::LowerIncarnation {
            offered: offered.incarnation,
            held: held.incarnation,
        });
    }
    if offered.incarnation > held.incarnation {
        return Ok(());
    }
    if offered.service != held.service || offered.version != held.version {
        return Err(AnnounceError::AddressClash {
            address: held.address,
            service: held.service.clone(),
        });
    }
    match (held.state, offered.state) {
        (MemberState::Draining, MemberState::Up) => {
            Err(AnnounceError::DrainReverted(held.incarnation))
        }
        _ => Ok(()),
    }
}
