//! The configuration and the list of members that a node has received.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use trefoillock_core::{
    Config, CrashReport, DrainedRuns, Fingerprint, Map, Member, Members, Pool, PoolName,
    PoolVersions, RolloutShare, Timestamp,
};
use trefoillock_policy::Quarantine;

use crate::{KeyIndex, KnownLimit, RouteIndex, ServerReport, stated_limits::StatedLimits};

/// A configuration with its indexes of routes and keys, and the pools of its rollouts.
#[derive(Debug)]
pub struct IndexedConfig {
    config: Arc<Config>,
    index: RouteIndex,
    keys: Option<KeyIndex>,
    rollout_pools: Map<PoolName, RolloutPools>,
}

/// A pool split by version, because its service has had a rollout.
#[derive(Debug)]
pub struct RolloutPools {
    /// The rollout and the share of its new version.
    pub rollout: RolloutShare,
    /// The part of the pool that runs any other version.
    pub old: Arc<Pool>,
    /// The part of the pool that runs the new version.
    pub new: Arc<Pool>,
}

impl RolloutPools {
    fn new(pool: &Pool, rollout: &RolloutShare) -> Self {
        let with_versions = |versions| {
            Arc::new(Pool {
                versions,
                ..pool.clone()
            })
        };
        Self {
            rollout: rollout.clone(),
            old: with_versions(rollout.old_versions()),
            new: with_versions(rollout.new_versions()),
        }
    }
}

impl IndexedConfig {
    /// The configuration as it was received.
    #[must_use]
    pub const fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The index that finds the route of a call.
    #[must_use]
    pub const fn index(&self) -> &RouteIndex {
        &self.index
    }

    /// The index that finds the workspace of a key; `None` if the tables have no workspaces, so that
    /// callers need no key.
    #[must_use]
    pub const fn keys(&self) -> Option<&KeyIndex> {
        self.keys.as_ref()
    }

    /// The split of a pool, if the pool has no version of its own and its service has had a
    /// rollout.
    #[must_use]
    pub fn rollout_pools(&self, pool: &PoolName) -> Option<&RolloutPools> {
        self.rollout_pools.get(pool)
    }

    fn new(config: Arc<Config>) -> Self {
        let is_unversioned = |pool: &&Arc<Pool>| pool.versions == PoolVersions::Any;
        let pools = config.tables().pools().values().filter(is_unversioned);
        let rollout_pools = pools.filter_map(|pool| {
            let rollout = config.rollouts().get(&pool.service)?;
            Some((pool.name.clone(), RolloutPools::new(pool, rollout)))
        });
        Self {
            rollout_pools: rollout_pools.collect(),
            index: RouteIndex::new(&config),
            keys: config.tables().workspaces().map(KeyIndex::new),
            config,
        }
    }

    /// The pools of the tables, and the split pools of the rollouts.
    fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        let rollout_pools = self
            .rollout_pools
            .values()
            .flat_map(|rollout_pools| [&rollout_pools.old, &rollout_pools.new]);
        self.config.tables().pools().values().chain(rollout_pools)
    }
}

/// The backend servers that get new calls, by pool and the versions of the pool.
type ServersByPool = Map<PoolName, Vec<(PoolVersions, Arc<[Arc<Member>]>)>>;

/// The configuration and the list of members that a node has received. Each is replaced as a whole,
/// and never by an older version.
///
/// A run of a backend server that has drained, by a list of members or by what it said itself,
/// never counts as available again, whatever a later list says.
#[derive(Debug, Default)]
pub struct NodeView {
    config: ArcSwapOption<IndexedConfig>,
    members: ArcSwap<Members>,
    servers_by_pool: ArcSwap<ServersByPool>,
    drained: ArcSwap<DrainedRuns>,
    limits: ArcSwap<StatedLimits>,
    quarantine: Mutex<Quarantine>,
    write_lock: Mutex<()>,
}

impl NodeView {
    /// Creates a view without a configuration and without members.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the configuration unless `config` is the same version or an older one. Returns
    /// whether it was replaced.
    pub fn set_config(&self, config: Arc<Config>) -> bool {
        let _lock = self
            .write_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let indexed = self.config.load_full();
        if indexed.is_some_and(|indexed| config.version() <= indexed.config.version()) {
            return false;
        }
        let indexed = IndexedConfig::new(config);
        let by_pool = servers_by_pool(&indexed, &self.members.load(), &self.drained.load());
        self.servers_by_pool.store(Arc::new(by_pool));
        self.config.store(Some(Arc::new(indexed)));
        true
    }

    /// Replaces the list of members unless `members` is older. Returns whether it was replaced.
    pub fn set_members(&self, members: Arc<Members>) -> bool {
        let _lock = self
            .write_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if members.version < self.members.load().version {
            return false;
        }
        let draining = members.servers.values().filter(|member| !member.is_up());
        self.insert_drained(draining.map(Arc::as_ref));
        if let Some(indexed) = self.config.load_full() {
            let by_pool = servers_by_pool(&indexed, &members, &self.drained.load());
            self.servers_by_pool.store(Arc::new(by_pool));
        }
        self.lock_quarantine().sync(&members.quarantined);
        self.members.store(members);
        true
    }

    /// Records what a backend server has stated in a response to this node. One that leaves gets no
    /// new calls from this node, whatever a list of members says.
    pub fn record_report(&self, member: &Member, report: &ServerReport) {
        let leaves = report.is_leaving && !self.has_left(member);
        if !leaves && !self.limits.load().differs_from(member, report) {
            return;
        }
        let _lock = self
            .write_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut limits = self.limits.load().as_ref().clone();
        limits.record(member, report, &self.members.load());
        self.limits.store(Arc::new(limits));
        if !leaves {
            return;
        }
        self.insert_drained(std::iter::once(member));
        if let Some(indexed) = self.config.load_full() {
            let by_pool = servers_by_pool(&indexed, &self.members.load(), &self.drained.load());
            self.servers_by_pool.store(Arc::new(by_pool));
        }
    }

    /// The limit on the rate of calls that the run of a backend server has stated in responses to
    /// this node; `None` if it states none.
    #[must_use]
    pub fn known_limit(&self, member: &Member) -> Option<KnownLimit> {
        self.limits.load().get(member)
    }

    /// Whether the run of a backend server has drained, as far as this node knows.
    #[must_use]
    pub fn has_left(&self, member: &Member) -> bool {
        self.drained.load().contains(member)
    }

    /// Adds members to the drained runs. The write lock must be held.
    fn insert_drained<'a>(&self, members: impl Iterator<Item = &'a Member>) {
        let drained = self.drained.load_full();
        let mut next = None;
        for member in members.filter(|member| !drained.contains(member)) {
            let next: &mut DrainedRuns = next.get_or_insert_with(|| drained.as_ref().clone());
            next.insert(member);
        }
        if let Some(next) = next {
            self.drained.store(Arc::new(next));
        }
    }

    /// Whether requests with this fingerprint are refused because they crashed backend servers.
    #[must_use]
    pub fn is_quarantined(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.lock_quarantine().refuses(now, fingerprint)
    }

    /// Counts a crash that this node observed.
    pub fn record_crash(&self, now: Timestamp, report: &CrashReport) {
        self.lock_quarantine().record_crash(now, report);
    }

    /// Removes a fingerprint from the suspects of this node, because the request got a complete
    /// response.
    pub fn record_answer(&self, fingerprint: Fingerprint) {
        self.lock_quarantine().record_answer(fingerprint);
    }

    fn lock_quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration; `None` until one was received.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.indexed_config().map(|indexed| indexed.config.clone())
    }

    /// The configuration with its index; `None` until one was received.
    #[must_use]
    pub fn indexed_config(&self) -> Option<Arc<IndexedConfig>> {
        self.config.load_full()
    }

    /// The list of members; empty until one was received.
    #[must_use]
    pub fn members(&self) -> Arc<Members> {
        self.members.load_full()
    }

    /// Whether a pool has backend servers that would accept new calls if their data centres were not
    /// evacuated.
    #[must_use]
    pub fn has_evacuated_servers(&self, pool: &Pool) -> bool {
        let Some(config) = self.config() else {
            return false;
        };
        let (members, drained) = (self.members.load(), self.drained.load());
        let mut available = members.available_in(pool);
        available.any(|member| !drained.contains(member) && is_evacuated(&config, member))
    }

    /// The backend servers of a pool that accept new calls and whose data centres are not evacuated.
    #[must_use]
    pub fn servers(&self, pool: &Pool) -> Arc<[Arc<Member>]> {
        let by_pool = self.servers_by_pool.load();
        let parts = by_pool.get(&pool.name);
        let part = parts.and_then(|parts| parts.iter().find(|(v, _)| *v == pool.versions));
        part.map(|(_, servers)| servers.clone()).unwrap_or_default()
    }
}

fn is_evacuated(config: &Config, member: &Member) -> bool {
    config.evacuations().contains_key(&member.data_centre)
}

fn servers_by_pool(
    indexed: &IndexedConfig,
    members: &Members,
    drained: &DrainedRuns,
) -> ServersByPool {
    let mut by_pool = ServersByPool::default();
    for pool in indexed.pools() {
        let available = members.available_in(pool);
        let servers: Arc<[_]> = available
            .filter(|member| !drained.contains(member) && !is_evacuated(&indexed.config, member))
            .cloned()
            .collect();
        let parts = by_pool.entry(pool.name.clone()).or_default();
        parts.push((pool.versions.clone(), servers));
    }
    by_pool
}
