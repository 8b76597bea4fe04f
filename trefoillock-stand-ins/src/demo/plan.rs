//! What the demonstration runs for each of the two firms.

/// One of the two firms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Firm {
    /// Swanreach Treaty Systems.
    Swanreach,
    /// Siamledger Asset Systems.
    Siamledger,
}

/// The sizes and names of a firm's demonstration.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The folder of the settings below `examples/settings` and the name of the tables.
    pub name: &'static str,
    /// The services with the number of their backend servers.
    pub services: &'static [(&'static str, usize)],
    /// The number of slots of a backend server.
    pub slots: u32,
    /// The number of connections of a backend server.
    pub connections: u32,
    /// The service and the route that move to a good version.
    pub good: Moved,
    /// The service and the route that move to a bad version.
    pub bad: Moved,
    /// The path of an export.
    pub export_path: &'static str,
    /// The service of which one backend server leaves.
    pub leaving: &'static str,
    /// The calls of the stand-in callers.
    pub calls: &'static [CallPlan],
}

/// A route that moves.
#[derive(Debug, Clone, Copy)]
pub struct Moved {
    /// The service.
    pub service: &'static str,
    /// The route.
    pub route: &'static str,
    /// The path of its calls.
    pub path: &'static str,
}

/// The calls that the stand-in callers make on one route.
#[derive(Debug, Clone, Copy)]
pub struct CallPlan {
    /// The path.
    pub path: &'static str,
    /// Whether the calls are postings with an idempotency key.
    pub posting: bool,
    /// Calls a second.
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
    good: Moved {
        service: "treaty-desk",
        route: "treaty-positions",
        path: "/treaties",
    },
    bad: Moved {
        service: "premium-ledger",
        route: "premium-lookups",
        path: "/premiums",
    },
    export_path: "/bordereaux",
    leaving: "claims-hub",
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
    good: Moved {
        service: "register",
        route: "asset-cards",
        path: "/assets",
    },
    bad: Moved {
        service: "transfers",
        route: "transfer-lookups",
        path: "/transfers",
    },
    export_path: "/schedules",
    leaving: "disposals",
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
