//! The event loop of the simulated fleet: processes, clocks, partitions and load counters.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use trefoillock_control::{
    ChildKey, ControlEffect, ControlMachine, ControlState, LeadershipRole, LinkEnd, LinkId,
    NodeEffect, NodeIdentity, NodeMachine, UpMessage,
};
use trefoillock_core::{Config, Incarnation, Map, Term, Timestamp};

use super::{
    Checks, Location, NetworkFaults,
    event::Event,
    location::{control_address, node_address, node_name},
    sample,
    transport::Connection,
};

/// The time between two ticks of a control replica.
const CONTROL_TICK: Duration = Duration::from_millis(25);
/// The time between two ticks of a node.
const NODE_TICK: Duration = Duration::from_millis(50);

/// A process of the fleet, by its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Process {
    /// A control replica.
    Control(usize),
    /// A node.
    Node(usize),
}

/// The size of a simulated fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// The number of control replicas.
    pub controls: usize,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of data centres.
    pub data_centres: usize,
    /// The number of services.
    pub services: usize,
}

/// The work of a process since the counters were reset.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessLoad {
    /// The number of message bytes sent.
    pub sent: u64,
    /// The number of message bytes received.
    pub received: u64,
    /// The number of messages sent and received.
    pub messages: u64,
    /// The processor time spent in the state machine, including encoding and decoding of updates.
    pub busy: Duration,
}

pub(super) struct NodeSlot {
    pub(super) machine: Option<NodeMachine>,
    pub(super) incarnation: u64,
}

/// A simulation of control replicas and nodes on an in-memory network in virtual time.
pub struct Fleet {
    pub(super) size: FleetSize,
    pub(super) now: Timestamp,
    pub(super) rng: Pcg64Mcg,
    pub(super) events: BTreeMap<(Timestamp, u64), Event>,
    pub(super) next_event: u64,
    pub(super) controls: Vec<ControlMachine>,
    pub(super) nodes: Vec<NodeSlot>,
    pub(super) connections: Vec<Connection>,
    pub(super) links: Map<(usize, u64, LinkId), usize>,
    pub(super) keys: Map<(Process, u64, ChildKey), usize>,
    pub(super) clock_offsets: Map<Process, Duration>,
    pub(super) isolated: BTreeSet<Process>,
    pub(super) partitions: BTreeSet<(Process, Process)>,
    pub(super) link_delays: Map<Process, Duration>,
    pub(super) egress_free_at: Map<Process, Timestamp>,
    pub(super) loads: Map<Process, ProcessLoad>,
    pub(super) counts_bytes: bool,
    pub(super) faults: NetworkFaults,
    pub(super) checks: Checks,
}

impl Fleet {
    /// Creates a fleet whose first control replica leads in term 1. No node runs yet.
    ///
    /// With `counts_bytes`, the size of each message is counted and sending takes time.
    #[must_use]
    pub fn new(size: FleetSize, config: &Arc<Config>, seed: u64, counts_bytes: bool) -> Self {
        let controls = (0..size.controls).map(|at| ControlMachine::new(control_address(at)));
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
            clock_offsets: Map::default(),
            isolated: BTreeSet::new(),
            partitions: BTreeSet::new(),
            link_delays: Map::default(),
            egress_free_at: Map::default(),
            loads: Map::default(),
            counts_bytes,
            faults: NetworkFaults::default(),
            checks: Checks::default(),
        };
        for _ in 0..size.nodes {
            fleet.nodes.push(NodeSlot {
                machine: None,
                incarnation: 0,
            });
        }
        fleet.checks.record_config(config);
        fleet.set_leader(Some(0), 1, config);
        for at in 0..size.controls {
            fleet.schedule(CONTROL_TICK, Event::Tick(Process::Control(at), 0));
        }
        fleet
    }

    /// Makes one control replica the leader, or none, and gives all replicas the configuration.
    pub fn set_leader(&mut self, leader: Option<usize>, term: u64, config: &Arc<Config>) {
        for at in 0..self.controls.len() {
            let role = if leader == Some(at) {
                LeadershipRole::Leading {
                    term: Term::new(term),
                }
            } else {
                LeadershipRole::Following {
                    leader: leader.map(control_address),
                }
            };
            self.set_state(at, role, config);
        }
    }

    /// Gives a leader the state of a replica whose lease has ended although it was not replaced,
    /// as when its process had no processor time for a while.
    pub fn lapse_lease(&mut self, at: usize, term: Term, config: &Arc<Config>) {
        self.set_state(at, LeadershipRole::Unconfirmed { term }, config);
    }

    /// Sets the role and the configuration of one control replica.
    pub fn set_state(&mut self, at: usize, role: LeadershipRole, config: &Arc<Config>) {
        self.checks.record_config(config);
        let state = ControlState {
            role,
            config: config.clone(),
            replicas: Vec::new(),
        };
        let now = self.clock_of(Process::Control(at));
        self.measure_busy(Process::Control(at), |fleet| {
            fleet.controls[at].set_state(now, &state);
        });
        self.run_effects(Process::Control(at));
    }

    /// Starts a node with the next incarnation.
    pub fn start(&mut self, at: usize) {
        let slot = &mut self.nodes[at];
        slot.incarnation += 1;
        let incarnation = slot.incarnation;
        let identity = NodeIdentity {
            node: node_name(at),
            incarnation: Incarnation::new(incarnation),
            data_centre: self.location(Process::Node(at)).data_centre_name(),
            peer_address: node_address(at),
            mesh_address: node_address(at),
        };
        let control = (0..self.size.controls).map(control_address).collect();
        let rng = Pcg64Mcg::seed_from_u64(rand::RngExt::random(&mut self.rng));
        let mut machine = NodeMachine::new(identity, control, rng);
        machine.set_announcements(&[sample::announcement(at, incarnation, self.size.services)]);
        self.nodes[at].machine = Some(machine);
        let nodes = u32::try_from(self.size.nodes).unwrap_or(u32::MAX);
        let offset = NODE_TICK / nodes * u32::try_from(at).unwrap_or_default();
        self.schedule(offset, Event::Tick(Process::Node(at), incarnation));
    }

    /// Kills a node. Its peers learn that its connections closed, unless the kill is silent, as
    /// when the VM disappears.
    pub fn kill(&mut self, at: usize, is_silent: bool) {
        self.nodes[at].machine = None;
        let incarnation = self.nodes[at].incarnation;
        if is_silent {
            return;
        }
        let mut closed = Vec::new();
        for (id, connection) in self.connections.iter().enumerate() {
            if connection.node == at && connection.node_incarnation == incarnation {
                closed.push((connection.parent, Event::UpClosed(id)));
            } else if connection.parent == Process::Node(at)
                && connection.parent_incarnation == incarnation
            {
                closed.push((Process::Node(connection.node), Event::DownClosed(id)));
            }
        }
        for (peer, event) in closed {
            let latency = self
                .location(Process::Node(at))
                .latency_to(self.location(peer));
            self.schedule(latency, event);
        }
    }

    /// Calls a function with the state machine of a node, if the node runs.
    pub fn with_node(&mut self, at: usize, change: impl FnOnce(&mut NodeMachine)) {
        if let Some(machine) = &mut self.nodes[at].machine {
            change(machine);
        }
    }

    /// Starts or ends the isolation of a process: all its messages are dropped and no peer learns
    /// of closed connections.
    pub fn isolate(&mut self, process: Process, is_isolated: bool) {
        if is_isolated {
            self.isolated.insert(process);
        } else {
            self.isolated.remove(&process);
        }
    }

    /// Partitions a node from a parent: messages between them are dropped and neither learns of
    /// closed connections.
    pub fn partition(&mut self, node: usize, parent: Process) {
        self.partitions.insert((Process::Node(node), parent));
    }

    /// Delays each message from and to a process, as a link does whose queues are full.
    pub fn delay_link(&mut self, process: Process, delay: Duration) {
        self.link_delays.insert(process, delay);
    }

    /// Ends all partitions and isolations.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.isolated.clear();
    }

    /// Steps the clock of a process forward.
    pub fn step_clock(&mut self, process: Process, by: Duration) {
        *self.clock_offsets.entry(process).or_default() += by;
    }

    /// Sets the message faults of all connections.
    pub const fn set_faults(&mut self, faults: NetworkFaults) {
        self.faults = faults;
    }

    /// Runs the simulation for a duration of virtual time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Runs the simulation until a condition holds or `end` is reached, and returns whether the
    /// condition holds. The condition is checked about once per millisecond of virtual time.
    pub fn run_until(&mut self, end: Timestamp, mut is_done: impl FnMut(&Self) -> bool) -> bool {
        let mut next_check = self.now;
        while let Some((at, _)) = self.events.first_key_value().map(|(key, _)| *key)
            && at <= end
        {
            if at >= next_check {
                next_check = at + Duration::from_millis(1);
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
            Event::Tick(process, incarnation) => self.tick(process, incarnation),
            Event::Up(id, message) => {
                let (parent, incarnation, key) = self.parent_of(id);
                if self.is_running(parent, incarnation) {
                    self.update_load(parent, |load| load.messages += 1);
                    self.deliver_up(parent, key, &message);
                }
            }
            Event::UpClosed(id) => {
                let (parent, incarnation, key) = self.parent_of(id);
                if self.is_running(parent, incarnation) {
                    let now = self.clock_of(parent);
                    match parent {
                        Process::Control(at) => self.controls[at].on_child_closed(now, key),
                        Process::Node(at) => self.with_node(at, |node| node.on_child_closed(key)),
                    }
                    self.run_effects(parent);
                }
            }
            Event::Down(id, message) => self.with_child(id, |node, now, link| {
                node.on_parent_message(now, link, &message);
            }),
            Event::DownClosed(id) => self.with_child(id, |node, now, link| {
                node.on_link_closed(now, link, LinkEnd::Closed);
            }),
        }
    }

    fn parent_of(&self, id: usize) -> (Process, u64, ChildKey) {
        let connection = &self.connections[id];
        (
            connection.parent,
            connection.parent_incarnation,
            connection.key,
        )
    }

    fn deliver_up(&mut self, parent: Process, key: ChildKey, message: &UpMessage) {
        let now = self.clock_of(parent);
        self.measure_busy(parent, |fleet| match parent {
            Process::Control(at) => fleet.controls[at].on_child_message(now, key, message),
            Process::Node(at) => {
                fleet.with_node(at, |node| node.on_child_message(now, key, message));
            }
        });
        self.run_effects(parent);
    }

    fn with_child(&mut self, id: usize, act: impl FnOnce(&mut NodeMachine, Timestamp, LinkId)) {
        let connection = &self.connections[id];
        let (at, incarnation, link) = (
            connection.node,
            connection.node_incarnation,
            connection.link,
        );
        let child = Process::Node(at);
        if self.is_running(child, incarnation) && self.links.contains_key(&(at, incarnation, link))
        {
            let now = self.clock_of(child);
            self.update_load(child, |load| load.messages += 1);
            self.measure_busy(child, |fleet| {
                fleet.with_node(at, |node| act(node, now, link));
            });
            self.run_effects(child);
        }
    }

    fn tick(&mut self, process: Process, incarnation: u64) {
        if !self.is_running(process, incarnation) {
            return;
        }
        let now = self.clock_of(process);
        self.measure_busy(process, |fleet| match process {
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
        self.schedule(interval, Event::Tick(process, incarnation));
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
        self.checks.record_members(control.members());
        for effect in control.take_effects() {
            match effect {
                ControlEffect::Send(key, message) => self.send_down(process, key, &message),
                ControlEffect::Close(key) => self.close_down(process, key),
            }
        }
    }

    fn run_node_effects(&mut self, at: usize) {
        let incarnation = self.nodes[at].incarnation;
        let Some(machine) = &mut self.nodes[at].machine else {
            return;
        };
        let effects = machine.take_effects();
        self.checks.check_node(at, incarnation, machine);
        let process = Process::Node(at);
        for effect in effects {
            match effect {
                NodeEffect::OpenLink(link, address) => self.open(at, link, address.address),
                NodeEffect::SendUp(link, message) => self.send_up(at, link, &message),
                NodeEffect::CloseLink(link) => self.close_up(at, link),
                NodeEffect::SendDown(key, message) => self.send_down(process, key, &message),
                NodeEffect::CloseChild(key) => self.close_down(process, key),
            }
        }
    }

    pub(super) const fn location(&self, process: Process) -> Location {
        let (Process::Control(at) | Process::Node(at)) = process;
        Location {
            data_centre: at % self.size.data_centres,
        }
    }

    pub(super) fn incarnation_of(&self, process: Process) -> u64 {
        match process {
            Process::Control(_) => 0,
            Process::Node(at) => self.nodes[at].incarnation,
        }
    }

    pub(super) fn is_running(&self, process: Process, incarnation: u64) -> bool {
        match process {
            Process::Control(_) => true,
            Process::Node(at) => {
                let slot = &self.nodes[at];
                slot.machine.is_some() && slot.incarnation == incarnation
            }
        }
    }

    fn clock_of(&self, process: Process) -> Timestamp {
        self.now
            + self
                .clock_offsets
                .get(&process)
                .copied()
                .unwrap_or_default()
    }

    fn measure_busy(&mut self, process: Process, act: impl FnOnce(&mut Self)) {
        let start = Instant::now();
        act(self);
        let busy = start.elapsed();
        self.update_load(process, |load| load.busy += busy);
    }

    pub(super) fn update_load(&mut self, process: Process, change: impl FnOnce(&mut ProcessLoad)) {
        change(self.loads.entry(process).or_default());
    }

    /// The current virtual time.
    #[must_use]
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    /// The state machine of a control replica.
    #[must_use]
    pub fn control(&self, at: usize) -> &ControlMachine {
        &self.controls[at]
    }

    /// Removes and returns the evidence that has arrived at a control replica.
    pub fn take_evidence(&mut self, at: usize) -> trefoillock_core::Evidence {
        self.controls[at].take_evidence()
    }

    /// The state machine of a node, or `None` if it does not run.
    #[must_use]
    pub fn node(&self, at: usize) -> Option<&NodeMachine> {
        self.nodes[at].machine.as_ref()
    }

    /// The running nodes with their indices.
    pub fn running(&self) -> impl Iterator<Item = (usize, &NodeMachine)> {
        let slots = self.nodes.iter().enumerate();
        slots.filter_map(|(at, slot)| Some((at, slot.machine.as_ref()?)))
    }

    /// The work of a process since the last call of [`Self::reset_loads`].
    #[must_use]
    pub fn load(&self, process: Process) -> ProcessLoad {
        self.loads.get(&process).copied().unwrap_or_default()
    }

    /// Resets the load counters of all processes.
    pub fn reset_loads(&mut self) {
        self.loads.clear();
    }
}
