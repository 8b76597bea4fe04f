//! The in-memory network.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use trefoillock_control::{
    ChildKey, DownMessage, LinkId, NodeEffect, NodeIdentity, NodeMachine, Payload, SourceEffect,
    SourceMachine, SourceRole, SourceState, UpMessage,
};
use trefoillock_core::{Config, Incarnation, Map, Timestamp};

use super::{
    Checks, Faults, Place,
    event::Event,
    place::{control_address, node_address, node_name},
    sample,
};

/// The time between two ticks of a control replica.
const CONTROL_TICK: Duration = Duration::from_millis(25);
/// The time between two ticks of a node.
const NODE_TICK: Duration = Duration::from_millis(50);
/// The rate at which a process can send, in bytes a second: a link of 1 Gbit/s.
pub(super) const LINK_BYTES_PER_SECOND: u64 = 125_000_000;

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

#[derive(Debug)]
struct Connection {
    node: usize,
    node_run: u64,
    link: LinkId,
    parent: Process,
    parent_run: u64,
    key: ChildKey,
    last_up: Timestamp,
    last_down: Timestamp,
}

struct NodeSlot {
    machine: Option<NodeMachine>,
    run: u64,
}

/// Control replicas and nodes on an in-memory network under virtual time.
pub struct Fleet {
    size: FleetSize,
    now: Timestamp,
    rng: Pcg64Mcg,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    controls: Vec<SourceMachine>,
    nodes: Vec<NodeSlot>,
    connections: Vec<Connection>,
    links: Map<(usize, u64, LinkId), usize>,
    keys: Map<(Process, u64, ChildKey), usize>,
    skews: Map<Process, Duration>,
    isolated: BTreeSet<Process>,
    egress_free: Map<Process, Timestamp>,
    loads: Map<Process, ProcessLoad>,
    counts_bytes: bool,
    faults: Faults,
    checks: Checks,
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
        let offset = Duration::from_micros(at as u64 * 31 % 50_000);
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
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.handle(event);
            if self.now >= next_look {
                next_look = self.now + Duration::from_millis(1);
                if is_done(self) {
                    return true;
                }
            }
        }
        self.now = self.now.max(end);
        is_done(self)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: Timestamp, event: Event) {
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
            Event::Down(id, message) => self.to_child(id, |node, now, link| {
                node.on_down(now, link, &message);
            }),
            Event::DownClosed(id) => self.to_child(id, |node, now, link| {
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

    fn to_child(&mut self, id: usize, act: impl FnOnce(&mut NodeMachine, Timestamp, LinkId)) {
        let connection = &self.connections[id];
        let (at, run, link) = (connection.node, connection.node_run, connection.link);
        let child = Process::Node(at);
        if self.is_running(child, run) && self.links.contains_key(&(at, run, link)) {
            let now = self.now_of(child);
            self.count(child, |load| load.messages += 1);
            self.timed(child, |fleet| {
                fleet.with_node(at, |node| act(node, now, link))
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
        let interval = match process {
            Process::Control(_) => CONTROL_TICK,
            Process::Node(_) => NODE_TICK,
        };
        self.schedule(interval, Event::Tick(process, run));
    }

    fn run_effects(&mut self, process: Process) {
        match process {
            Process::Control(at) => {
                let members = self.controls[at].members().clone();
                self.checks.note_members(&members);
                if !self.counts_bytes && self.controls[at].is_leading() {
                    let status = self.controls[at].status();
                    let known = self.controls[at].known_nodes();
                    self.checks.check_status(&status, known);
                }
                for effect in self.controls[at].take_effects() {
                    match effect {
                        SourceEffect::Send(key, message) => self.send_down(process, key, message),
                        SourceEffect::Close(key) => self.close_down(process, key),
                    }
                }
            }
            Process::Node(at) => self.run_node_effects(at),
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
                NodeEffect::SendUp(link, message) => self.send_up(at, link, message),
                NodeEffect::CloseLink(link) => self.close_up(at, link),
                NodeEffect::SendDown(key, message) => self.send_down(process, key, message),
                NodeEffect::CloseChild(key) => self.close_down(process, key),
            }
        }
    }

    fn open(&mut self, at: usize, link: LinkId, address: SocketAddr) {
        let Some(parent) = self.process_at(address) else {
            return;
        };
        let id = self.connections.len();
        let parent_run = self.run_of(parent);
        let node_run = self.nodes[at].run;
        let key = ChildKey::new(id as u64);
        self.connections.push(Connection {
            node: at,
            node_run,
            link,
            parent,
            parent_run,
            key,
            last_up: self.now,
            last_down: self.now,
        });
        self.links.insert((at, node_run, link), id);
        self.keys.insert((parent, parent_run, key), id);
        if !self.is_running(parent, parent_run) && !self.is_cut(id) {
            let latency = self.latency(id) * 2;
            self.schedule(latency, Event::DownClosed(id));
        }
    }

    fn send_up(&mut self, at: usize, link: LinkId, message: UpMessage) {
        let run = self.nodes[at].run;
        if let Some(id) = self.links.get(&(at, run, link)).copied() {
            let bytes = if self.counts_bytes {
                Payload::encode(&message).len()
            } else {
                0
            };
            let parent = self.connections[id].parent;
            for arrival in self.arrivals(id, Process::Node(at), parent, bytes, true) {
                self.schedule_at(arrival, Event::Up(id, message.clone()));
            }
        }
    }

    fn send_down(&mut self, parent: Process, key: ChildKey, message: DownMessage) {
        let run = self.run_of(parent);
        if let Some(id) = self.keys.get(&(parent, run, key)).copied() {
            let bytes = if self.counts_bytes {
                size_of_down(&message)
            } else {
                0
            };
            let child = Process::Node(self.connections[id].node);
            for arrival in self.arrivals(id, parent, child, bytes, false) {
                self.schedule_at(arrival, Event::Down(id, message.clone()));
            }
        }
    }

    /// The times at which the copies of a message arrive.
    fn arrivals(
        &mut self,
        id: usize,
        from: Process,
        to: Process,
        bytes: usize,
        is_up: bool,
    ) -> Vec<Timestamp> {
        let bytes = bytes as u64;
        self.count(from, |load| {
            load.sent += bytes;
            load.messages += 1;
        });
        self.count(to, |load| load.received += bytes);
        if self.is_cut(id) {
            return Vec::new();
        }
        let micros = bytes * 1_000_000 / LINK_BYTES_PER_SECOND;
        let now = self.now;
        let free = self.egress_free.entry(from).or_default();
        *free = (*free).max(now) + Duration::from_micros(micros);
        let in_order = *free + self.latency(id);
        let delays = self.faults.draw(&mut self.rng);
        let connection = &mut self.connections[id];
        let last = if is_up {
            &mut connection.last_up
        } else {
            &mut connection.last_down
        };
        let arrival = |delay: Option<Duration>| match delay {
            Some(delay) => in_order + delay,
            None => {
                *last = in_order.max(*last);
                *last
            }
        };
        delays.into_iter().map(arrival).collect()
    }

    fn close_up(&mut self, at: usize, link: LinkId) {
        let run = self.nodes[at].run;
        if let Some(id) = self.links.remove(&(at, run, link))
            && !self.is_cut(id)
        {
            let arrival = self.connections[id]
                .last_up
                .max(self.now + self.latency(id));
            self.schedule_at(arrival, Event::UpClosed(id));
        }
    }

    fn close_down(&mut self, parent: Process, key: ChildKey) {
        let run = self.run_of(parent);
        if let Some(id) = self.keys.remove(&(parent, run, key))
            && !self.is_cut(id)
        {
            let arrival = self.connections[id]
                .last_down
                .max(self.now + self.latency(id));
            self.schedule_at(arrival, Event::DownClosed(id));
        }
    }

    fn is_cut(&self, id: usize) -> bool {
        let connection = &self.connections[id];
        let node = Process::Node(connection.node);
        self.isolated.contains(&node) || self.isolated.contains(&connection.parent)
    }

    fn latency(&self, id: usize) -> Duration {
        let connection = &self.connections[id];
        let node = self.place(Process::Node(connection.node));
        node.latency_to(self.place(connection.parent))
    }

    fn process_at(&self, address: SocketAddr) -> Option<Process> {
        let controls = (0..self.size.controls).find(|at| control_address(*at) == address);
        let control = controls.map(Process::Control);
        control.or_else(|| {
            let SocketAddr::V4(v4) = address else {
                return None;
            };
            let [_, _, high, low] = v4.ip().octets();
            let at = usize::from(u16::from_be_bytes([high, low]));
            (at < self.nodes.len()).then_some(Process::Node(at))
        })
    }

    const fn place(&self, process: Process) -> Place {
        let (Process::Control(at) | Process::Node(at)) = process;
        Place {
            data_centre: at % self.size.data_centres,
        }
    }

    fn run_of(&self, process: Process) -> u64 {
        match process {
            Process::Control(_) => 0,
            Process::Node(at) => self.nodes[at].run,
        }
    }

    fn is_running(&self, process: Process, run: u64) -> bool {
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

    fn count(&mut self, process: Process, change: impl FnOnce(&mut ProcessLoad)) {
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

/// The size of a message on the wire, without framing.
fn size_of_down(message: &DownMessage) -> usize {
    match message {
        DownMessage::Update(update) => {
            let payloads = update.config.iter().chain(&update.members);
            payloads.map(|payload| payload.len() + 8).sum::<usize>() + 32
        }
        other => Payload::encode(other).len(),
    }
}
