//! Edits of the tables of routes and pools, and the answers to them.
//!
//! An edit replaces both tables. It is based on a version of the tables, and is refused with an
//! [`EditConflict`] if the tables have changed since.

use std::fmt;

use displaydoc::Display;
use trefoillock_macros::data;

use crate::{
    ConfigVersion, EditId, MoveId, PoolName, RouteName, TableErrors, Tables, Timestamp,
    WorkspaceName,
};

/// A replacement of both tables, accepted or refused as a whole.
#[data]
pub struct Edit {
    /// The identity of the edit; a retry carries the same one.
    pub id: EditId,
    /// The version of the tables that the edit is based on.
    pub base: ConfigVersion,
    /// The new tables.
    pub tables: Tables,
    /// The time at which the leader received the edit.
    pub at: Timestamp,
}

/// The names of the rows that differ between an older and a newer state of the tables.
#[data]
#[derive(Default)]
pub struct TablesDiff {
    /// Routes that only the newer tables contain.
    pub routes_added: Vec<RouteName>,
    /// Routes that only the older tables contain.
    pub routes_removed: Vec<RouteName>,
    /// Routes that both tables contain with different content.
    pub routes_changed: Vec<RouteName>,
    /// Pools that only the newer tables contain.
    pub pools_added: Vec<PoolName>,
    /// Pools that only the older tables contain.
    pub pools_removed: Vec<PoolName>,
    /// Pools that both tables contain with different content.
    pub pools_changed: Vec<PoolName>,
    /// Workspaces that were added.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces_added: Vec<WorkspaceName>,
    /// Workspaces that were removed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces_removed: Vec<WorkspaceName>,
    /// Workspaces whose content was changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces_changed: Vec<WorkspaceName>,
    /// Whether callers need a key by the newer tables; `None` if both tables agree.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub needs_keys: Option<bool>,
}

impl TablesDiff {
    /// Whether the tables are equal.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.routes_added.is_empty()
            && self.routes_removed.is_empty()
            && self.routes_changed.is_empty()
            && self.pools_added.is_empty()
            && self.pools_removed.is_empty()
            && self.pools_changed.is_empty()
            && self.workspaces_added.is_empty()
            && self.workspaces_removed.is_empty()
            && self.workspaces_changed.is_empty()
            && self.needs_keys.is_none()
    }
}

/// The conflict of an edit that is not based on the current version of the tables.
#[data]
pub struct EditConflict {
    /// The version that the edit is based on.
    pub base: ConfigVersion,
    /// The current version of the tables.
    pub current: ConfigVersion,
    /// The rows in which the edit differs from the current tables.
    pub difference: TablesDiff,
}

/// Why an edit was refused.
#[data]
#[derive(Display)]
pub enum EditRefusal {
    /// conflict: {0}
    Conflict(Box<EditConflict>),
    /// edit identity {0} was used before with other tables
    IdentityReused(EditId),
    /// the tables are not valid: {0}
    Invalid(TableErrors),
    /// route {0} changes its pool without a deadline
    NoDeadline(RouteName),
    /// the deadline for route {0} has passed
    DeadlinePassed(RouteName),
    /// route {0} is already being moved; cancel move {1} or wait until it ends
    RouteOnTheMove(RouteName, MoveId),
    /// pool {0} is in use by move {1}
    PoolInUse(PoolName, MoveId),
    /// pool {0} carries route {1}, so its service and version cannot change; add a pool and move the route
    PoolRedefined(PoolName, RouteName),
    /// route {1} starts to move away from pool {0}, so the pool must stay until the move is done
    OldPoolMissing(PoolName, RouteName),
}

impl fmt::Display for EditConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the edit was made on version {} but the tables are at version {}",
            self.base, self.current
        )
    }
}

/// The answer to an edit. A retry of the edit gets the same answer as the first attempt.
#[data]
pub enum EditAnswer {
    /// The tables were replaced.
    Accepted {
        /// The version of the tables after the edit.
        version: ConfigVersion,
        /// The moves that the edit started.
        moves: Vec<MoveId>,
    },
    /// The tables were not changed.
    Refused(EditRefusal),
}
