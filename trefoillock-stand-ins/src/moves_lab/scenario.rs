//! What a run of the laboratory is made of.

use std::time::Duration;

/// A new version, good or bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// As good as the old one.
    Good,
    /// As good as the old one, while its health endpoint says that it is not.
    GoodWithBadHealth,
    /// Half of the calls fail.
    FailsAtOnce,
    /// Half of the calls fail from 60 s after the start of the move.
    FailsLater,
    /// 30% of the calls fail while the backend servers are more than half busy.
    FailsUnderLoad,
    /// 30% of the calls of one route of four fail.
    FailsOnOneRoute,
    /// 2% of the calls fail.
    FailsTwoPercent,
    /// Calls take three times as long.
    SlowThrice,
    /// One call of twenty takes ten times as long.
    SlowTail,
    /// One answer of ten is cut in mid-body.
    CutsBodies,
    /// One call of fifty ends the process of the backend server.
    Crashes,
    /// 5% of the calls fail while the health endpoint says that all is well.
    BadWithGoodHealth,
}

impl Version {
    /// All bad versions.
    pub const BAD: [Self; 10] = [
        Self::FailsAtOnce,
        Self::FailsLater,
        Self::FailsUnderLoad,
        Self::FailsOnOneRoute,
        Self::FailsTwoPercent,
        Self::SlowThrice,
        Self::SlowTail,
        Self::CutsBodies,
        Self::Crashes,
        Self::BadWithGoodHealth,
    ];

    /// Whether the version is bad.
    #[must_use]
    pub const fn is_bad(self) -> bool {
        !matches!(self, Self::Good | Self::GoodWithBadHealth)
    }

    /// Whether nearly every report shows that the version is bad, from its first calls on.
    #[must_use]
    pub const fn is_bad_at_once(self) -> bool {
        matches!(self, Self::FailsAtOnce | Self::SlowThrice)
    }

    /// Whether the version is bad on a route, by the route's number.
    #[must_use]
    pub const fn is_bad_on(self, route: usize) -> bool {
        match self {
            Self::FailsOnOneRoute => route == 0,
            _ => self.is_bad(),
        }
    }
}

/// What goes wrong beside the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Nothing.
    None,
    /// New backend servers are four times as slow at first, for 20 s.
    ColdStart,
    /// New backend servers arrive one by one.
    OneByOne,
    /// The old version is overloaded: it refuses, fails and is slow until calls have moved.
    OldOverloaded,
    /// Load reports lag or lie, so that one new backend server gets more calls than it should.
    LyingLoadReports,
    /// A request that crashes any backend server is sent again and again.
    PoisonRequest,
    /// One node beside a new backend server restarts every 10 s.
    NodeRestarts,
    /// The leader changes once, after one of the steps by the seed, with a gap of 2 s in which
    /// evidence is lost.
    LeaderChange,
    /// The leader changes after each step, with a gap of 2 s in which evidence is lost.
    LeaderChanges,
    /// One data centre of three cannot reach control for a minute.
    DataCentreCut,
    /// No node can reach control for a minute.
    RegionCut,
    /// One report of five is lost and one of five is 2 s late.
    EvidenceLost,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 12] = [
        Self::None,
        Self::ColdStart,
        Self::OneByOne,
        Self::OldOverloaded,
        Self::LyingLoadReports,
        Self::PoisonRequest,
        Self::NodeRestarts,
        Self::LeaderChange,
        Self::LeaderChanges,
        Self::DataCentreCut,
        Self::RegionCut,
        Self::EvidenceLost,
    ];
}

/// Who decides on the shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Controller {
    /// The decision code of `trefoillock-moves`.
    Ours,
    /// Shares rise with the clock up to the deadline; nothing is judged.
    Naive,
}

/// One run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scenario {
    /// The new version.
    pub version: Version,
    /// What goes wrong beside it.
    pub fault: Fault,
    /// The calls of each of the four routes a second.
    pub rate: u32,
    /// The time between start and deadline.
    pub deadline: Duration,
    /// The seed of all draws.
    pub seed: u64,
}
