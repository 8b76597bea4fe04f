//! Rows of the table of pools.

use trefoillock_macros::data;

use crate::{PoolName, ServiceName, VersionLabel};

/// How the backend servers of a pool are loaded.
#[data(key)]
pub struct PoolPolicy {
    /// The number of calls that one backend server runs at once.
    pub slots: u32,
    /// The number of connections that may be open to one backend server.
    pub connections: u32,
    /// The longest time that a call waits for a slot, in milliseconds.
    pub queue_ms: u32,
    /// The time over which a backend server that has just started gets its full load, in
    /// seconds.
    pub slow_start_s: u32,
}

impl Default for PoolPolicy {
    fn default() -> Self {
        Self {
            slots: 9,
            connections: 120,
            queue_ms: 100,
            slow_start_s: 10,
        }
    }
}

/// A row of the table of pools: all backend servers that run one version of one service.
#[data]
pub struct Pool {
    /// The name of the pool.
    pub name: PoolName,
    /// The service whose backend servers form the pool.
    pub service: ServiceName,
    /// The version that the backend servers run.
    pub version: VersionLabel,
    /// How the backend servers are loaded.
    pub policy: PoolPolicy,
}
