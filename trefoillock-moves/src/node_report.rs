//! How many nodes report evidence.

/// The lowest share of nodes that must report, in percent, before a share is raised.
const MIN_REPORTING_PERCENT: u64 = 60;

/// How many of the nodes that should report evidence did so of late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeReport {
    /// Nodes whose evidence arrived within the last three seconds, also if it was empty.
    pub nodes_reporting: u32,
    /// Nodes that should report.
    pub nodes_expected: u32,
}

impl NodeReport {
    /// Whether enough nodes report to raise a share.
    #[must_use]
    pub fn is_enough(self) -> bool {
        self.nodes_reporting > 0
            && u64::from(self.nodes_reporting) * 100
                >= u64::from(self.nodes_expected) * MIN_REPORTING_PERCENT
    }
}
