//! Who serves what.

use trefoillock_core::{ConfigVersion, NodeId, data};

use crate::{AckSummary, MemberTable};

/// The largest number of nodes that are named in a list.
const MAX_NAMED: usize = 8;

/// What the leader knows of the fleet.
#[data]
#[derive(Default)]
pub struct FleetStatus {
    /// Whether the replica that says so leads; the others know nothing of the fleet.
    pub is_leading: bool,
    /// The newest version of the configuration.
    pub newest: ConfigVersion,
    /// The number of nodes that are known.
    pub nodes: u32,
    /// The number of nodes that serve the newest version.
    pub current: u32,
    /// The number of nodes by the version that they serve.
    pub versions: AckSummary,
    /// Nodes that serve an older version, the slowest first, at most eight.
    pub lagging: Vec<(ConfigVersion, NodeId)>,
    /// Nodes that were lost and may attach again, at most eight.
    pub lost: Vec<NodeId>,
    /// The number of nodes that were lost and may attach again.
    pub lost_count: u32,
    /// Nodes that claim the address of a node with a later run, at most eight.
    pub clashes: Vec<NodeId>,
}

impl FleetStatus {
    /// Creates the status from what was summed and what is known of the nodes.
    #[must_use]
    pub fn new(
        is_leading: bool,
        newest: ConfigVersion,
        acks: &AckSummary,
        table: &MemberTable,
    ) -> Self {
        let lagging = acks.slowest.iter().filter(|(version, _)| *version < newest);
        Self {
            is_leading,
            newest,
            nodes: u32::try_from(table.len()).unwrap_or(u32::MAX),
            current: acks.at_least(newest),
            versions: acks.clone(),
            lagging: lagging.cloned().collect(),
            lost: table.lost().take(MAX_NAMED).cloned().collect(),
            lost_count: u32::try_from(table.lost().count()).unwrap_or(u32::MAX),
            clashes: table.clashes().into_iter().take(MAX_NAMED).collect(),
        }
    }

    /// Whether every known node serves the newest version.
    #[must_use]
    pub fn is_in_force(&self) -> bool {
        let is_whole = self.lost_count == 0 && self.versions.total() == self.nodes;
        self.is_leading && is_whole && self.current == self.nodes && self.lagging.is_empty()
    }

    /// The node that serves the oldest version, if any serves an older one.
    #[must_use]
    pub fn slowest(&self) -> Option<&(ConfigVersion, NodeId)> {
        self.lagging.first()
    }
}
