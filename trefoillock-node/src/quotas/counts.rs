//! Counts of the use of quotas for metrics.

use std::collections::BTreeMap;

use trefoillock_core::WorkspaceName;
use trefoillock_policy::BucketUse;

/// The largest number of workspaces that are counted by name.
const MAX_NAMES: usize = 100;
/// The name under which the other workspaces are counted.
const OTHER: &str = "(other)";

/// What this node has granted as a guard and refused as an entry node, by workspace. Workspaces
/// beyond the first hundred are counted together.
#[derive(Debug, Clone, Default)]
pub struct QuotaCounts {
    rows: BTreeMap<String, QuotaRow>,
}

/// The counts of one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuotaRow {
    /// The number of tokens that this node granted as a guard.
    pub granted: u64,
    /// The number of requests for tokens that found the bucket of this node empty.
    pub empty: u64,
    /// The number of calls that got no token at this node, while it remembers the workspace.
    pub refused_calls: u64,
}

impl QuotaCounts {
    pub(super) fn add_bucket(&mut self, name: &WorkspaceName, usage: BucketUse) {
        let row = self.row(name);
        row.granted += usage.granted;
        row.empty += usage.refused;
    }

    pub(super) fn add_refused_calls(&mut self, name: &WorkspaceName, count: u64) {
        if count > 0 {
            self.row(name).refused_calls += count;
        }
    }

    /// The counts by the name of the workspace.
    pub fn rows(&self) -> impl Iterator<Item = (&str, QuotaRow)> {
        self.rows.iter().map(|(name, row)| (name.as_str(), *row))
    }

    fn row(&mut self, name: &WorkspaceName) -> &mut QuotaRow {
        let is_named = self.rows.len() < MAX_NAMES || self.rows.contains_key(name.as_str());
        let name = if is_named { name.as_str() } else { OTHER };
        self.rows.entry(name.to_owned()).or_default()
    }
}
