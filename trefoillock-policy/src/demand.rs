//! What a call asks of a backend server.

use trefoillock_core::{DEFAULT_PRIORITY, RouteClass, Timestamp, data};

/// The order in which calls get a free slot: by rank, then by class. Calls that have an
/// objective are ordered by that within their rank, so that the short calls that a running call
/// waits for come before new work.
#[data]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub struct Lane {
    rank: u8,
    order: u8,
}

impl Lane {
    /// The lane of calls of a rank and a class.
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

    /// The lane of calls that have an objective: among them the class does not matter.
    const fn of_rank(rank: u8) -> Self {
        Self {
            rank,
            order: Self::new(rank, RouteClass::Posting).order,
        }
    }

    /// The class of the calls.
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

/// What a call asks of a backend server.
#[data(key)]
pub struct Demand {
    /// The class of the call.
    pub class: RouteClass,
    /// The rank of the call; 0 is the highest.
    pub rank: u8,
    /// The time after which nobody waits for the answer.
    pub deadline: Timestamp,
    /// The time by which the answer is worth most, if the call has an objective of its own.
    pub objective: Option<Timestamp>,
}

impl Demand {
    /// A call of a class without a rank or an objective of its own.
    #[must_use]
    pub const fn new(class: RouteClass, deadline: Timestamp) -> Self {
        Self {
            class,
            rank: DEFAULT_PRIORITY,
            deadline,
            objective: None,
        }
    }

    /// Sets the rank.
    #[must_use]
    pub const fn rank(mut self, rank: u8) -> Self {
        self.rank = rank;
        self
    }

    /// Sets the time by which the answer is worth most.
    #[must_use]
    pub const fn objective(mut self, objective: Timestamp) -> Self {
        self.objective = Some(objective);
        self
    }

    /// What calls have in common that take a similar time.
    #[must_use]
    pub const fn kind(&self) -> Lane {
        Lane::new(self.rank, self.class)
    }

    /// The lane in which the call waits.
    #[must_use]
    pub const fn lane(&self) -> Lane {
        match self.objective {
            Some(_) => Lane::of_rank(self.rank),
            None => Lane::new(self.rank, self.class),
        }
    }
}
