//! The scheduling parameters of a call: class, rank, deadline and optional objective, and the
//! priority lane that follows from them.

use trefoillock_core::{
    DEFAULT_PRIORITY, RouteClass, RouteName, Timestamp, WorkspaceName, data, stable_hash,
};

/// A priority lane of the wait queue. Lanes are ordered by rank, then by class, and a free slot
/// goes to the first lane in that order.
///
/// Calls of one rank that have an objective share one lane and are ordered by objective within it,
/// so that short calls that a running call waits for are served before new work.
#[data]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub struct Lane {
    rank: u8,
    order: u8,
}

impl Lane {
    /// Returns the lane for a rank and a class.
    #[must_use]
    pub const fn new(rank: u8, class: RouteClass) -> Self {
        let order = match class {
            RouteClass::Posting => 0,
            RouteClass::Export => 1,
            RouteClass::Lookup => 2,
            RouteClass::Background => 3,
        };
        Self { rank, order }
    }

    /// Returns the lane shared by all calls of a rank that have an objective. Their class does not
    /// affect the order, so the lane is the first one of the rank, that of postings.
    const fn shared_by_rank(rank: u8) -> Self {
        Self {
            rank,
            order: Self::new(rank, RouteClass::Posting).order,
        }
    }

    /// The priority rank of the lane; 0 is the highest.
    #[must_use]
    pub const fn rank(self) -> u8 {
        self.rank
    }

    /// The class that the lane was created for. A lane shared by calls with an objective reports
    /// `Posting`.
    #[must_use]
    pub const fn class(self) -> RouteClass {
        match self.order {
            0 => RouteClass::Posting,
            1 => RouteClass::Export,
            2 => RouteClass::Lookup,
            _ => RouteClass::Background,
        }
    }
}

/// Identifies the workspace of a call to the deciding code, which needs no name.
#[data(key)]
#[serde(transparent)]
pub struct WorkspaceId(u64);

impl WorkspaceId {
    /// Creates an identifier from a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl From<&WorkspaceName> for WorkspaceId {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "half of the hash tells the workspaces of one system apart"
    )]
    fn from(name: &WorkspaceName) -> Self {
        Self(stable_hash([name.as_str().as_bytes()]) as u64)
    }
}

/// Tells the calls of different routes apart, so that each route has its own estimate of the service
/// time. The number of tags is bounded, so two routes may share one.
#[data(key)]
#[serde(transparent)]
pub struct RouteTag(u8);

impl RouteTag {
    /// Creates a tag from a number.
    #[must_use]
    pub const fn new(number: u8) -> Self {
        Self(number)
    }

    /// The number that the tag was created from.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl From<&RouteName> for RouteTag {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a byte of the hash is the tag"
    )]
    fn from(name: &RouteName) -> Self {
        Self(stable_hash([name.as_str().as_bytes()]) as u8)
    }
}

/// The scheduling parameters of a call offered to a backend server.
#[data(key)]
pub struct Demand {
    /// The class of the route that the call matched.
    pub class: RouteClass,
    /// The priority rank; 0 is the highest.
    pub rank: u8,
    /// The time after which the caller no longer waits for the answer.
    pub deadline: Timestamp,
    /// The time by which the answer should arrive, if the call has a latency objective. A later
    /// answer, up to the deadline, is still useful.
    pub objective: Option<Timestamp>,
    /// The workspace that sent the call; `None` if the call carried no key.
    pub workspace: Option<WorkspaceId>,
    /// The route of the call; `None` if it is not known.
    pub route: Option<RouteTag>,
}

impl Demand {
    /// Creates the parameters of a call with the default rank and no objective.
    #[must_use]
    pub const fn new(class: RouteClass, deadline: Timestamp) -> Self {
        Self {
            class,
            rank: DEFAULT_PRIORITY,
            deadline,
            objective: None,
            workspace: None,
            route: None,
        }
    }

    /// Sets the route of the call.
    #[must_use]
    pub const fn route(mut self, route: Option<RouteTag>) -> Self {
        self.route = route;
        self
    }

    /// Sets the workspace that sent the call.
    #[must_use]
    pub const fn workspace(mut self, workspace: Option<WorkspaceId>) -> Self {
        self.workspace = workspace;
        self
    }

    /// Sets the priority rank; 0 is the highest.
    #[must_use]
    pub const fn rank(mut self, rank: u8) -> Self {
        self.rank = rank;
        self
    }

    /// Sets the time by which the answer should arrive.
    #[must_use]
    pub const fn objective(mut self, objective: Timestamp) -> Self {
        self.objective = Some(objective);
        self
    }

    /// The rank and class of the call, by which service times are tracked and running calls are
    /// counted: calls of the same kind are expected to take similar times. Unlike [`Self::lane`],
    /// the kind does not depend on the objective.
    #[must_use]
    pub const fn kind(&self) -> Lane {
        Lane::new(self.rank, self.class)
    }

    /// The lane in which the call waits for a slot.
    #[must_use]
    pub const fn lane(&self) -> Lane {
        match self.objective {
            Some(_) => Lane::shared_by_rank(self.rank),
            None => Lane::new(self.rank, self.class),
        }
    }
}
