//! The configuration that every node holds, and the differences between two of them.

use std::{collections::BTreeMap, sync::Arc};

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use trefoillock_macros::data;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ConfigVersion, GuardSet, GuardSlot, GuardTable, MoveId, Pool, PoolName, RequestLimits,
    RolloutShare, Route, RouteName, ServiceName, Share, Tables,
};

/// How the calls of a route on the move are divided between its two pools.
#[data]
pub struct MoveShare {
    /// The move.
    pub id: MoveId,
    /// The step of the move that set the share.
    pub step: u32,
    /// The old pool.
    pub from: PoolName,
    /// The new pool.
    pub to: PoolName,
    /// The share of the calls that the new pool gets.
    pub share: Share,
}

/// Why a configuration or a difference was not taken.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ConfigError {
    /// the difference starts at version {base}, this node holds version {held}
    WrongBase {
        /// The version that the difference starts at.
        base: ConfigVersion,
        /// The version that is held.
        held: ConfigVersion,
    },
    /// the content of version {0} does not have the stated hash
    WrongHash(ConfigVersion),
    /// version {offered} is not newer than the held version {held}
    NotNewer {
        /// The version that was offered.
        offered: ConfigVersion,
        /// The version that is held.
        held: ConfigVersion,
    },
    /// route {0} names the pool {1}, which is not part of the configuration
    DanglingPool(RouteName, PoolName),
}

impl std::error::Error for ConfigError {}

/// A configuration: both tables and the shares of the routes on the move.
///
/// It is only ever replaced as a whole.
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
        };
        config.hash = config.content_hash();
        config
    }
}

impl Config {
    /// Creates a configuration from its parts.
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
        };
        config.hash = config.content_hash();
        config.check()?;
        Ok(config)
    }

    /// The version.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The version at which the tables last changed; edits are based on it.
    #[must_use]
    pub const fn tables_version(&self) -> ConfigVersion {
        self.tables_version
    }

    /// The hash of version and content.
    #[must_use]
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// The two tables.
    #[must_use]
    pub const fn tables(&self) -> &Tables {
        &self.tables
    }

    /// The routes on the move, with their shares.
    #[must_use]
    pub const fn moves(&self) -> &BTreeMap<RouteName, MoveShare> {
        &self.moves
    }

    /// Returns the configuration with other roll-outs.
    #[must_use]
    pub fn with_rollouts(mut self, rollouts: BTreeMap<ServiceName, RolloutShare>) -> Self {
        self.rollouts = rollouts;
        self.hash = self.content_hash();
        self
    }

    /// The latest roll-out of each service that had one.
    #[must_use]
    pub const fn rollouts(&self) -> &BTreeMap<ServiceName, RolloutShare> {
        &self.rollouts
    }

    /// The hash of version and content.
    fn content_hash(&self) -> u64 {
        let Self {
            version,
            tables_version,
            hash: _,
            tables,
            moves,
            guards,
            rollouts,
        } = self;
        let content = (version, tables_version, tables, moves, guards, rollouts);
        xxh3_64(&serde_json::to_vec(&content).unwrap_or_default())
    }

    /// The guards of idempotency keys.
    #[must_use]
    pub const fn guards(&self) -> &GuardTable {
        &self.guards
    }

    /// Checks that every named pool exists and that the hash fits the content.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is broken.
    pub fn check(&self) -> Result<(), ConfigError> {
        let pools = self.tables.pools();
        let of_routes = self
            .tables
            .routes()
            .values()
            .flat_map(|route| route.pools().map(move |pool| (&route.name, pool)));
        let of_moves = self
            .moves
            .iter()
            .flat_map(|(route, share)| [(route, &share.from), (route, &share.to)]);
        for (route, pool) in of_routes.chain(of_moves) {
            if !pools.contains_key(pool) {
                return Err(ConfigError::DanglingPool(route.clone(), pool.clone()));
            }
        }
        if self.content_hash() != self.hash {
            return Err(ConfigError::WrongHash(self.version));
        }
        Ok(())
    }

    /// The pool of a route for a call with a uniformly drawn number, and whether it is the new
    /// pool of a move.
    #[must_use]
    pub fn pool_for(&self, route: &Route, draw: u32) -> Option<(&Arc<Pool>, bool)> {
        let (name, is_new) = match self.moves.get(&route.name) {
            Some(share) if share.share.takes(draw) => (&share.to, true),
            Some(share) => (&share.from, false),
            None => (route.drawn_pool(draw), false),
        };
        self.tables.pools().get(name).map(|pool| (pool, is_new))
    }

    /// The difference that leads from this configuration to a newer one.
    #[must_use]
    pub fn delta_to(&self, newer: &Self) -> ConfigDelta {
        let diff = self.tables.diff(&newer.tables);
        let guards = newer
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
            guards: guards.map(|(slot, set)| (*slot, set.clone())).collect(),
            limits: *newer.tables.limits(),
            rollouts: newer.rollouts.clone(),
        }
    }

    /// Applies a difference and checks the result as a whole.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the difference does not start at this version,
    /// is not newer, or does not lead to the stated content.
    pub fn with_delta(&self, delta: &ConfigDelta) -> Result<Self, ConfigError> {
        if delta.base != self.version {
            return Err(ConfigError::WrongBase {
                base: delta.base,
                held: self.version,
            });
        }
        if delta.version <= self.version {
            return Err(ConfigError::NotNewer {
                offered: delta.version,
                held: self.version,
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
        let tables = tables.with_limits(delta.limits);
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
        };
        config.check()?;
        Ok(config)
    }
}

/// The difference between two configurations.
#[data]
pub struct ConfigDelta {
    /// The version that the difference starts at.
    pub base: ConfigVersion,
    /// The version that the difference leads to.
    pub version: ConfigVersion,
    /// The version at which the tables last changed.
    pub tables_version: ConfigVersion,
    /// The hash of the configuration that the difference leads to.
    pub hash: u64,
    /// Routes that were added or changed.
    pub routes: Vec<Arc<Route>>,
    /// Routes that were removed.
    pub routes_removed: Vec<RouteName>,
    /// Pools that were added or changed.
    pub pools: Vec<Arc<Pool>>,
    /// Pools that were removed.
    pub pools_removed: Vec<PoolName>,
    /// All routes on the move.
    pub moves: BTreeMap<RouteName, MoveShare>,
    /// Slots whose guards changed.
    pub guards: BTreeMap<GuardSlot, GuardSet>,
    /// The limits of requests of the newer configuration.
    #[serde(default)]
    pub limits: RequestLimits,
    /// The roll-outs of the newer configuration.
    #[serde(default)]
    pub rollouts: BTreeMap<ServiceName, RolloutShare>,
}
