//! What a node holds of the system: its configuration and the list of members.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use trefoillock_core::{
    Config, CrashReport, Fingerprint, Map, Member, Members, Pool, PoolName, PoolVersions,
    RolloutShare, Timestamp,
};
use trefoillock_policy::Quarantine;

use crate::RouteIndex;

/// A configuration with its compiled index.
#[derive(Debug)]
pub struct HeldConfig {
    config: Arc<Config>,
    index: RouteIndex,
    sides: Map<PoolName, RolloutSides>,
}

/// The two parts of a pool whose service has had a roll-out.
#[derive(Debug)]
pub struct RolloutSides {
    /// The roll-out.
    pub rollout: RolloutShare,
    /// The backend servers of all other versions.
    pub old: Arc<Pool>,
    /// The backend servers of the new version.
    pub new: Arc<Pool>,
}

impl RolloutSides {
    fn new(pool: &Pool, rollout: &RolloutShare) -> Self {
        let side = |versions| {
            Arc::new(Pool {
                versions,
                ..pool.clone()
            })
        };
        Self {
            rollout: rollout.clone(),
            old: side(PoolVersions::Except(rollout.version.clone())),
            new: side(PoolVersions::Only(rollout.version.clone())),
        }
    }
}

impl HeldConfig {
    /// The configuration.
    #[must_use]
    pub const fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The index of its routes.
    #[must_use]
    pub const fn index(&self) -> &RouteIndex {
        &self.index
    }

    /// The parts of a pool of all versions whose service has had a roll-out.
    #[must_use]
    pub fn sides(&self, pool: &PoolName) -> Option<&RolloutSides> {
        self.sides.get(pool)
    }

    fn new(config: Arc<Config>) -> Self {
        let of_all = |pool: &&Arc<Pool>| pool.versions == PoolVersions::Any;
        let pools = config.tables().pools().values().filter(of_all);
        let sides = pools.filter_map(|pool| {
            let rollout = config.rollouts().get(&pool.service)?;
            Some((pool.name.clone(), RolloutSides::new(pool, rollout)))
        });
        Self {
            sides: sides.collect(),
            index: RouteIndex::new(&config),
            config,
        }
    }

    /// The pools of the tables and the parts of those with a roll-out.
    fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        let sides = self
            .sides
            .values()
            .flat_map(|sides| [&sides.old, &sides.new]);
        self.config.tables().pools().values().chain(sides)
    }
}

/// The backend servers that take new work, by pool.
type Placements = Map<PoolName, Vec<(PoolVersions, Arc<[Arc<Member>]>)>>;

/// The configuration and the list of members that a node holds. Both are replaced as a whole
/// and never by an older version.
#[derive(Debug, Default)]
pub struct NodeView {
    config: ArcSwapOption<HeldConfig>,
    members: ArcSwap<Members>,
    placements: ArcSwap<Placements>,
    quarantine: Mutex<Quarantine>,
    writing: Mutex<()>,
}

impl NodeView {
    /// Creates a view without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a configuration unless it is older than the held one. Returns whether it was taken.
    pub fn set_config(&self, config: Arc<Config>) -> bool {
        let _writing = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        let held = self.config.load_full();
        if held.is_some_and(|held| config.version() <= held.config.version()) {
            return false;
        }
        let held = HeldConfig::new(config);
        let placements = place(&held, &self.members.load());
        self.placements.store(Arc::new(placements));
        self.config.store(Some(Arc::new(held)));
        true
    }

    /// Takes a list of members unless it is older than the held one. Returns whether it was
    /// taken.
    pub fn set_members(&self, members: Arc<Members>) -> bool {
        let _writing = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        if members.version < self.members.load().version {
            return false;
        }
        if let Some(held) = self.config.load_full() {
            let placements = place(&held, &members);
            self.placements.store(Arc::new(placements));
        }
        self.quarantine().sync(&members.quarantined);
        self.members.store(members);
        true
    }

    /// Whether a request is refused because it crashed backend servers.
    #[must_use]
    pub fn refuses(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.quarantine().refuses(now, fingerprint)
    }

    /// Counts a crash that this node saw.
    pub fn saw_crash(&self, now: Timestamp, report: &CrashReport) {
        self.quarantine().crashed(now, report);
    }

    /// Clears a request of this node's suspicion, because it was answered in full.
    pub fn saw_answer(&self, fingerprint: Fingerprint) {
        self.quarantine().answered(fingerprint);
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration, once there is one.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.held().map(|held| held.config.clone())
    }

    /// The configuration with its index, once there is one.
    #[must_use]
    pub fn held(&self) -> Option<Arc<HeldConfig>> {
        self.config.load_full()
    }

    /// The list of members.
    #[must_use]
    pub fn members(&self) -> Arc<Members> {
        self.members.load_full()
    }

    /// The backend servers of a pool that take new work.
    #[must_use]
    pub fn servers(&self, pool: &Pool) -> Arc<[Arc<Member>]> {
        let placements = self.placements.load();
        let parts = placements.get(&pool.name);
        let part = parts.and_then(|parts| parts.iter().find(|(v, _)| *v == pool.versions));
        part.map(|(_, servers)| servers.clone()).unwrap_or_default()
    }
}

fn place(held: &HeldConfig, members: &Members) -> Placements {
    let mut placements = Placements::default();
    for pool in held.pools() {
        let servers: Arc<[_]> = members.up_in(pool).cloned().collect();
        let parts = placements.entry(pool.name.clone()).or_default();
        parts.push((pool.versions.clone(), servers));
    }
    placements
}
