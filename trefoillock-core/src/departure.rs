//! The departures of backend servers.

use std::{fmt, net::SocketAddr};

use trefoillock_macros::data;

use crate::{Announcement, Incarnation, InstanceId};

/// A backend server beside a node, over its restarts.
#[data]
#[derive(PartialOrd, Ord, Hash)]
pub enum ServerProcess {
    /// A backend server whose process chose an identity for itself.
    Instance(InstanceId),
    /// A backend server without such an identity, by the address on which it accepts calls.
    Address(SocketAddr),
}

impl From<&Announcement> for ServerProcess {
    fn from(announcement: &Announcement) -> Self {
        match &announcement.instance {
            Some(id) => Self::Instance(id.clone()),
            None => Self::Address(announcement.address),
        }
    }
}

impl fmt::Display for ServerProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Instance(id) => id.fmt(f),
            Self::Address(address) => address.fmt(f),
        }
    }
}

/// The runs of a backend server that have left.
#[data(key)]
pub enum DepartedRuns {
    /// One run.
    Only(Incarnation),
    /// A run and all earlier ones, because the backend server did not state which one it is.
    UpTo(Incarnation),
}

impl DepartedRuns {
    /// Whether a run is one of them.
    #[must_use]
    pub fn contains(self, incarnation: Incarnation) -> bool {
        match self {
            Self::Only(departed) => incarnation == departed,
            Self::UpTo(last) => incarnation <= last,
        }
    }
}

impl fmt::Display for DepartedRuns {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Only(departed) => departed.fmt(f),
            Self::UpTo(last) => write!(f, "..={last}"),
        }
    }
}

/// A statement of a backend server that it leaves. Its departed runs never accept new calls again.
#[data]
#[derive(PartialOrd, Ord, Hash)]
pub struct Departure {
    /// The backend server.
    pub process: ServerProcess,
    /// The runs that have left.
    pub runs: DepartedRuns,
}

impl Departure {
    /// Whether the run that an announcement belongs to has left.
    #[must_use]
    pub fn covers(&self, announcement: &Announcement) -> bool {
        self.runs.contains(announcement.incarnation)
            && self.process == ServerProcess::from(announcement)
    }
}

impl From<&Announcement> for Departure {
    /// The departure of the run that an announcement belongs to.
    fn from(announcement: &Announcement) -> Self {
        Self {
            process: ServerProcess::from(announcement),
            runs: DepartedRuns::Only(announcement.incarnation),
        }
    }
}
