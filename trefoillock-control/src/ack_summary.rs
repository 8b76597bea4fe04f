//! Number of nodes per served configuration version, aggregated over a subtree.
//!
//! Each relay merges the summaries of its children and adds itself, so the leader receives one
//! summary of bounded size per child.

use std::collections::BTreeMap;

use trefoillock_core::{ConfigVersion, NodeId, data};

/// The largest number of versions counted separately; nodes on older versions are counted under
/// the lowest of them.
const MAX_VERSIONS: usize = 8;
/// The largest number of lagging nodes listed by identifier.
const MAX_LISTED_NODES: usize = 8;

/// The number of nodes that serve each version of the configuration.
///
/// Merging never reports a node at a higher version than it serves: when there are too many
/// versions to count separately, the lowest ones are merged into the lowest of them.
#[data]
#[derive(Default)]
pub struct AckSummary {
    /// The number of nodes by the version that they serve; version zero means that a node serves
    /// no configuration yet.
    pub nodes: BTreeMap<ConfigVersion, u32>,
    /// Nodes that lag behind the version of their parent, each with the lowest version that it or a
    /// node below it serves: at most eight, those with the lowest versions.
    pub slowest: Vec<(ConfigVersion, NodeId)>,
}

impl AckSummary {
    /// Counts one node that serves `version`.
    pub fn add_node(&mut self, version: ConfigVersion) {
        *self.nodes.entry(version).or_default() += 1;
        self.enforce_limits();
    }

    /// Lists a lagging node by its identifier.
    pub fn add_lagging(&mut self, node: &NodeId, version: ConfigVersion) {
        self.slowest.push((version, node.clone()));
        self.enforce_limits();
    }

    /// Adds the summary of another subtree.
    pub fn merge(&mut self, other: &Self) {
        for (version, count) in &other.nodes {
            let sum = self.nodes.entry(*version).or_default();
            *sum = sum.saturating_add(*count);
        }
        self.slowest.extend_from_slice(&other.slowest);
        self.enforce_limits();
    }

    /// Returns the number of nodes, over all versions.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.nodes.values().copied().fold(0, u32::saturating_add)
    }

    /// Returns the number of nodes that serve this version or a newer one.
    #[must_use]
    pub fn nodes_at_least(&self, version: ConfigVersion) -> u32 {
        let nodes = self.nodes.range(version..);
        nodes.map(|(_, count)| *count).fold(0, u32::saturating_add)
    }

    fn enforce_limits(&mut self) {
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
        self.slowest.truncate(MAX_LISTED_NODES);
    }
}
