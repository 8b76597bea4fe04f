//! The warm-up limits of pools, by which the local backend servers are treated.

use std::sync::Arc;

use trefoillock_core::{Announcement, HealthPath, Pool, Tables, WarmUp};

/// The pools of a configuration that limit the calls to cold backend servers.
#[derive(Debug, Clone, Default)]
pub struct WarmUpTable {
    pools: Vec<Arc<Pool>>,
}

impl From<&Tables> for WarmUpTable {
    fn from(tables: &Tables) -> Self {
        let pools = tables.pools().values();
        let limited = pools.filter(|pool| pool.policy.warm_up.is_some());
        Self {
            pools: limited.cloned().collect(),
        }
    }
}

impl WarmUpTable {
    /// The warm-up of a backend server: the lowest rate and the longest time of the pools that it
    /// belongs to. `None` if none of them limits cold backend servers.
    #[must_use]
    pub fn get(&self, announcement: &Announcement) -> Option<WarmUp> {
        let warm_ups = self.pools_of(announcement);
        let warm_ups = warm_ups.filter_map(|pool| pool.policy.warm_up);
        warm_ups.reduce(|one, other| WarmUp {
            duration_ms: one.duration_ms.max(other.duration_ms),
            rate: if other.rate.micros_per_s() < one.rate.micros_per_s() {
                other.rate
            } else {
                one.rate
            },
        })
    }

    /// The path at which a backend server is asked whether it is cold; `None` if it is not asked.
    #[must_use]
    pub fn health_path(&self, announcement: &Announcement) -> Option<HealthPath> {
        let mut pools = self.pools_of(announcement);
        pools.find_map(|pool| pool.health_path.clone())
    }

    fn pools_of(&self, announcement: &Announcement) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.iter().filter(|pool| {
            pool.service == announcement.service && pool.versions.contains(&announcement.version)
        })
    }
}
