//! Aliases of the hash maps and sets that the workspace uses.
//!
//! Which one fits depends on whether callers choose the keys.

use std::collections::{HashMap, HashSet, hash_map::RandomState};

/// A hash map with a fast hasher and a fixed seed, for keys that callers cannot choose.
///
/// The iteration order is the same in every run.
pub type Map<K, V> = HashMap<K, V, foldhash::fast::FixedState>;

/// A hash set with a fast hasher and a fixed seed, for keys that callers cannot choose.
///
/// The iteration order is the same in every run.
pub type Set<K> = HashSet<K, foldhash::fast::FixedState>;

/// A hash map with a randomly seeded hasher that resists collision attacks, for keys that
/// callers choose.
pub type SeededMap<K, V> = HashMap<K, V, RandomState>;

/// A hash set with a randomly seeded hasher that resists collision attacks, for keys that
/// callers choose.
pub type SeededSet<K> = HashSet<K, RandomState>;
