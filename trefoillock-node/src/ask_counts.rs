//! Counts of the asks for the load of backend servers beside other nodes.

use trefoillock_core::data;

/// The counts of the asks that this node has sent since it started.
#[data(key)]
#[derive(Default)]
pub struct AskCounts {
    /// Asks sent.
    pub sent: u64,
    /// Asks that were answered with a report.
    pub answered: u64,
    /// Asks that were not answered in time, or without a report.
    pub failed: u64,
}
