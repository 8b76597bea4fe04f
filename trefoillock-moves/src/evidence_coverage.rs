//! Coverage of the evidence: how many nodes report.

/// Percentage of nodes that must report before a share is raised.
const MIN_REPORTING_PERCENT: u64 = 60;

/// How many of the nodes that should report evidence did so recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvidenceCoverage {
    /// Number of nodes whose evidence, which may be empty, arrived within the last three seconds.
    pub nodes_reporting: u32,
    /// Number of nodes that should report.
    pub nodes_expected: u32,
}

impl EvidenceCoverage {
    /// Whether enough nodes report to raise a share.
    #[must_use]
    pub fn is_enough(self) -> bool {
        self.nodes_reporting > 0
            && u64::from(self.nodes_reporting) * 100
                >= u64::from(self.nodes_expected) * MIN_REPORTING_PERCENT
    }
}
