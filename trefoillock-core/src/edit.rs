//! Edits of the two tables and the answers to them.

use std::fmt;

use displaydoc::Display;
use trefoillock_macros::data;

use crate::{ConfigVersion, EditId, MoveId, PoolName, RouteName, TableErrors, Tables, Timestamp};

/// A replacement of both tables, accepted or refused as a whole.
#[data]
pub struct Edit {
    /// The identity that all resends of this edit share.
    pub id: EditId,
    /// The version of the tables that the operator saw.
    pub base: ConfigVersion,
    /// The tables as they shall be.
    pub tables: Tables,
    /// The time at which the leader took the edit in.
    pub at: Timestamp,
}

/// The names of the rows in which two states of the tables differ.
#[data]
#[derive(Default)]
pub struct TablesDiff {
    /// Routes of the second state only.
    pub routes_added: Vec<RouteName>,
    /// Routes of the first state only.
    pub routes_removed: Vec<RouteName>,
    /// Routes of both states that differ.
    pub routes_changed: Vec<RouteName>,
    /// Pools of the second state only.
    pub pools_added: Vec<PoolName>,
    /// Pools of the first state only.
    pub pools_removed: Vec<PoolName>,
    /// Pools of both states that differ.
    pub pools_changed: Vec<PoolName>,
}

impl TablesDiff {
    /// Whether both states are equal.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.routes_added.is_empty()
            && self.routes_removed.is_empty()
            && self.routes_changed.is_empty()
            && self.pools_added.is_empty()
            && self.pools_removed.is_empty()
            && self.pools_changed.is_empty()
    }
}

/// An edit that was made on another version of the tables than the present one.
#[data]
pub struct EditConflict {
    /// The version on which the edit was made.
    pub base: ConfigVersion,
    /// The present version of the tables.
    pub current: ConfigVersion,
    /// The rows in which the edit differs from the present tables.
    pub difference: TablesDiff,
}

/// Why an edit changed nothing.
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
    /// route {0} is on the move; cancel move {1} or wait for its end
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

/// The answer to an edit; a resend gets the first answer again.
#[data]
pub enum EditAnswer {
    /// The tables were replaced.
    Accepted {
        /// The version that the edit made.
        version: ConfigVersion,
        /// The moves that the edit started.
        moves: Vec<MoveId>,
    },
    /// Nothing was changed.
    Refused(EditRefusal),
}
