//! Replicas under virtual time with a network and disks in memory.

mod checks;
mod disk;
mod effects;
mod faults;
mod operator;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use checks::{Checks, Fate};
use disk::Disk;
pub(crate) use faults::{Fault, STEPS, Trap};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};
use trefoillock_replica::{
    DiskId, Limits, Membership, Message, Payload, ReadId, Replica, RoleKind, Sender, Timing,
};

/// The time between two ticks in microseconds.
const TICK: u64 = 20_000;
/// The start of virtual time in microseconds.
const START: u64 = 1_000_000_000;

/// The commands applied to a replica's state.
type State = Vec<(LogIndex, Vec<u8>)>;

struct Node {
    identity: Sender,
    replica: Option<Replica>,
    disk: Disk,
    state: State,
    applied: LogIndex,
    pending: BTreeMap<(LogIndex, Term), Vec<u8>>,
    reads: BTreeMap<ReadId, LogIndex>,
    clock_offset: i64,
    /// The clock at the latest input.
    clock_seen: Timestamp,
    /// The rate of the clock in parts per million of the true one.
    clock_rate: i64,
    wakes_at: u64,
    fail_sync: bool,
    lost: bool,
}

/// The replicas, the network and the checks.
pub(crate) struct Simulation {
    rng: Pcg64Mcg,
    now: u64,
    sequence: u64,
    nodes: BTreeMap<ReplicaId, Node>,
    network: BTreeMap<(u64, u64), (Sender, ReplicaId, Message)>,
    cuts: BTreeSet<(ReplicaId, ReplicaId)>,
    checks: Checks,
    commands: u64,
    bootstrapped: Membership,
    /// A fault that strikes at the nth event of a kind.
    trap: Option<Trap>,
    pub(crate) lossy: bool,
    pub(crate) seen: BTreeMap<&'static str, u64>,
}

fn address(id: ReplicaId) -> SocketAddr {
    SocketAddr::from((
        [127, 0, 0, 1],
        u16::try_from(id.get()).expect("a small identity"),
    ))
}

fn limits() -> Limits {
    Limits {
        append_bytes: 300,
        window: 4,
        chunk_bytes: 64,
        snapshot_every: 12,
        tail_entries: 4,
        promote_lag: 4,
        ..Limits::default()
    }
}

impl Simulation {
    pub(crate) fn new(seed: u64, voters: u64) -> Self {
        let ids: Vec<ReplicaId> = (1..=voters).map(ReplicaId::new).collect();
        let members: Vec<_> = ids.iter().map(|&id| (id, address(id))).collect();
        let members = Membership::of_voters(&members);
        let mut simulation = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: START,
            sequence: 0,
            nodes: BTreeMap::new(),
            network: BTreeMap::new(),
            cuts: BTreeSet::new(),
            checks: Checks::default(),
            commands: 0,
            bootstrapped: members.clone(),
            trap: None,
            lossy: false,
            seen: BTreeMap::new(),
        };
        for id in ids {
            simulation.create(id, Disk::new(members.clone()));
        }
        simulation
    }

    pub(crate) fn set_trap(&mut self, trap: Trap) {
        self.trap = Some(trap);
    }

    fn create(&mut self, id: ReplicaId, disk: Disk) {
        let disk_id = DiskId::new(self.rng.random());
        let node = Node {
            identity: Sender { id, disk: disk_id },
            replica: None,
            disk,
            state: State::new(),
            applied: LogIndex::ZERO,
            pending: BTreeMap::new(),
            reads: BTreeMap::new(),
            clock_offset: 0,
            clock_seen: Timestamp::EPOCH,
            clock_rate: self.rng.random_range(950_000..1_050_000),
            wakes_at: 0,
            fail_sync: false,
            lost: false,
        };
        self.nodes.insert(id, node);
        self.restart(id);
    }

    fn clock(&self, id: ReplicaId) -> Timestamp {
        let node = &self.nodes[&id];
        let passed = i64::try_from(self.now - START).expect("a short run");
        let reading = passed * node.clock_rate / 1_000_000 + node.clock_offset;
        let start = i64::try_from(START).expect("a small start");
        Timestamp::from_micros(u64::try_from(start + reading).expect("a positive time"))
    }

    /// Starts a replica that is down.
    pub(crate) fn restart(&mut self, id: ReplicaId) {
        let now = self.clock(id);
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let node = self.nodes.get_mut(&id).expect("a node");
        if node.replica.is_some() || node.lost {
            return;
        }
        let recovered = node.disk.recover(node.identity);
        node.state.clear();
        node.applied = LogIndex::ZERO;
        node.fail_sync = false;
        let replica = Replica::new(recovered, Timing::default(), limits(), rng, now);
        node.replica = Some(replica);
        let identity = node.identity;
        self.checks.forget_restart(identity);
        self.settle(id);
    }

    fn crash(&mut self, id: ReplicaId) {
        let rng = &mut self.rng;
        let node = self.nodes.get_mut(&id).expect("a node");
        node.replica = None;
        node.pending.clear();
        node.reads.clear();
        node.disk.crash(rng);
    }

    fn node(&mut self, id: ReplicaId) -> &mut Node {
        self.nodes.get_mut(&id).expect("a node")
    }

    pub(crate) fn heal_network(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn ids(&self) -> Vec<ReplicaId> {
        self.nodes.keys().copied().collect()
    }

    pub(crate) fn random_id(&mut self) -> ReplicaId {
        let ids = self.ids();
        ids[self.rng.random_range(0..ids.len())]
    }

    pub(crate) fn random(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    /// The replica that leads in the highest term.
    pub(crate) fn leader(&self) -> Option<ReplicaId> {
        let replicas = self.nodes.values().filter_map(|n| n.replica.as_ref());
        let leaders = replicas.filter(|r| r.role() == RoleKind::Leader);
        leaders.max_by_key(|r| r.term()).map(|r| r.identity().id)
    }

    /// The term of a running replica.
    pub(crate) fn term(&self, id: ReplicaId) -> Option<Term> {
        self.nodes[&id].replica.as_ref().map(Replica::term)
    }

    /// Lets one tick pass: messages, syncs and time.
    pub(crate) fn step(&mut self) {
        self.now += TICK;
        while let Some((&(due, _), _)) = self.network.first_key_value()
            && due <= self.now
        {
            if let Some((_, (from, to, message))) = self.network.pop_first() {
                self.deliver(from, to, message);
            }
        }
        for id in self.ids() {
            self.sync_disk(id);
            self.input(id, Replica::tick);
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + u64::try_from(span.as_micros()).expect("a short span");
        while self.now < end {
            self.step();
        }
    }

    fn deliver(&mut self, from: Sender, to: ReplicaId, message: Message) {
        if self.cuts.contains(&(from.id, to)) {
            return;
        }
        let wakes_at = self.nodes[&to].wakes_at;
        if wakes_at > self.now {
            self.sequence += 1;
            let key = (wakes_at, self.sequence);
            self.network.insert(key, (from, to, message));
            return;
        }
        self.input(to, |replica, now| replica.receive(now, from, message));
    }

    fn sync_disk(&mut self, id: ReplicaId) {
        let now = self.now;
        while self.nodes[&id].replica.is_some() && self.nodes[&id].wakes_at <= now {
            let node = self.node(id);
            if node.fail_sync && node.disk.has_unsynced() {
                self.crash(id);
                return;
            }
            let Some(ticket) = node.disk.sync(now) else {
                return;
            };
            self.input(id, |replica, now| replica.synced(now, ticket));
        }
    }

    /// Proposes a new command at a replica.
    pub(crate) fn propose(&mut self, id: ReplicaId) {
        self.commands += 1;
        let command = format!("command {}", self.commands).into_bytes();
        let payload = Payload::from(command.as_slice());
        let proposed = {
            if self.nodes[&id].wakes_at > self.now {
                return;
            }
            let now = self.clock(id);
            self.node(id).clock_seen = now;
            let Some(replica) = &mut self.node(id).replica else {
                return;
            };
            replica.propose(now, payload)
        };
        match proposed {
            Ok(position) => {
                let key = (position.index, position.term);
                self.node(id).pending.insert(key, command);
            }
            Err(_) => self.checks.answer(command, Fate::Refused),
        }
        self.settle(id);
    }

    /// Reads at a replica; the answer must hold all that is committed by now.
    pub(crate) fn read(&mut self, id: ReplicaId) {
        self.sequence += 1;
        let read = ReadId::new(self.sequence);
        let wanted = self.checks.max_commit();
        if self.nodes[&id].wakes_at > self.now || self.nodes[&id].replica.is_none() {
            return;
        }
        self.node(id).reads.insert(read, wanted);
        self.input(id, |replica, now| replica.read(now, read));
    }
}
