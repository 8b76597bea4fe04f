//! The parameters of one simulation, drawn from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{CallRate, Timestamp};

/// The start of the simulated time.
pub(crate) const START: Timestamp = Timestamp::from_secs(1_000);
/// The simulated time during which calls arrive.
pub(crate) const LENGTH: Duration = Duration::from_secs(24);
/// The mean rate of calls for each backend server, in calls per second.
const CALLS_PER_SERVER: f64 = 60.0;

/// Something that happens at one time of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A backend server states this limit from now on, or none.
    Limit(usize, Option<CallRate>),
    /// A backend server says that it leaves; after two seconds it ends and a successor starts at
    /// its address.
    Leave(usize),
    /// A backend server starts again.
    RestartServer(usize),
    /// The node beside a backend server starts again and has forgotten everything.
    RestartDestination(usize),
    /// An entry node starts again and has forgotten everything.
    RestartEntry(usize),
    /// The leader is lost: the list of members does not change for three seconds.
    LoseLeader,
    /// All callers send three times as many calls for two seconds.
    Burst,
}

/// One simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The seed from which everything is drawn.
    pub seed: u64,
    /// The number of entry nodes. The first one gets half of the calls.
    pub entries: usize,
    /// The number of backend servers.
    pub servers: usize,
    /// Whether calls have a latency objective.
    pub has_objectives: bool,
    /// Whether entry nodes use what destination nodes report about limits.
    pub entries_learn: bool,
    /// What happens, in the order of time.
    pub faults: Vec<(Timestamp, Fault)>,
}

impl Scenario {
    /// Draws a scenario in which limits begin, change and end, with other faults beside them.
    #[must_use]
    pub fn with_faults(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut scenario = Self::draw(seed, &mut rng);
        let count = rng.random_range(3..12);
        for _ in 0..count {
            let at = START + LENGTH.mul_f64(rng.random_range(0.05..0.9));
            let fault = scenario.draw_fault(&mut rng);
            scenario.faults.push((at, fault));
        }
        scenario.faults.sort_by_key(|(at, _)| *at);
        scenario
    }

    /// Draws a scenario in which some backend servers state a limit for the whole time and nothing
    /// else happens.
    #[must_use]
    pub fn steady(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut scenario = Self::draw(seed, &mut rng);
        let limited = rng.random_range(1..=scenario.servers);
        for server in 0..limited {
            let limit = draw_limit(&mut rng, 3.0);
            scenario.faults.push((START, Fault::Limit(server, limit)));
        }
        scenario
    }

    /// Sets whether entry nodes use what destination nodes report about limits.
    #[must_use]
    pub const fn entries_learn(mut self, entries_learn: bool) -> Self {
        self.entries_learn = entries_learn;
        self
    }

    fn draw(seed: u64, rng: &mut Pcg64Mcg) -> Self {
        Self {
            seed,
            entries: rng.random_range(2..=13),
            servers: rng.random_range(2..=5),
            has_objectives: rng.random(),
            entries_learn: true,
            faults: Vec::new(),
        }
    }

    fn draw_fault(&self, rng: &mut Pcg64Mcg) -> Fault {
        let server = rng.random_range(0..self.servers);
        match rng.random_range(0..16) {
            0..8 => Fault::Limit(server, draw_limit(rng, 0.0)),
            8 => Fault::Limit(server, None),
            9 => Fault::Leave(server),
            10 => Fault::RestartServer(server),
            11 | 12 => Fault::RestartDestination(server),
            13 => Fault::RestartEntry(rng.random_range(0..self.entries)),
            14 => Fault::LoseLeader,
            _ => Fault::Burst,
        }
    }

    /// The mean rate of calls that arrive at an entry node, in calls per second.
    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    pub(crate) fn calls_per_s(&self, entry: usize) -> f64 {
        let all = CALLS_PER_SERVER * self.servers as f64;
        if entry == 0 {
            all / 2.0
        } else {
            all / 2.0 / (self.entries - 1) as f64
        }
    }
}

/// Draws a limit well below the rate of calls for one backend server.
fn draw_limit(rng: &mut Pcg64Mcg, lowest: f64) -> Option<CallRate> {
    let per_s = rng.random_range(lowest..30.0);
    CallRate::try_from(if per_s < 0.5 { 0.0 } else { per_s }).ok()
}
