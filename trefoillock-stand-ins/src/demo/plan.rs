//! The services, routes and calls of the demonstration for each of the two firms.

/// A firm whose example settings and tables the demonstration uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Firm {
    /// Swanreach Treaty Systems.
    Swanreach,
    /// Siamledger Asset Systems.
    Siamledger,
}

/// The parameters of the demonstration for one firm.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The name of the settings folder in `examples/settings` and of the tables in
    /// `examples/tables`.
    pub name: &'static str,
    /// The services with the number of their backend servers.
    pub services: &'static [(&'static str, usize)],
    /// The number of slots of a backend server.
    pub slots: u32,
    /// The number of connections of a backend server.
    pub connections: u32,
    /// The route that moves to a good version, with its service.
    pub good: MovedRoute,
    /// The route that moves to a bad version, with its service.
    pub bad: MovedRoute,
    /// The path of the export that is in flight while a node stops.
    pub export_path: &'static str,
    /// The service of which one backend server is drained.
    pub drained_service: &'static str,
    /// The calls that the stand-in callers make.
    pub calls: &'static [CallPlan],
}

/// A route that moves.
#[derive(Debug, Clone, Copy)]
pub struct MovedRoute {
    /// The name of the service.
    pub service: &'static str,
    /// The name of the route.
    pub route: &'static str,
    /// The path of its calls.
    pub path: &'static str,
}

/// The calls that the stand-in callers make on one route.
#[derive(Debug, Clone, Copy)]
pub struct CallPlan {
    /// The path of the calls.
    pub path: &'static str,
    /// Whether the calls are postings with an idempotency key.
    pub posting: bool,
    /// The number of calls per second.
    pub rate: u32,
}

const fn lookups(path: &'static str, rate: u32) -> CallPlan {
    CallPlan {
        path,
        posting: false,
        rate,
    }
}

const fn postings(path: &'static str, rate: u32) -> CallPlan {
    CallPlan {
        path,
        posting: true,
        rate,
    }
}

const SWANREACH: Plan = Plan {
    name: "swanreach",
    services: &[
        ("treaty-desk", 6),
        ("claims-hub", 3),
        ("bdx-vault", 3),
        ("premium-ledger", 3),
    ],
    slots: 9,
    connections: 120,
    good: MovedRoute {
        service: "treaty-desk",
        route: "treaty-positions",
        path: "/treaties",
    },
    bad: MovedRoute {
        service: "premium-ledger",
        route: "premium-lookups",
        path: "/premiums",
    },
    export_path: "/bordereaux",
    drained_service: "claims-hub",
    calls: &[
        lookups("/treaties", 200),
        lookups("/premiums", 200),
        lookups("/claims", 40),
        lookups("/bordereaux", 10),
        lookups("/internal/treaties", 20),
        postings("/claims", 40),
        postings("/premiums", 40),
    ],
};

const SIAMLEDGER: Plan = Plan {
    name: "siamledger",
    services: &[
        ("register", 4),
        ("disposals", 3),
        ("schedules", 3),
        ("transfers", 3),
    ],
    slots: 12,
    connections: 110,
    good: MovedRoute {
        service: "register",
        route: "asset-cards",
        path: "/assets",
    },
    bad: MovedRoute {
        service: "transfers",
        route: "transfer-lookups",
        path: "/transfers",
    },
    export_path: "/schedules",
    drained_service: "disposals",
    calls: &[
        lookups("/assets", 200),
        lookups("/transfers", 200),
        lookups("/disposals", 40),
        lookups("/schedules", 10),
        lookups("/internal/assets", 20),
        postings("/disposals", 40),
        postings("/transfers", 40),
    ],
};

impl From<Firm> for Plan {
    fn from(firm: Firm) -> Self {
        match firm {
            Firm::Swanreach => SWANREACH,
            Firm::Siamledger => SIAMLEDGER,
        }
    }
}
