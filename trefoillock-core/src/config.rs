//! The configuration that every node holds, and the deltas that update it.
//!
//! A configuration has a version and a hash of its content. A delta is applied only to the
//! version that it is based on, and only if the result has the expected hash.

use std::{collections::BTreeMap, sync::Arc};

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use trefoillock_macros::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ConfigVersion, DataCentre, GuardSet, GuardSlot, GuardTable, MoveId, Pool, PoolName,
    RequestLimits, RolloutShare, Route, RouteName, ServiceName, Share, Tables, Timestamp,
    Workspace, WorkspaceName, Workspaces,
};

/// How the calls of a route are divided between the two pools of its move.
#[data]
pub struct MoveShare {
    /// The identity of the move.
    pub id: MoveId,
    /// The number of the step that set the share.
    pub step: u32,
    /// The old pool.
    pub from: PoolName,
    /// The new pool.
    pub to: PoolName,
    /// The share of the calls that the new pool gets.
    pub share: Share,
}

/// Why a configuration or a delta was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ConfigError {
    /// the delta is based on version {base}, but the current version is {current}
    WrongBase {
        /// The version that the delta is based on.
        base: ConfigVersion,
        /// The version of the current configuration.
        current: ConfigVersion,
    },
    /// the content of version {0} does not match its hash
    WrongHash(ConfigVersion),
    /// version {rejected} is not newer than the current version {current}
    NotNewer {
        /// The version of the rejected configuration.
        rejected: ConfigVersion,
        /// The version of the current configuration.
        current: ConfigVersion,
    },
    /// route {0} names the pool {1}, which is not in the configuration
    DanglingPool(RouteName, PoolName),
}

impl std::error::Error for ConfigError {}

/// The evacuated data centres, whose backend servers get no calls, with the time of the order.
pub type Evacuations = BTreeMap<DataCentre, Timestamp>;

/// A configuration: the tables, the shares of moves and rollouts, the guards and the evacuated data
/// centres.
///
/// It is immutable; an update replaces it as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    version: ConfigVersion,
    tables_version: ConfigVersion,
    hash: u64,
    tables: Tables,
    moves: BTreeMap<RouteName, MoveShare>,
    guards: GuardTable,
    #[serde(default)]
    rollouts: BTreeMap<ServiceName, RolloutShare>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    evacuations: Evacuations,
}

impl Default for Config {
    fn default() -> Self {
        let mut config = Self {
            version: ConfigVersion::ZERO,
            tables_version: ConfigVersion::ZERO,
            hash: 0,
            tables: Tables::default(),
            moves: BTreeMap::new(),
            guards: GuardTable::new(),
            rollouts: BTreeMap::new(),
            evacuations: Evacuations::new(),
        };
        config.hash = config.content_hash();
        config
    }
}

impl Config {
    /// Creates a configuration without rollouts and evacuations from its parts.
    ///
    /// # Errors
    ///
    /// Returns an error if a route or a move names a pool that is not in the tables.
    pub fn new(
        version: ConfigVersion,
        tables_version: ConfigVersion,
        tables: Tables,
        moves: BTreeMap<RouteName, MoveShare>,
        guards: GuardTable,
    ) -> Result<Self, ConfigError> {
        let mut config = Self {
            version,
            tables_version,
            hash: 0,
            tables,
            moves,
            guards,
            rollouts: BTreeMap::new(),
            evacuations: Evacuations::new(),
        };
        config.hash = config.content_hash();
        config.validate()?;
        Ok(config)
    }

    /// The version of the configuration.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The version at which the tables last changed; edits are based on it.
    #[must_use]
    pub const fn tables_version(&self) -> ConfigVersion {
        self.tables_version
    }

    /// The hash of the version and the content.
    #[must_use]
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// The tables of routes and pools.
    #[must_use]
    pub const fn tables(&self) -> &Tables {
        &self.tables
    }

    /// The shares of the running moves, by route.
    #[must_use]
    pub const fn moves(&self) -> &BTreeMap<RouteName, MoveShare> {
        &self.moves
    }

    /// Returns the configuration with the rollouts replaced and the hash updated.
    #[must_use]
    pub fn with_rollouts(mut self, rollouts: BTreeMap<ServiceName, RolloutShare>) -> Self {
        self.rollouts = rollouts;
        self.hash = self.content_hash();
        self
    }

    /// The latest rollout of each service that had one.
    #[must_use]
    pub const fn rollouts(&self) -> &BTreeMap<ServiceName, RolloutShare> {
        &self.rollouts
    }

    /// Returns the configuration with the evacuations replaced and the hash updated.
    #[must_use]
    pub fn with_evacuations(mut self, evacuations: Evacuations) -> Self {
        self.evacuations = evacuations;
        self.hash = self.content_hash();
        self
    }

    /// The evacuated data centres.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Computes the hash of the version and the content. Without evacuations it is the hash that
    /// earlier releases compute, so that their snapshots can be restored.
    fn content_hash(&self) -> u64 {
        let Self {
            version,
            tables_version,
            hash: _,
            tables,
            moves,
            guards,
            rollouts,
            evacuations,
        } = self;
        let content = (version, tables_version, tables, moves, guards, rollouts);
        let encoded = if evacuations.is_empty() {
            serde_json::to_vec(&content)
        } else {
            serde_json::to_vec(&(content, evacuations))
        };
        xxh3_64(&encoded.unwrap_or_default())
    }

    /// The guards of idempotency keys, by slot.
    #[must_use]
    pub const fn guards(&self) -> &GuardTable {
        &self.guards
    }

    /// Checks that every named pool exists and that the hash matches the content.
    ///
    /// # Errors
    ///
    /// Returns the first check that fails.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let pools = self.tables.pools();
        let route_pools = self
            .tables
            .routes()
            .values()
            .flat_map(|route| route.pools().map(move |pool| (&route.name, pool)));
        let move_pools = self
            .moves
            .iter()
            .flat_map(|(route, share)| [(route, &share.from), (route, &share.to)]);
        for (route, pool) in route_pools.chain(move_pools) {
            if !pools.contains_key(pool) {
                return Err(ConfigError::DanglingPool(route.clone(), pool.clone()));
            }
        }
        if self.content_hash() != self.hash {
            return Err(ConfigError::WrongHash(self.version));
        }
        Ok(())
    }

    /// Selects the pool of a route for a call, given a random number drawn uniformly for the call.
    /// Returns the pool and whether it is the new pool of a move, or `None` if the pool is not in
    /// the tables.
    #[must_use]
    pub fn select_pool(&self, route: &Route, draw: u32) -> Option<(&Arc<Pool>, bool)> {
        let (name, is_new) = match self.moves.get(&route.name) {
            Some(running) if running.share.contains_draw(draw) => (&running.to, true),
            Some(running) => (&running.from, false),
            None => (route.pool_for_draw(draw), false),
        };
        self.tables.pools().get(name).map(|pool| (pool, is_new))
    }

    /// Computes the delta from this configuration to a newer one.
    #[must_use]
    pub fn delta_to(&self, newer: &Self) -> ConfigDelta {
        let diff = self.tables.diff(&newer.tables);
        let changed_guards = newer
            .guards
            .iter()
            .filter(|(slot, set)| self.guards.get(*slot) != Some(*set));
        let routes = diff.routes_added.iter().chain(&diff.routes_changed);
        let pools = diff.pools_added.iter().chain(&diff.pools_changed);
        ConfigDelta {
            base: self.version,
            version: newer.version,
            tables_version: newer.tables_version,
            hash: newer.hash,
            routes: routes
                .filter_map(|name| newer.tables.routes().get(name).cloned())
                .collect(),
            routes_removed: diff.routes_removed,
            pools: pools
                .filter_map(|name| newer.tables.pools().get(name).cloned())
                .collect(),
            pools_removed: diff.pools_removed,
            moves: newer.moves.clone(),
            guards: changed_guards
                .map(|(slot, set)| (*slot, set.clone()))
                .collect(),
            limits: *newer.tables.limits(),
            rollouts: newer.rollouts.clone(),
            workspaces: WorkspacesDelta::between(
                self.tables.workspaces(),
                newer.tables.workspaces(),
            ),
            evacuations: newer.evacuations.clone(),
        }
    }

    /// Applies a delta to a copy of the configuration and checks the result.
    ///
    /// # Errors
    ///
    /// Returns an error if the delta is not based on this version, its version is not newer, or
    /// the result names a missing pool or does not have the hash that the delta states.
    pub fn with_delta(&self, delta: &ConfigDelta) -> Result<Self, ConfigError> {
        if delta.base != self.version {
            return Err(ConfigError::WrongBase {
                base: delta.base,
                current: self.version,
            });
        }
        if delta.version <= self.version {
            return Err(ConfigError::NotNewer {
                rejected: delta.version,
                current: self.version,
            });
        }
        let mut routes = self.tables.routes().clone();
        routes.retain(|name, _| !delta.routes_removed.contains(name));
        routes.extend(
            delta
                .routes
                .iter()
                .map(|route| (route.name.clone(), route.clone())),
        );
        let mut pools = self.tables.pools().clone();
        pools.retain(|name, _| !delta.pools_removed.contains(name));
        pools.extend(
            delta
                .pools
                .iter()
                .map(|pool| (pool.name.clone(), pool.clone())),
        );
        let tables =
            Tables::from_rows(routes, pools).map_err(|_| ConfigError::WrongHash(delta.version))?;
        let workspaces = delta.workspaces.apply(self.tables.workspaces());
        let tables = tables.with_limits(delta.limits).with_workspaces(workspaces);
        let mut guards = self.guards.clone();
        guards.extend(delta.guards.iter().map(|(slot, set)| (*slot, set.clone())));
        let config = Self {
            version: delta.version,
            tables_version: delta.tables_version,
            hash: delta.hash,
            tables,
            moves: delta.moves.clone(),
            guards,
            rollouts: delta.rollouts.clone(),
            evacuations: delta.evacuations.clone(),
        };
        config.validate()?;
        Ok(config)
    }
}

/// The changes of the table of workspaces.
#[data]
#[derive(Default)]
pub struct WorkspacesDelta {
    /// Whether the newer configuration has a table of workspaces.
    is_present: bool,
    /// Workspaces that were added or changed.
    changed: Vec<Arc<Workspace>>,
    /// Workspaces that were removed.
    removed: Vec<WorkspaceName>,
}

impl WorkspacesDelta {
    fn between(old: Option<&Workspaces>, new: Option<&Workspaces>) -> Self {
        let empty = Workspaces::new();
        let old = old.unwrap_or(&empty);
        let changed = new
            .into_iter()
            .flatten()
            .filter(|(name, row)| old.get(*name) != Some(*row));
        let removed = old
            .keys()
            .filter(|name| !new.is_some_and(|new| new.contains_key(*name)));
        Self {
            is_present: new.is_some(),
            changed: changed.map(|(_, row)| row.clone()).collect(),
            removed: removed.cloned().collect(),
        }
    }

    fn apply(&self, old: Option<&Workspaces>) -> Option<Workspaces> {
        if !self.is_present {
            return None;
        }
        let mut workspaces = old.cloned().unwrap_or_default();
        workspaces.retain(|name, _| !self.removed.contains(name));
        let changed = self.changed.iter();
        workspaces.extend(changed.map(|row| (row.name.clone(), row.clone())));
        Some(workspaces)
    }

    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The changes from one configuration to a newer one.
#[data]
pub struct ConfigDelta {
    /// The version that the delta is based on.
    pub base: ConfigVersion,
    /// The version of the newer configuration.
    pub version: ConfigVersion,
    /// The version at which the tables last changed.
    pub tables_version: ConfigVersion,
    /// The hash of the newer configuration.
    pub hash: u64,
    /// Routes that were added or changed.
    pub routes: Vec<Arc<Route>>,
    /// Routes that were removed.
    pub routes_removed: Vec<RouteName>,
    /// Pools that were added or changed.
    pub pools: Vec<Arc<Pool>>,
    /// Pools that were removed.
    pub pools_removed: Vec<PoolName>,
    /// All running moves of the newer configuration, not only those that changed.
    pub moves: BTreeMap<RouteName, MoveShare>,
    /// The guards of the slots that changed.
    pub guards: BTreeMap<GuardSlot, GuardSet>,
    /// The limits on requests of the newer configuration.
    #[serde(default)]
    pub limits: RequestLimits,
    /// All rollouts of the newer configuration, not only those that changed.
    #[serde(default)]
    pub rollouts: BTreeMap<ServiceName, RolloutShare>,
    /// The changes of the table of workspaces.
    #[serde(default, skip_serializing_if = "WorkspacesDelta::is_empty")]
    pub workspaces: WorkspacesDelta,
    /// All evacuations of the newer configuration, not only those that changed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub evacuations: Evacuations,
}
