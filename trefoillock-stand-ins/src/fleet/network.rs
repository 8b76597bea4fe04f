//! The in-memory network.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use trefoillock_control::{
    ChildKey, LinkId, NodeEffect, NodeIdentity, NodeMachine, SourceEffect, SourceMachine,
    SourceRole, SourceState, UpMessage,
};
use trefoillock_core::{Config, Incarnation, Map, Timestamp};

use super::{
    Checks, Faults, Place,
    event::Event,
    place::{control_address, node_address, node_name},
    sample,
    transport::Connection,
};

/// The time between two ticks of a control replica.
const CONTROL_TICK: Duration = Duration::from_millis(25);
/// The time between two ticks of a node.
const NODE_TICK: Duration = Duration::from_millis(50);
/// A process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Process {
    /// A control replica.
    Control(usize),
    /// A node.
    Node(usize),
}

/// The number of processes and places.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Control replicas.
    pub controls: usize,
    /// Nodes.
    pub nodes: usize,
    /// Data centres.
    pub data_centres: usize,
    /// Services.
    pub services: usize,
}

/// What a process has done.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessLoad {
    /// Bytes of messages sent.
    pub sent: u64,
    /// Bytes of messages received.
    pub received: u64,
    /// Messages sent and received.
    pub messages: u64,
    /// Processor time spent in the machine, decoding and encoding of updates included.
    pub busy: Duration,
}

pub(super) struct NodeSlot {
    pub(super) machine: Option<NodeMachine>,
    pub(super) run: u64,
}

/// Control replicas and nodes on an in-memory network under virtual time.
pub struct Fleet {
    pub(super) size: FleetSize,
    pub(super) now: Timestamp,
    pub(super) rng: Pcg64Mcg,
    pub(super) events: BTreeMap<(Timestamp, u64), Event>,
    pub(super) next_event: u64,
    pub(super) controls: Vec<SourceMachine>,
    pub(super) nodes: Vec<NodeSlot>,
    pub(super) connections: Vec<Connection>,
    pub(super) links: Map<(usize, u64, LinkId), usize>,
    pub(super) keys: Map<(Process, u64, ChildKey), usize>,
    pub(super) skews: Map<Process, Duration>,
    pub(super) isolated: BTreeSet<Process>,
    pub(super) cuts: BTreeSet<(Process, Process)>,
    pub(super) egress_free: Map<Process, Timestamp>,
    pub(super) loads: Map<Process, ProcessLoad>,
    pub(super) counts_bytes: bool,
    pub(super) faults: Faults,
    pub(super) checks: Checks,
}

impl Fleet {
    /// Creates a fleet whose first control replica leads in term 1; no node runs yet.
    ///
    /// With `counts_bytes`, the size of each message is counted and takes time to send.
    #[must_use]
    pub fn new(size: FleetSize, config: &Arc<Config>, seed: u64, counts_bytes: bool) -> Self {
        let controls = (0..size.controls).map(|at| SourceMachine::new(control_address(at)));
        let mut fleet = Self {
            size,
            now: Timestamp::from_secs(1_000),
            rng: Pcg64Mcg::seed_from_u64(seed),
            events: BTreeMap::new(),
            next_event: 0,
            controls: controls.collect(),
            nodes: Vec::new(),
            connections: Vec::new(),
            links: Map::default(),
            keys: Map::default(),
            skews: Map::default(),
            isolated: BTreeSet::new(),
            cuts: BTreeSet::new(),
            egress_free: Map::default(),
            loads: Map::default(),
            counts_bytes,
            faults: Faults::default(),
            checks: Checks::default(),
        };
        for _ in 0..size.nodes {
            fleet.nodes.push(NodeSlot {
                machine: None,
                run: 0,
            });
        }
        fleet.checks.note_config(config);
        fleet.set_leader(Some(0), 1, config);
        for at in 0..size.controls {
            fleet.schedule(CONTROL_TICK, Event::Tick(Process::Control(at), 0));
        }
        fleet
    }

    /// Makes one control replica the leader, or none; all have the configuration.
    pub fn set_leader(&mut self, leader: Option<usize>, term: u64, config: &Arc<Config>) {
        for at in 0..self.controls.len() {
            let role = if leader == Some(at) {
                SourceRole::Leading {
                    term: trefoillock_core::Term::new(term),
                }
            } else {
                SourceRole::Following {
                    leader: leader.map(control_address),
                }
            };
            self.set_state(at, role, config);
        }
    }

    /// Sets the state of one control replica.
    pub fn set_state(&mut self, at: usize, role: SourceRole, config: &Arc<Config>) {
        self.checks.note_config(config);
        let state = SourceState {
            role,
            config: config.clone(),
            replicas: Vec::new(),
        };
        let now = self.now_of(Process::Control(at));
        self.timed(Process::Control(at), |fleet| {
            fleet.controls[at].set_state(now, &state);
        });
        self.run_effects(Process::Control(at));
    }

    /// Starts a node, with a new run.
    pub fn start(&mut self, at: usize) {
        let slot = &mut self.nodes[at];
        slot.run += 1;
        let run = slot.run;
        let identity = NodeIdentity {
            node: node_name(at),
            incarnation: Incarnation::new(run),
            data_centre: self.place(Process::Node(at)).name(),
            peer_address: node_address(at),
            mesh_address: node_address(at),
        };
        let control = (0..self.size.controls).map(control_address).collect();
        let rng = Pcg64Mcg::seed_from_u64(rand::RngExt::random(&mut self.rng));
        let mut machine = NodeMachine::new(identity, control, rng);
        machine.set_announcements(&[sample::announcement(at, run, self.size.services)]);
        self.nodes[at].machine = Some(machine);
        let nodes = u32::try_from(self.size.nodes).unwrap_or(u32::MAX);
        let offset = NODE_TICK / nodes * u32::try_from(at).unwrap_or_default();
        self.schedule(offset, Event::Tick(Process::Node(at), run));
    }

    /// Ends a node. Its peers see its connections end, unless its machine is gone too.
    pub fn kill(&mut self, at: usize, is_silent: bool) {
        self.nodes[at].machine = None;
        let run = self.nodes[at].run;
        if is_silent {
            return;
        }
        let mut closed = Vec::new();
        for (id, connection) in self.connections.iter().enumerate() {
            if connection.node == at && connection.node_run == run {
                closed.push((connection.parent, Event::UpClosed(id)));
            } else if connection.parent == Process::Node(at) && connection.parent_run == run {
                closed.push((Process::Node(connection.node), Event::DownClosed(id)));
            }
        }
        for (peer, event) in closed {
            let latency = self.place(Process::Node(at)).latency_to(self.place(peer));
            self.schedule(latency, event);
        }
    }

    /// Changes the machine of a node that runs.
    pub fn with_node(&mut self, at: usize, change: impl FnOnce(&mut NodeMachine)) {
        if let Some(machine) = &mut self.nodes[at].machine {
            change(machine);
        }
    }

    /// Cuts a process off from all others without a trace, or ends that.
    pub fn isolate(&mut self, process: Process, is_isolated: bool) {
        if is_isolated {
            self.isolated.insert(process);
        } else {
            self.isolated.remove(&process);
        }
    }

    /// Cuts a node off from a parent without a trace.
    pub fn cut(&mut self, node: usize, parent: Process) {
        self.cuts.insert((Process::Node(node), parent));
    }

    /// Ends all cuts and isolations.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.isolated.clear();
    }

    /// Sets the clock of a process forward.
    pub fn step_clock(&mut self, process: Process, by: Duration) {
        *self.skews.entry(process).or_default() += by;
    }

    /// Sets the faults of all connections.
    pub const fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Lets time pass until something holds, and returns whether it does.
    pub fn run_until(&mut self, end: Timestamp, mut is_done: impl FnMut(&Self) -> bool) -> bool {
        let mut next_look = self.now;
        while let Some((at, _)) = self.events.first_key_value().map(|(key, _)| *key)
            && at <= end
        {
            if at >= next_look {
                next_look = at + Duration::from_millis(1);
                if is_done(self) {
                    return true;
                }
            }
            self.now = at;
            if let Some((_, event)) = self.events.pop_first() {
                self.handle(event);
            }
        }
        self.now = self.now.max(end);
        is_done(self)
    }

    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    pub(super) fn schedule_at(&mut self, at: Timestamp, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(process, run) => self.tick(process, run),
            Event::Up(id, message) => {
                let (parent, run, key) = self.parent_of(id);
                if self.is_running(parent, run) {
                    self.count(parent, |load| load.messages += 1);
                    self.deliver_up(parent, key, &message);
                }
            }
            Event::UpClosed(id) => {
                let (parent, run, key) = self.parent_of(id);
                if self.is_running(parent, run) {
                    let now = self.now_of(parent);
                    match parent {
                        Process::Control(at) => self.controls[at].on_closed(now, key),
                        Process::Node(at) => self.with_node(at, |node| node.on_child_closed(key)),
                    }
                    self.run_effects(parent);
                }
            }
            Event::Down(id, message) => self.reach_child(id, |node, now, link| {
                node.on_down(now, link, &message);
            }),
            Event::DownClosed(id) => self.reach_child(id, |node, now, link| {
                node.on_link_closed(now, link);
            }),
        }
    }

    fn parent_of(&self, id: usize) -> (Process, u64, ChildKey) {
        let connection = &self.connections[id];
        (connection.parent, connection.parent_run, connection.key)
    }

    fn deliver_up(&mut self, parent: Process, key: ChildKey, message: &UpMessage) {
        let now = self.now_of(parent);
        self.timed(parent, |fleet| match parent {
            Process::Control(at) => fleet.controls[at].on_message(now, key, message),
            Process::Node(at) => {
                fleet.with_node(at, |node| node.on_child_message(now, key, message));
            }
        });
        self.run_effects(parent);
    }

    fn reach_child(&mut self, id: usize, act: impl FnOnce(&mut NodeMachine, Timestamp, LinkId)) {
        let connection = &self.connections[id];
        let (at, run, link) = (connection.node, connection.node_run, connection.link);
        let child = Process::Node(at);
        if self.is_running(child, run) && self.links.contains_key(&(at, run, link)) {
            let now = self.now_of(child);
            self.count(child, |load| load.messages += 1);
            self.timed(child, |fleet| {
                fleet.with_node(at, |node| act(node, now, link));
            });
            self.run_effects(child);
        }
    }

    fn tick(&mut self, process: Process, run: u64) {
        if !self.is_running(process, run) {
            return;
        }
        let now = self.now_of(process);
        self.timed(process, |fleet| match process {
            Process::Control(at) => fleet.controls[at].on_tick(now),
            Process::Node(at) => fleet.with_node(at, |node| node.on_tick(now)),
        });
        self.run_effects(process);
        if let Process::Control(at) = process
            && !self.counts_bytes
            && self.controls[at].is_leading()
        {
            let status = self.controls[at].status();
            let known = self.controls[at].known_nodes();
            self.checks.check_status(&status, known);
        }
        let interval = match process {
            Process::Control(_) => CONTROL_TICK,
            Process::Node(_) => NODE_TICK,
        };
        self.schedule(interval, Event::Tick(process, run));
    }

    fn run_effects(&mut self, process: Process) {
        match process {
            Process::Control(at) => self.run_control_effects(at),
            Process::Node(at) => self.run_node_effects(at),
        }
    }

    fn run_control_effects(&mut self, at: usize) {
        let process = Process::Control(at);
        let control = &mut self.controls[at];
        self.checks.note_members(control.members());
        for effect in control.take_effects() {
            match effect {
                SourceEffect::Send(key, message) => self.send_down(process, key, &message),
                SourceEffect::Close(key) => self.close_down(process, key),
            }
        }
    }

    fn run_node_effects(&mut self, at: usize) {
        let run = self.nodes[at].run;
        let Some(machine) = &mut self.nodes[at].machine else {
            return;
        };
        let effects = machine.take_effects();
        self.checks.check_node(at, run, machine);
        let process = Process::Node(at);
        for effect in effects {
            match effect {
                NodeEffect::Open(link, address) => self.open(at, link, address.address),
                NodeEffect::SendUp(link, message) => self.send_up(at, link, &message),
                NodeEffect::CloseLink(link) => self.close_up(at, link),
                NodeEffect::SendDown(key, message) => self.send_down(process, key, &message),
                NodeEffect::CloseChild(key) => self.close_down(process, key),
            }
        }
    }

    pub(super) const fn place(&self, process: Process) -> Place {
        let (Process::Control(at) | Process::Node(at)) = process;
        Place {
            data_centre: at % self.size.data_centres,
        }
    }

    pub(super) fn run_of(&self, process: Process) -> u64 {
        match process {
            Process::Control(_) => 0,
            Process::Node(at) => self.nodes[at].run,
        }
    }

    pub(super) fn is_running(&self, process: Process, run: u64) -> bool {
        match process {
            Process::Control(_) => true,
            Process::Node(at) => {
                let slot = &self.nodes[at];
                slot.machine.is_some() && slot.run == run
            }
        }
    }

    fn now_of(&self, process: Process) -> Timestamp {
        self.now + self.skews.get(&process).copied().unwrap_or_default()
    }

    fn timed(&mut self, process: Process, act: impl FnOnce(&mut Self)) {
        let start = Instant::now();
        act(self);
        let busy = start.elapsed();
        self.count(process, |load| load.busy += busy);
    }

    pub(super) fn count(&mut self, process: Process, change: impl FnOnce(&mut ProcessLoad)) {
        change(self.loads.entry(process).or_default());
    }

    /// The present time.
    #[must_use]
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    /// A control replica.
    #[must_use]
    pub fn control(&self, at: usize) -> &SourceMachine {
        &self.controls[at]
    }

    /// Takes the evidence that arrived at a control replica.
    pub fn take_evidence(&mut self, at: usize) -> trefoillock_core::Evidence {
        self.controls[at].take_evidence()
    }

    /// A node, if it runs.
    #[must_use]
    pub fn node(&self, at: usize) -> Option<&NodeMachine> {
        self.nodes[at].machine.as_ref()
    }

    /// The nodes that run.
    pub fn running(&self) -> impl Iterator<Item = (usize, &NodeMachine)> {
        let slots = self.nodes.iter().enumerate();
        slots.filter_map(|(at, slot)| Some((at, slot.machine.as_ref()?)))
    }

    /// What a process has done since the last reset.
    #[must_use]
    pub fn load(&self, process: Process) -> ProcessLoad {
        self.loads.get(&process).copied().unwrap_or_default()
    }

    /// Starts to count anew.
    pub fn reset_loads(&mut self) {
        self.loads.clear();
    }
}
