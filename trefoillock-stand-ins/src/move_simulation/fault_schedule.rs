//! When and where the fault of a scenario takes effect during a run.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{
    members::NODES,
    sampling::happens,
    scenario::{Fault, Scenario},
};

/// How long a data centre or the region cannot reach the control replicas.
const CUT_OFF_DURATION: Duration = Duration::from_mins(1);
/// The number of nodes in one data centre.
const NODES_PER_DATA_CENTRE: usize = 4;
/// The time between two restarts with [`Fault::NodeRestarts`].
const RESTART_PERIOD: Duration = Duration::from_secs(10);
/// How long a restart takes.
const RESTART_DURATION: Duration = Duration::from_secs(3);
/// The number of decisions that change a share in a run without faults.
const SHARE_STEPS: u64 = 12;
/// The time until a new backend server reaches normal speed, in seconds.
const COLD_START_S: f64 = 20.0;

/// The effects of the fault of one run over time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultSchedule {
    fault: Fault,
    deadline: Duration,
    seed: u64,
}

impl FaultSchedule {
    pub(crate) const fn new(scenario: &Scenario) -> Self {
        Self {
            fault: scenario.fault,
            deadline: scenario.deadline,
            seed: scenario.seed,
        }
    }

    /// Whether a node cannot reach the control replicas.
    pub(crate) fn is_cut_off(&self, since_start: Duration, node: usize) -> bool {
        let from = self.deadline / 5;
        let is_active = since_start >= from && since_start < from + CUT_OFF_DURATION;
        match self.fault {
            Fault::DataCentreCut => is_active && node < NODES_PER_DATA_CENTRE,
            Fault::RegionCut => is_active && node < NODES,
            _ => false,
        }
    }

    /// Whether a node is restarting.
    pub(crate) fn is_restarting(&self, since_start: Duration, node: usize) -> bool {
        let phase = since_start.as_millis() % RESTART_PERIOD.as_millis();
        self.fault == Fault::NodeRestarts && node == 0 && phase < RESTART_DURATION.as_millis()
    }

    /// Whether a node stops at this tick and loses its calls in flight.
    pub(crate) fn loses_calls(&self, since_start: Duration) -> bool {
        let phase = since_start.as_millis() % RESTART_PERIOD.as_millis();
        self.fault == Fault::NodeRestarts && phase == 0
    }

    /// The time from the start of the move at which a new backend server starts.
    pub(crate) fn arrival(&self, server: usize) -> Duration {
        let first = Duration::from_secs(1);
        match self.fault {
            Fault::OneByOne => first + self.deadline / 30 * u32::try_from(server).unwrap_or(0),
            _ => first,
        }
    }

    /// The latency factor of a new backend server that has run for `age`; 1 is normal.
    pub(crate) fn slowness(&self, server: usize, age: Duration) -> f64 {
        let cold = 1.0 + 3.0 * (1.0 - age.as_secs_f64() / COLD_START_S).max(0.0);
        match self.fault {
            Fault::ColdStart | Fault::OneByOne => cold,
            Fault::LyingLoadReports if server == 0 => 1.5,
            _ => 1.0,
        }
    }

    /// Picks the new backend server that takes a call.
    pub(crate) fn pick_server(&self, rng: &mut Pcg64Mcg, up: &[usize]) -> usize {
        if self.fault == Fault::LyingLoadReports && happens(rng, 0.2) {
            return up[0];
        }
        up[rng.random_range(0..up.len())]
    }

    /// The load of the old pool while it takes a given fraction of the calls.
    pub(crate) fn old_load(&self, fraction: f64) -> f64 {
        match self.fault {
            Fault::OldOverloaded => 1.3 * fraction,
            _ => 0.6 * fraction,
        }
    }

    /// Whether a request that crashes its backend server is sent at this tick. Each such request is
    /// sent three times; then it is assumed to be quarantined.
    pub(crate) fn sends_poison(&self, since_start: Duration) -> bool {
        let period = self.deadline.as_millis() / 3;
        let phase = since_start.as_millis() % period;
        self.fault == Fault::PoisonRequest && matches!(phase, 5_000 | 6_000 | 7_000)
    }

    /// The index of the poison request that is sent at this time.
    pub(crate) fn poison_number(&self, since_start: Duration) -> u32 {
        let number = since_start.as_millis() / (self.deadline.as_millis() / 3);
        u32::try_from(number).unwrap_or(u32::MAX)
    }

    /// Draws whether a report is lost.
    pub(crate) fn loses_report(&self, rng: &mut Pcg64Mcg) -> bool {
        self.fault == Fault::EvidenceLost && happens(rng, 0.2)
    }

    /// Draws how many ticks a report takes to reach the control replicas.
    pub(crate) fn report_delay(&self, rng: &mut Pcg64Mcg) -> u64 {
        if self.fault == Fault::EvidenceLost && happens(rng, 0.2) {
            return 20;
        }
        rng.random_range(1..=3)
    }

    /// Whether the leader changes after a step that changed a share, given by the step's index.
    pub(crate) fn changes_leader(&self, step: u64) -> bool {
        match self.fault {
            Fault::LeaderChange => step == self.seed % SHARE_STEPS,
            Fault::LeaderChanges => true,
            _ => false,
        }
    }
}
