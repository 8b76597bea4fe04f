//! Counts of calls by workspace, and their division into a bounded number of series.

use std::{cmp::Reverse, collections::BTreeMap};

use trefoillock_core::{WorkspaceName, data};

use crate::CallEnd;

/// The largest number of workspaces that have a series of their own. It bounds the size of the metrics,
/// because a table may have thousands of workspaces.
const MAX_NAMED_SERIES: usize = 32;

/// The counts of calls of one workspace.
#[data(key)]
#[derive(Default)]
pub struct WorkspaceCounts {
    /// Calls with a complete response, with or without a server error.
    pub answered: u64,
    /// Calls that were refused and did not run.
    pub refused: u64,
    /// Calls that may have run and got no complete response.
    pub failed: u64,
}

impl WorkspaceCounts {
    /// Counts one call, unless its caller disconnected.
    pub(crate) const fn record(&mut self, end: CallEnd) {
        match end {
            CallEnd::Answered { .. } => self.answered += 1,
            CallEnd::Refused => self.refused += 1,
            CallEnd::Aborted | CallEnd::Failed { .. } => self.failed += 1,
            CallEnd::CallerDisconnected => {}
        }
    }

    /// Adds the counts of other calls.
    pub const fn merge(&mut self, other: &Self) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.failed += other.failed;
    }

    /// The number of calls.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.answered + self.refused + self.failed
    }

    /// The counts since `earlier`.
    const fn since(&self, earlier: &Self) -> Self {
        Self {
            answered: self.answered - earlier.answered,
            refused: self.refused - earlier.refused,
            failed: self.failed - earlier.failed,
        }
    }
}

/// The counts of the named workspaces, and of all others together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WorkspaceSeries {
    /// The counts of the workspaces that have a series of their own.
    pub named: BTreeMap<WorkspaceName, WorkspaceCounts>,
    /// The counts of all other workspaces.
    pub other: WorkspaceCounts,
}

/// Chooses the workspaces that have a series of their own: the largest at the time of a report, up to
/// 32 in all.
///
/// A workspace keeps its series, and the calls that were reported before it got one stay in the series of
/// the others, so no count ever decreases.
#[derive(Debug, Default)]
pub struct WorkspaceSeriesChooser {
    /// The named workspaces, each with the counts that were reported in the series of the others.
    named: BTreeMap<WorkspaceName, WorkspaceCounts>,
    /// The other workspaces, with the counts that were reported last.
    others: BTreeMap<WorkspaceName, WorkspaceCounts>,
}

impl WorkspaceSeriesChooser {
    /// Divides the counts of all workspaces since the start of the process into series.
    pub fn divide(&mut self, totals: &BTreeMap<WorkspaceName, WorkspaceCounts>) -> WorkspaceSeries {
        let mut unnamed: Vec<_> = totals
            .iter()
            .filter(|(name, _)| !self.named.contains_key(*name))
            .collect();
        unnamed.sort_by_key(|(_, counts)| Reverse(counts.total()));
        let free = MAX_NAMED_SERIES - self.named.len();
        for (name, _) in unnamed.into_iter().take(free) {
            let reported = self.others.remove(name).unwrap_or_default();
            self.named.insert(name.clone(), reported);
        }
        let mut series = WorkspaceSeries::default();
        for (name, counts) in totals {
            if let Some(reported) = self.named.get(name) {
                series.named.insert(name.clone(), counts.since(reported));
                series.other.merge(reported);
            } else {
                series.other.merge(counts);
                self.others.insert(name.clone(), *counts);
            }
        }
        series
    }
}
