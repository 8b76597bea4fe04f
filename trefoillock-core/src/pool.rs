//! Rows of the table of pools: which backend servers form a pool, and its limits.

use std::collections::BTreeSet;

use trefoillock_macros::data;

use crate::{CallRate, HealthPath, PoolName, ServiceName, VersionLabel};

/// Which versions of its service belong to a pool.
#[data]
#[derive(PartialOrd, Ord, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum PoolVersions {
    /// All versions.
    Any,
    /// One version.
    Only(VersionLabel),
    /// All versions but these.
    Except(BTreeSet<VersionLabel>),
}

impl PoolVersions {
    /// Whether backend servers of a version belong to the pool.
    #[must_use]
    pub fn contains(&self, version: &VersionLabel) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Except(except) => !except.contains(version),
        }
    }

    /// The version of a pool that is restricted to one version; `None` for any other pool.
    #[must_use]
    pub const fn single_version(&self) -> Option<&VersionLabel> {
        match self {
            Self::Only(only) => Some(only),
            Self::Any | Self::Except(_) => None,
        }
    }
}

/// How a backend server that is cold, for example after its start, must be treated.
#[data(key)]
pub struct WarmUp {
    /// How long a backend server stays cold after its start, in milliseconds.
    pub duration_ms: u32,
    /// The rate of calls that a cold backend server takes from all nodes together.
    pub rate: CallRate,
}

/// The load limits of each backend server of a pool.
#[data(key)]
pub struct PoolPolicy {
    /// The largest number of calls that one backend server runs at once.
    pub slots: u32,
    /// The largest number of connections that may be open to one backend server.
    pub connections: u32,
    /// The longest time that a call waits for a slot, in milliseconds.
    pub queue_ms: u32,
    /// The time over which the load of a newly started backend server is raised to its full
    /// share, in seconds.
    pub slow_start_s: u32,
    /// The limit on calls to a cold backend server; `None` if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<WarmUp>,
}

impl Default for PoolPolicy {
    fn default() -> Self {
        Self {
            slots: 9,
            connections: 120,
            queue_ms: 100,
            slow_start_s: 10,
            warm_up: None,
        }
    }
}

/// A row of the table of pools: the backend servers of one service, in all or some versions.
#[data]
pub struct Pool {
    /// The name of the pool.
    pub name: PoolName,
    /// The service whose backend servers form the pool.
    pub service: ServiceName,
    /// The versions of the service that belong to the pool.
    pub versions: PoolVersions,
    /// The load limits of each backend server.
    pub policy: PoolPolicy,
    /// The path at which the backend servers answer health checks; `None` if they are not asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<HealthPath>,
}
