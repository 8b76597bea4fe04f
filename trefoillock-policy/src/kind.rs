//! The kinds of calls by which [`crate::Admission`] tracks service times and shares slots.

use crate::{Demand, Lane, RouteTag};

/// Calls that are expected to take similar times: of one rank, class and route, and either sent by a
/// workspace or made by a backend server while it runs a call.
///
/// Without the route, a short call of a server's own that shares rank and class with a call of a
/// second of work would be refused because a call of a second cannot meet its deadline. Calls without
/// an objective are not divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Kind {
    lane: Lane,
    has_workspace: bool,
    route: Option<RouteTag>,
}

impl Kind {
    /// The rank and class of the kind.
    pub(crate) const fn lane(self) -> Lane {
        self.lane
    }
}

impl From<&Demand> for Kind {
    fn from(demand: &Demand) -> Self {
        Self {
            lane: demand.kind(),
            has_workspace: demand.objective.is_some() && demand.workspace.is_some(),
            route: demand.route.filter(|_| demand.objective.is_some()),
        }
    }
}
