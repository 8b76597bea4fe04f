//! The leader's view of which nodes are known and which configuration version they serve.

use trefoillock_core::{ConfigVersion, NodeId, data};

use crate::{AckSummary, NodeTable};

/// The largest number of nodes in each list of node identifiers.
const MAX_LISTED_NODES: usize = 8;

/// The state of the fleet as the leader knows it.
#[data]
#[derive(Default)]
pub struct FleetStatus {
    /// Whether the reporting replica is the leader; the other fields are meaningful only then.
    pub is_leading: bool,
    /// Whether enough of the fleet has attached to the reporting replica since it began to lead for
    /// it to publish a member list.
    pub knows_fleet: bool,
    /// The newest version of the configuration.
    pub newest: ConfigVersion,
    /// The number of known nodes, including lost nodes whose lease has not expired.
    pub nodes: u32,
    /// The number of nodes that serve the newest version.
    pub current: u32,
    /// The number of attached nodes by the version that they serve.
    pub versions: AckSummary,
    /// Nodes that serve an older version than the newest, lowest version first, at most eight.
    pub lagging: Vec<(ConfigVersion, NodeId)>,
    /// Lost nodes whose lease has not expired, so that they may attach again; at most eight.
    pub lost: Vec<NodeId>,
    /// The number of lost nodes whose lease has not expired.
    pub lost_count: u32,
    /// Nodes that claim the peer address of a node with a later incarnation, at most eight.
    pub clashes: Vec<NodeId>,
}

impl FleetStatus {
    /// Creates the status from the aggregated acknowledgements and the node table.
    #[must_use]
    pub fn new(
        is_leading: bool,
        knows_fleet: bool,
        newest: ConfigVersion,
        acks: &AckSummary,
        node_table: &NodeTable,
    ) -> Self {
        let lagging = acks.slowest.iter().filter(|(version, _)| *version < newest);
        Self {
            is_leading,
            knows_fleet,
            newest,
            nodes: u32::try_from(node_table.len()).unwrap_or(u32::MAX),
            current: acks.nodes_at_least(newest),
            versions: acks.clone(),
            lagging: lagging.cloned().collect(),
            lost: node_table.lost().take(MAX_LISTED_NODES).cloned().collect(),
            lost_count: u32::try_from(node_table.lost().count()).unwrap_or(u32::MAX),
            clashes: node_table
                .clashes()
                .into_iter()
                .take(MAX_LISTED_NODES)
                .collect(),
        }
    }

    /// Returns whether every known node is attached and serves the newest version.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        let is_complete = self.lost_count == 0 && self.versions.total() == self.nodes;
        self.is_leading && is_complete && self.current == self.nodes && self.lagging.is_empty()
    }

    /// Returns whether every known node serves a version or a newer one, and the fleet is known.
    #[must_use]
    pub fn is_in_force(&self, version: ConfigVersion) -> bool {
        let is_known = self.is_leading && self.knows_fleet && self.newest >= version;
        is_known && self.versions.nodes_at_least(version) >= self.nodes
    }

    /// Returns the node with the oldest version, if any node lags behind the newest.
    #[must_use]
    pub fn slowest(&self) -> Option<&(ConfigVersion, NodeId)> {
        self.lagging.first()
    }
}
