//! Measures a fleet on the in-memory network in virtual time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use trefoillock_control::{ConfigUpdate, MembersUpdate, NodeMachine, Payload};
use trefoillock_core::{
    Config, Evidence, LatencySketch, MemberState, MoveEvidence, MoveId, PoolEvidence,
};
use trefoillock_stand_ins::fleet::{Fleet, FleetSize, NaivePush, Process, ProcessLoad, sample};

use crate::{
    figures::{DistributionFigures, Load, Times, VirtualFigures},
    process::{Stopwatch, resident_bytes},
};

const SEED: u64 = 7;
const CONTROLS: usize = 3;
const DATA_CENTRES: usize = 5;
const SERVICES: usize = 190;
/// The number of changes whose convergence is measured.
const CHANGES: u64 = 3;
/// How long ordinary load is measured.
const LOAD_DURATION: Duration = Duration::from_secs(5);
/// The number of backend servers that start to drain per second of ordinary load.
const DRAINS_PER_SECOND: u64 = 2;
/// The number of moves for which each node has evidence in each second of ordinary load.
const MOVES_PER_NODE: u64 = 2;
/// The number of nodes whose drain, and of nodes whose loss, is measured.
const MEASURED_NODES: usize = 2;
/// The timeout when waiting for a condition, in virtual time.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

struct Measurement {
    fleet: Fleet,
    nodes: usize,
    drained: usize,
    version: u64,
    config: Arc<Config>,
}

pub(crate) fn measure(nodes: usize) -> VirtualFigures {
    let watch = Stopwatch::start();
    let mut measurement = Measurement::new(nodes);
    let mut figures = VirtualFigures {
        nodes,
        ..VirtualFigures::default()
    };
    measurement.measure_cold_start(&mut figures);
    measurement.measure_changes(&mut figures);
    measurement.measure_ordinary_load(&mut figures);
    measurement.measure_drain(&mut figures);
    measurement.measure_silent_loss(&mut figures);
    measurement.measure_new_leader(&mut figures);
    measurement.measure_herd_restart(&mut figures);
    measurement.compute_naive(&mut figures);
    figures.elapsed_s = watch.elapsed().as_secs_f64();
    figures
}

impl Measurement {
    fn new(nodes: usize) -> Self {
        let size = FleetSize {
            controls: CONTROLS,
            nodes,
            data_centres: DATA_CENTRES.min(nodes),
            services: SERVICES,
        };
        let config = sample::config(1, SERVICES, sample::guards(nodes));
        Self {
            fleet: Fleet::new(size, &config, SEED, true),
            nodes,
            drained: 0,
            version: 1,
            config,
        }
    }

    /// Waits until a condition holds for every running node and returns the time for each. A node
    /// for which it does not hold in time gets the timeout.
    fn wait_for_all(&mut self, wanted: impl Fn(&NodeMachine) -> bool) -> Vec<Duration> {
        let start = self.fleet.now();
        let mut waiting: Vec<usize> = self.fleet.running().map(|(at, _)| at).collect();
        let mut times = Vec::with_capacity(waiting.len());
        self.fleet.run_until(start + WAIT_TIMEOUT, |fleet| {
            waiting.retain(|at| {
                let is_met = fleet.node(*at).is_none_or(&wanted);
                if is_met {
                    times.push(fleet.now().since(start));
                }
                !is_met
            });
            waiting.is_empty()
        });
        times.extend(waiting.iter().map(|_| WAIT_TIMEOUT));
        times
    }

    fn serves_newest(&self) -> impl Fn(&NodeMachine) -> bool + use<> {
        let version = self.config.version();
        move |node| {
            node.config()
                .is_some_and(|config| config.version() >= version)
        }
    }

    /// Gives the leader the next version of the configuration.
    fn change(&mut self) {
        self.version += 1;
        let guards = self.config.guards().clone();
        self.config = sample::config(self.version, SERVICES, guards);
        let role = trefoillock_control::LeadershipRole::Leading {
            term: trefoillock_core::Term::new(1),
        };
        self.fleet.set_state(0, role, &self.config);
    }

    fn measure_cold_start(&mut self, figures: &mut VirtualFigures) {
        let before = resident_bytes();
        for at in 0..self.nodes {
            self.fleet.start(at);
        }
        figures.cold_start = Times::of(self.wait_for_all(self.serves_newest()));
        let nodes = self.nodes;
        self.wait_for_all(|node| node.members().is_some_and(|m| m.servers.len() == nodes));
        self.fleet.run_for(Duration::from_secs(3));
        let grown = resident_bytes().saturating_sub(before);
        figures.memory_per_node_bytes = grown / nodes as u64;
        let leader = self.fleet.control(0);
        figures.roots = leader.child_count();
        let children = self.fleet.running().map(|(_, node)| node.child_count());
        figures.most_children = children.max().unwrap_or_default();
        let members = MembersUpdate::Snapshot(leader.members().as_ref().clone());
        let members = Payload::encode(&members);
        figures.members_snapshot_bytes = members.len();
        let config = ConfigUpdate::Snapshot(self.config.as_ref().clone());
        let config = Payload::encode(&config);
        figures.config_snapshot_bytes = config.len();
        let watch = Stopwatch::start();
        let decoded = config.decode::<ConfigUpdate>();
        if let Some(ConfigUpdate::Snapshot(config)) = &decoded {
            assert_eq!(config.validate(), Ok(()));
        }
        let decoded_members = members.decode::<MembersUpdate>();
        figures.snapshot_busy_ms = watch.elapsed().as_secs_f64() * 1_000.0;
        assert!(decoded.is_some() && decoded_members.is_some());
    }

    fn measure_changes(&mut self, figures: &mut VirtualFigures) {
        let mut times = Vec::new();
        let mut source_bytes = 0;
        for _ in 0..CHANGES {
            let before = self.config.clone();
            self.fleet.reset_loads();
            let start = self.fleet.now();
            self.change();
            times.extend(self.wait_for_all(self.serves_newest()));
            source_bytes += self.fleet.load(Process::Control(0)).sent;
            let delta = ConfigUpdate::Delta(before.delta_to(&self.config));
            figures.config_delta_bytes = Payload::encode(&delta).len();
            let limit = self.fleet.now() + WAIT_TIMEOUT;
            self.fleet
                .run_until(limit, |fleet| fleet.control(0).has_converged());
            let known = self.fleet.now().since(start).as_secs_f64() * 1_000.0;
            figures.known_in_force_ms = figures.known_in_force_ms.max(known);
            self.fleet.run_for(Duration::from_secs(1));
        }
        figures.ours.change = Times::of(times);
        figures.ours.source_bytes_per_change = source_bytes as f64 / CHANGES as f64;
    }

    fn measure_ordinary_load(&mut self, figures: &mut VirtualFigures) {
        self.fleet.reset_loads();
        for _ in 0..LOAD_DURATION.as_secs() {
            for _ in 0..DRAINS_PER_SECOND {
                self.start_drain();
            }
            for at in 0..self.nodes {
                let evidence = evidence(at as u64);
                self.fleet
                    .with_node(at, |node| node.add_evidence(&evidence, Vec::new()));
            }
            self.fleet.run_for(Duration::from_secs(1));
        }
        let loads: Vec<ProcessLoad> = (0..self.nodes)
            .map(|at| self.fleet.load(Process::Node(at)))
            .collect();
        let busiest = loads.iter().max_by_key(|load| load.sent + load.received);
        figures.ours.busiest_node = load_per_second(busiest.copied().unwrap_or_default(), 1);
        let sum = loads.iter().fold(ProcessLoad::default(), |mut sum, load| {
            sum.sent += load.sent;
            sum.received += load.received;
            sum.messages += load.messages;
            sum.busy += load.busy;
            sum
        });
        figures.ours.mean_node = load_per_second(sum, self.nodes);
        figures.ours.source = load_per_second(self.fleet.load(Process::Control(0)), 1);
    }

    fn start_drain(&mut self) {
        // Drains only servers beside odd nodes. The even nodes restart in a later measurement, and
        // the control replicas hold back a server that flaps.
        self.drained += 1;
        let at = (2 * self.drained + 1) % self.nodes;
        let mut announcement = sample::announcement(at, 1, SERVICES);
        announcement.state = MemberState::Draining;
        self.fleet
            .with_node(at, |node| node.set_announcements(&[announcement]));
    }

    fn measure_drain(&mut self, figures: &mut VirtualFigures) {
        let mut times = Vec::new();
        for index in 0..MEASURED_NODES {
            let at = self.nodes * (2 * index + 1) / (2 * MEASURED_NODES);
            let mut announcement = sample::announcement(at, 1, SERVICES);
            announcement.state = MemberState::Draining;
            self.fleet
                .with_node(at, |node| node.set_announcements(&[announcement]));
            let id = sample::server_id(at);
            times.extend(self.wait_for_all(|node| {
                let members = node.members();
                members.is_some_and(|m| m.servers.get(&id).is_none_or(|member| !member.is_up()))
            }));
        }
        figures.drain = Times::of(times);
    }

    fn measure_silent_loss(&mut self, figures: &mut VirtualFigures) {
        let mut times = Vec::new();
        for index in 0..MEASURED_NODES {
            let leaves = self
                .fleet
                .running()
                .filter(|(_, node)| node.child_count() == 0);
            let leaf = leaves
                .map(|(at, _)| at)
                .nth(index * self.nodes / (2 * MEASURED_NODES));
            let Some(at) = leaf else {
                continue;
            };
            self.fleet.kill(at, true);
            let id = sample::server_id(at);
            times.extend(self.wait_for_all(|node| {
                let members = node.members();
                members.is_some_and(|m| !m.servers.contains_key(&id))
            }));
            self.fleet.start(at);
            self.fleet.run_for(Duration::from_secs(3));
        }
        figures.silent_loss = Times::of(times);
    }

    fn measure_new_leader(&mut self, figures: &mut VirtualFigures) {
        let start = self.fleet.now();
        self.fleet.set_leader(Some(1), 2, &self.config);
        let term = trefoillock_core::Term::new(2);
        self.wait_for_all(|node| node.members().is_some_and(|m| m.version.term == term));
        figures.new_leader_list_ms = self.fleet.now().since(start).as_secs_f64() * 1_000.0;
        self.fleet.set_leader(Some(0), 3, &self.config);
        self.fleet.run_for(Duration::from_secs(6));
    }

    fn measure_herd_restart(&mut self, figures: &mut VirtualFigures) {
        for at in (0..self.nodes).step_by(2) {
            self.fleet.kill(at, false);
        }
        self.fleet.run_for(Duration::from_secs(2));
        self.fleet.reset_loads();
        for at in (0..self.nodes).step_by(2) {
            self.fleet.start(at);
        }
        let newest = self.serves_newest();
        let nodes = self.nodes;
        let is_back = move |node: &NodeMachine| {
            let has_all_servers = node.members().is_some_and(|m| m.servers.len() == nodes);
            newest(node) && has_all_servers
        };
        figures.ours.herd_return = Times::of(self.wait_for_all(is_back));
        let sent = (0..self.nodes).map(|at| self.fleet.load(Process::Node(at)).sent);
        figures.herd_busiest_sent_bytes = sent.max().unwrap_or_default();
        figures.herd_source_sent_bytes = self.fleet.load(Process::Control(0)).sent;
    }

    /// Computes the naive baseline for the same configuration, list of members and ordinary load.
    fn compute_naive(&self, figures: &mut VirtualFigures) {
        let push = NaivePush {
            nodes: self.nodes,
            data_centres: DATA_CENTRES.min(self.nodes),
        };
        let members = figures.members_snapshot_bytes;
        let change = push.push(&self.config, 0);
        let half = NaivePush {
            nodes: self.nodes / 2,
            ..push
        };
        let herd = half.push(&self.config, members);
        let list = members as f64 * DRAINS_PER_SECOND as f64;
        let nodes = self.nodes as f64;
        let busy = |time: Duration, bytes: u64| {
            let per_byte = time.as_secs_f64() / bytes.max(1) as f64;
            per_byte * list * 100.0
        };
        figures.naive = DistributionFigures {
            source_bytes_per_change: change.source_bytes as f64,
            source: Load {
                sent_bytes_per_s: list * nodes,
                core_percent: busy(change.source_busy / self.nodes as u32, change.node_bytes)
                    * nodes,
                ..Load::default()
            },
            busiest_node: Load {
                received_bytes_per_s: list,
                core_percent: busy(change.node_busy, change.node_bytes),
                ..Load::default()
            },
            mean_node: Load {
                received_bytes_per_s: list,
                core_percent: busy(change.node_busy, change.node_bytes),
                ..Load::default()
            },
            change: Times::of(change.times),
            herd_return: Times::of(herd.times),
        };
    }
}

fn load_per_second(load: ProcessLoad, processes: usize) -> Load {
    let time = LOAD_DURATION.as_secs_f64() * processes as f64;
    Load {
        sent_bytes_per_s: load.sent as f64 / time,
        received_bytes_per_s: load.received as f64 / time,
        messages_per_s: load.messages as f64 / time,
        core_percent: load.busy.as_secs_f64() / time * 100.0,
    }
}

/// Creates the evidence of one second: a few moves, each with latencies of both pools.
fn evidence(seed: u64) -> Evidence {
    let mut latency = LatencySketch::new();
    for call in 0..12 {
        latency.record(Duration::from_millis(2 + (seed + call) % 20));
    }
    let pool = PoolEvidence {
        calls: 12,
        latency,
        ..PoolEvidence::default()
    };
    let counts = MoveEvidence {
        step: 1,
        old: pool.clone(),
        new: pool,
        local_cuts: 0,
    };
    let moves: BTreeMap<MoveId, MoveEvidence> = (0..MOVES_PER_NODE)
        .map(|id| (MoveId::new(id), counts.clone()))
        .collect();
    Evidence {
        moves,
        ..Evidence::default()
    }
}
