//! How many nodes serve which version, summed over a part of the tree.

use std::collections::BTreeMap;

use trefoillock_core::{ConfigVersion, NodeId, data};

/// The largest number of versions that are told apart; older ones count as the oldest of them.
const MAX_VERSIONS: usize = 8;
/// The largest number of nodes that are named.
const MAX_NAMED: usize = 8;

/// How many nodes serve which version of the configuration.
///
/// Summing never raises a version: when the versions are too many to be told apart, the lower
/// ones count as the lowest.
#[data]
#[derive(Default)]
pub struct AckSummary {
    /// The number of nodes by the version that they serve; zero means none yet.
    pub nodes: BTreeMap<ConfigVersion, u32>,
    /// The nodes that lag behind the relay above them, at most eight with the lowest versions.
    pub slowest: Vec<(ConfigVersion, NodeId)>,
}

impl AckSummary {
    /// Counts one node.
    pub fn add(&mut self, version: ConfigVersion) {
        *self.nodes.entry(version).or_default() += 1;
        self.trim();
    }

    /// Names a node that lags.
    pub fn name(&mut self, node: &NodeId, version: ConfigVersion) {
        self.slowest.push((version, node.clone()));
        self.trim();
    }

    /// Adds the nodes of another part of the tree.
    pub fn merge(&mut self, other: &Self) {
        for (version, count) in &other.nodes {
            let sum = self.nodes.entry(*version).or_default();
            *sum = sum.saturating_add(*count);
        }
        self.slowest.extend_from_slice(&other.slowest);
        self.trim();
    }

    /// The number of nodes.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.nodes.values().copied().fold(0, u32::saturating_add)
    }

    /// The number of nodes that serve at least this version.
    #[must_use]
    pub fn at_least(&self, version: ConfigVersion) -> u32 {
        let nodes = self.nodes.range(version..);
        nodes.map(|(_, count)| *count).fold(0, u32::saturating_add)
    }

    fn trim(&mut self) {
        while self.nodes.len() > MAX_VERSIONS
            && let Some((lowest, first)) = self.nodes.pop_first()
        {
            let Some((_, second)) = self.nodes.pop_first() else {
                break;
            };
            self.nodes.insert(lowest, first.saturating_add(second));
        }
        self.slowest.sort();
        self.slowest.dedup();
        self.slowest.truncate(MAX_NAMED);
    }
}
