//! The parameters of a simulated run.

use std::time::Duration;

/// A new version, good or bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// Behaves like the old version.
    Good,
    /// Behaves like the old version, but its health endpoint reports that it is unhealthy.
    GoodWithBadHealth,
    /// Half of the calls fail from the start.
    FailsAtOnce,
    /// Half of the calls fail from 60 s after the start of the move.
    FailsLater,
    /// 30% of the calls fail while more than half of the new pool's capacity is in use.
    FailsUnderLoad,
    /// 30% of the calls of one of the four routes fail.
    FailsOnOneRoute,
    /// 2% of the calls fail.
    FailsTwoPercent,
    /// Calls take three times as long.
    SlowThrice,
    /// One of twenty calls takes ten times as long.
    SlowTail,
    /// One of ten answers is truncated in the body.
    CutsBodies,
    /// One of fifty calls crashes the backend server.
    Crashes,
    /// 5% of the calls fail, but the health endpoint reports that the version is healthy.
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

    /// Whether the version has a defect on any route.
    #[must_use]
    pub const fn is_bad(self) -> bool {
        !matches!(self, Self::Good | Self::GoodWithBadHealth)
    }

    /// Whether the defect affects so many calls from the start that nearly every report shows it.
    #[must_use]
    pub const fn is_bad_at_once(self) -> bool {
        matches!(self, Self::FailsAtOnce | Self::SlowThrice)
    }

    /// Whether the version has a defect on a route, given by its index.
    #[must_use]
    pub const fn is_bad_on(self, route: usize) -> bool {
        match self {
            Self::FailsOnOneRoute => route == 0,
            _ => self.is_bad(),
        }
    }
}

/// A fault of the environment, independent of the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// No fault.
    None,
    /// New backend servers start four times as slow and reach normal speed after 20 s.
    ColdStart,
    /// New backend servers start one after the other.
    OneByOne,
    /// The old pool is overloaded: it refuses calls, fails and is slow until enough calls have
    /// moved.
    OldOverloaded,
    /// Load reports are late or false, so that one new backend server gets too many calls.
    LyingLoadReports,
    /// A request that crashes any backend server is sent repeatedly.
    PoisonRequest,
    /// The node beside one new backend server restarts every 10 s.
    NodeRestarts,
    /// The leader changes once, after a step that the seed selects. For 2 s there is no leader and
    /// evidence is lost.
    LeaderChange,
    /// The leader changes after each step that changes a share. Each time, there is no leader for
    /// 2 s and evidence is lost.
    LeaderChanges,
    /// One of three data centres cannot reach the control replicas for a minute.
    DataCentreCut,
    /// No node can reach the control replicas for a minute.
    RegionCut,
    /// One of five reports is lost and one of five of the others is 2 s late.
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

/// The algorithm that sets the shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Controller {
    /// The decision code of `trefoillock-moves`.
    Ours,
    /// The naive baseline: shares rise linearly with time up to the deadline, whatever the
    /// evidence.
    Naive,
}

/// The parameters of one run. Equal parameters give equal runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scenario {
    /// The new version, to which the routes move.
    pub version: Version,
    /// The fault of the environment.
    pub fault: Fault,
    /// The number of calls per second on each of the four routes.
    pub rate: u32,
    /// The time from the start to the deadline of the moves.
    pub deadline: Duration,
    /// The seed of the random number generator.
    pub seed: u64,
}
