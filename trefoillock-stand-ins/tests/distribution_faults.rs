//! The fault matrix of the distribution: injects every fault at every step, with fixed seeds.
//!
//! The simulated fleet checks its invariants after each event. Evidence must never be counted
//! twice. After the fault has ended, all nodes must converge in time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_control::{ControlMachine, LeadershipRole};
use trefoillock_core::{Config, Evidence, MemberState, MoveEvidence, MoveId, PoolEvidence, Term};
use trefoillock_stand_ins::fleet::{Fleet, FleetSize, NetworkFaults, Process, sample};

const SIZE: FleetSize = FleetSize {
    controls: 3,
    nodes: 30,
    data_centres: 2,
    services: 4,
};
/// The number of seeds for each fault and step.
const SEEDS: u64 = 2;
/// The time within which all nodes must converge after the fault has ended.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Lost,
    Duplicated,
    Reordered,
    RelayCrash,
    /// A relay disappears and its peers do not learn that its connections closed.
    RelaySilent,
    LeaderChange,
    LeaderIsolated,
    NodeIsolated,
    NodeRestart,
    MassRestart,
    /// A relay is cut off from all parents but not from its children.
    StaleRelay,
    ClockStep,
    /// No control replica leads.
    SourceOutage,
    OutageAndRestart,
    LossAndLeaderChange,
    /// The lease of the leader ends again and again, but no other replica is elected.
    LeaseLapses,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Subscribe,
    Snapshot,
    Delta,
    Ack,
    RelayChange,
}

const STEPS: [Step; 5] = [
    Step::Subscribe,
    Step::Snapshot,
    Step::Delta,
    Step::Ack,
    Step::RelayChange,
];

struct Case {
    fleet: Fleet,
    rng: Pcg64Mcg,
    term: u64,
    leader: Option<usize>,
    version: u64,
    config: Arc<Config>,
    calls: u64,
    counted_calls: u64,
}

impl Case {
    fn new(seed: u64) -> Self {
        let config = sample::config(1, SIZE.services, BTreeMap::new());
        Self {
            fleet: Fleet::new(SIZE, &config, seed, false),
            rng: Pcg64Mcg::seed_from_u64(seed),
            term: 1,
            leader: Some(0),
            version: 1,
            config,
            calls: 0,
            counted_calls: 0,
        }
    }

    /// Accepts a new version at the leader. The followers get it only when one of them becomes
    /// leader.
    fn change(&mut self) {
        let Some(leader) = self.leader else {
            return;
        };
        self.version += self.rng.random_range(1..4);
        self.config = sample::config(self.version, SIZE.services, BTreeMap::new());
        let role = LeadershipRole::Leading {
            term: Term::new(self.term),
        };
        self.fleet.set_state(leader, role, &self.config);
    }

    fn elect(&mut self, leader: usize) {
        self.term += 1;
        self.leader = Some(leader);
        self.fleet.set_leader(Some(leader), self.term, &self.config);
    }

    fn random_node(&mut self) -> usize {
        self.rng.random_range(0..SIZE.nodes)
    }

    fn random_relay(&mut self) -> usize {
        let relays: Vec<usize> = self
            .fleet
            .running()
            .filter(|(_, node)| node.child_count() > 0)
            .map(|(at, _)| at)
            .collect();
        match relays.len() {
            0 => self.random_node(),
            count => relays[self.rng.random_range(0..count)],
        }
    }

    /// Runs one second of ordinary load: evidence on every node, and one backend server that
    /// drains.
    fn run_ordinary_load(&mut self) {
        for at in 0..SIZE.nodes {
            let mut evidence = Evidence::default();
            let pool = PoolEvidence {
                calls: 1,
                ..PoolEvidence::default()
            };
            let counts = MoveEvidence {
                old: pool.clone(),
                new: pool,
                ..MoveEvidence::default()
            };
            evidence.moves.insert(MoveId::new(1), counts);
            let mut calls = 0;
            self.fleet.with_node(at, |node| {
                node.add_evidence(&evidence, Vec::new());
                calls = 1;
            });
            self.calls += calls;
        }
        let at = self.random_node();
        let incarnation = self.version + 1_000;
        let mut announcement = sample::announcement(at, incarnation, SIZE.services);
        announcement.state = MemberState::Draining;
        self.fleet
            .with_node(at, |node| node.set_announcements(&[announcement]));
        self.fleet.run_for(Duration::from_secs(1));
        self.count_evidence();
    }

    fn count_evidence(&mut self) {
        for at in 0..SIZE.controls {
            let evidence = self.fleet.take_evidence(at);
            for counts in evidence.moves.values() {
                assert_eq!(
                    counts.old, counts.new,
                    "the evidence of both pools stays together"
                );
                self.counted_calls += counts.new.calls;
            }
        }
        assert!(
            self.counted_calls <= self.calls,
            "evidence was counted twice"
        );
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Subscribe => (0..SIZE.nodes).for_each(|at| self.fleet.start(at)),
            Step::Snapshot => {
                for at in (0..SIZE.nodes).step_by(2) {
                    self.fleet.kill(at, false);
                }
                self.change();
                for at in (0..SIZE.nodes).step_by(2) {
                    self.fleet.start(at);
                }
            }
            Step::Delta => self.change(),
            Step::Ack => {
                self.change();
                self.fleet.run_for(Duration::from_millis(3));
            }
            Step::RelayChange => {
                let relay = self.random_relay();
                self.fleet.kill(relay, false);
                self.change();
            }
        }
    }

    fn inject(&mut self, fault: Fault) {
        let lost = NetworkFaults {
            lost_percent: 30,
            ..NetworkFaults::default()
        };
        match fault {
            Fault::Lost => self.fleet.set_faults(lost),
            Fault::Duplicated => self.fleet.set_faults(NetworkFaults {
                duplicated_percent: 50,
                delayed_percent: 20,
                max_delay: Duration::from_secs(2),
                ..NetworkFaults::default()
            }),
            Fault::Reordered => self.fleet.set_faults(NetworkFaults {
                delayed_percent: 50,
                max_delay: Duration::from_secs(1),
                ..NetworkFaults::default()
            }),
            Fault::RelayCrash | Fault::RelaySilent => {
                let relay = self.random_relay();
                self.fleet.kill(relay, fault == Fault::RelaySilent);
            }
            Fault::LeaderChange => self.elect(1),
            Fault::LeaderIsolated => {
                self.fleet.isolate(Process::Control(0), true);
                self.fleet.run_for(Duration::from_secs(1));
                let deposed = LeadershipRole::Following { leader: None };
                let config = self.config.clone();
                self.fleet.set_state(0, deposed, &config);
                self.elect(1);
            }
            Fault::NodeIsolated => {
                let node = self.random_node();
                self.fleet.isolate(Process::Node(node), true);
            }
            Fault::NodeRestart => {
                for _ in 0..3 {
                    let node = self.random_node();
                    self.fleet.kill(node, false);
                    self.fleet.start(node);
                }
            }
            Fault::MassRestart => {
                for at in (1..SIZE.nodes).step_by(2) {
                    self.fleet.kill(at, false);
                }
                self.fleet.run_for(Duration::from_millis(700));
                for at in (1..SIZE.nodes).step_by(2) {
                    self.fleet.start(at);
                }
            }
            Fault::StaleRelay => {
                let relay = self.random_relay();
                for parent in 0..SIZE.controls {
                    self.fleet.partition(relay, Process::Control(parent));
                }
                for parent in 0..SIZE.nodes {
                    self.fleet.partition(relay, Process::Node(parent));
                }
                let node = self.random_node();
                self.fleet.kill(node, false);
                self.fleet.start(node);
            }
            Fault::ClockStep => {
                let node = self.random_relay();
                let by = Duration::from_hours(1);
                self.fleet.step_clock(Process::Node(node), by);
                self.fleet.step_clock(Process::Control(0), by);
            }
            Fault::SourceOutage => self.remove_leader(),
            Fault::OutageAndRestart => {
                self.remove_leader();
                for at in (0..SIZE.nodes).step_by(3) {
                    self.fleet.kill(at, false);
                    self.fleet.start(at);
                }
            }
            Fault::LossAndLeaderChange => {
                self.fleet.set_faults(lost);
                self.elect(2);
            }
            Fault::LeaseLapses => {
                let term = Term::new(self.term);
                for _ in 0..8 {
                    self.fleet.lapse_lease(0, term, &self.config);
                    self.fleet.run_for(Duration::from_millis(250));
                    self.change();
                    self.fleet.run_for(Duration::from_millis(50));
                }
            }
        }
    }

    /// Leaves the control replicas without a leader until the fault is healed.
    fn remove_leader(&mut self) {
        self.leader = None;
        self.fleet.set_leader(None, self.term, &self.config);
    }

    /// Ends the fault, elects a leader if there is none, starts the stopped nodes and accepts a new
    /// version.
    fn heal(&mut self) {
        self.fleet.set_faults(NetworkFaults::default());
        self.fleet.heal();
        if self.leader.is_none() {
            self.elect(2);
        }
        for at in 0..SIZE.nodes {
            if self.fleet.node(at).is_none() {
                self.fleet.start(at);
            }
        }
        self.change();
    }

    fn has_converged(&self) -> bool {
        let leader: &ControlMachine = self.fleet.control(self.leader.unwrap_or_default());
        let status = leader.status();
        let is_current = self.fleet.running().all(|(_, node)| {
            let is_newest = node
                .config()
                .is_some_and(|c| c.version() == self.config.version());
            is_newest && node.members() == Some(leader.members())
        });
        let has_all_servers = leader.members().servers.len() == SIZE.nodes;
        is_current
            && has_all_servers
            && status.has_converged()
            && status.nodes as usize == SIZE.nodes
    }
}

fn run(fault: Fault, step: Step, seed: u64) {
    let mut case = Case::new(seed);
    if step != Step::Subscribe {
        case.apply_step(Step::Subscribe);
        case.fleet.run_for(Duration::from_secs(7));
    }
    case.apply_step(step);
    case.inject(fault);
    for _ in 0..6 {
        case.run_ordinary_load();
        case.change();
    }
    case.heal();
    let end = case.fleet.now() + CONVERGENCE_LIMIT;
    let mut is_done = false;
    while !is_done && case.fleet.now() < end {
        case.fleet.run_for(Duration::from_millis(100));
        is_done = case.has_converged();
    }
    let status = case.fleet.control(case.leader.unwrap_or_default()).status();
    assert!(
        is_done,
        "{fault:?} at {step:?}, seed {seed}: not converged, {status:?}"
    );
    case.count_evidence();
}

fn run_all(fault: Fault) {
    for step in STEPS {
        for seed in 0..SEEDS {
            run(fault, step, seed);
        }
    }
}

macro_rules! fault_tests {
    ($($name:ident: $fault:ident,)*) => {
        $(
            #[test]
            fn $name() {
                run_all(Fault::$fault);
            }
        )*
    };
}

fault_tests! {
    lost_messages: Lost,
    duplicated_messages: Duplicated,
    reordered_messages: Reordered,
    crashed_relay: RelayCrash,
    silent_relay: RelaySilent,
    leader_change: LeaderChange,
    isolated_leader: LeaderIsolated,
    isolated_node: NodeIsolated,
    restarted_nodes: NodeRestart,
    mass_restart: MassRestart,
    stale_relay: StaleRelay,
    clock_step: ClockStep,
    source_outage: SourceOutage,
    source_outage_with_restarts: OutageAndRestart,
    loss_and_leader_change: LossAndLeaderChange,
    lease_lapses: LeaseLapses,
}
