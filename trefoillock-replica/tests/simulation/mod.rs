//! A deterministic simulation of replicas with virtual time, a simulated network and simulated
//! disks.

mod checks;
mod disk;
mod effects;
mod faults;
mod manager;
mod operator;
mod replacements;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use checks::{Checks, ProposalOutcome};
use disk::Disk;
pub(crate) use faults::{Fault, FaultInjection, STEPS};
use manager::Contacts;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};
use trefoillock_replica::{
    DiskId, Limits, Membership, Message, Payload, ReadId, Replica, ReplicaIdentity, ReplicaRole,
    Timing,
};

/// The time between two ticks in microseconds.
const TICK: u64 = 20_000;
/// The start of virtual time in microseconds.
const START: u64 = 1_000_000_000;

/// The commands that a replica has applied, with their indexes.
type State = Vec<(LogIndex, Vec<u8>)>;

/// A replica with its disk, the state of its state machine and its clock.
struct SimulatedReplica {
    identity: ReplicaIdentity,
    replica: Option<Replica>,
    disk: Disk,
    state: State,
    applied: LogIndex,
    /// The proposals that are not answered yet.
    pending: BTreeMap<(LogIndex, Term), Vec<u8>>,
    /// The reads that are not answered yet, each with the index that its answer must include.
    reads: BTreeMap<ReadId, LogIndex>,
    clock_offset: i64,
    /// The reading of the clock at the latest input.
    last_reading: Timestamp,
    /// The rate of the clock relative to virtual time, in parts per million.
    clock_rate: i64,
    /// The time until which the process is paused, in microseconds.
    paused_until: u64,
    /// Whether the next sync fails, which crashes the replica.
    fail_sync: bool,
    /// The time until which the disk has no room and syncs nothing, in microseconds.
    disk_full_until: u64,
    disk_lost: bool,
}

/// The replicas, the network and the checks.
pub(crate) struct Simulation {
    rng: Pcg64Mcg,
    now: u64,
    sequence: u64,
    nodes: BTreeMap<ReplicaId, SimulatedReplica>,
    network: BTreeMap<(u64, u64), (ReplicaIdentity, ReplicaId, Message)>,
    cut_links: BTreeSet<(ReplicaId, ReplicaId)>,
    checks: Checks,
    commands: u64,
    initial_members: Membership,
    contacts: Contacts,
    /// The fault to inject, if any.
    injection: Option<FaultInjection>,
    pub(crate) lossy: bool,
    pub(crate) step_counts: BTreeMap<&'static str, u64>,
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
            cut_links: BTreeSet::new(),
            checks: Checks::default(),
            commands: 0,
            initial_members: members.clone(),
            contacts: Contacts::default(),
            injection: None,
            lossy: false,
            step_counts: BTreeMap::new(),
        };
        for id in ids {
            simulation.create(id, Disk::new(members.clone()));
        }
        simulation
    }

    pub(crate) fn set_injection(&mut self, injection: FaultInjection) {
        self.injection = Some(injection);
    }

    fn create(&mut self, id: ReplicaId, disk: Disk) {
        let disk_id = DiskId::new(self.rng.random());
        let node = SimulatedReplica {
            identity: ReplicaIdentity { id, disk: disk_id },
            replica: None,
            disk,
            state: State::new(),
            applied: LogIndex::ZERO,
            pending: BTreeMap::new(),
            reads: BTreeMap::new(),
            clock_offset: 0,
            last_reading: Timestamp::EPOCH,
            clock_rate: self.rng.random_range(950_000..1_050_000),
            paused_until: 0,
            fail_sync: false,
            disk_full_until: 0,
            disk_lost: false,
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

    /// Starts a replica that is down, unless its disk is lost.
    pub(crate) fn restart(&mut self, id: ReplicaId) {
        let now = self.clock(id);
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let node = self.nodes.get_mut(&id).expect("a node");
        if node.replica.is_some() || node.disk_lost {
            return;
        }
        let recovered = node.disk.recover(node.identity);
        node.state.clear();
        node.applied = LogIndex::ZERO;
        node.fail_sync = false;
        let replica = Replica::new(recovered, Timing::default(), limits(), rng, now);
        node.replica = Some(replica);
        let identity = node.identity;
        self.checks.reset_checked_commit(identity);
        self.execute_effects(id);
    }

    fn crash(&mut self, id: ReplicaId) {
        let rng = &mut self.rng;
        let node = self.nodes.get_mut(&id).expect("a node");
        node.replica = None;
        node.pending.clear();
        node.reads.clear();
        node.disk.crash(rng);
    }

    fn simulated(&mut self, id: ReplicaId) -> &mut SimulatedReplica {
        self.nodes.get_mut(&id).expect("a node")
    }

    pub(crate) fn heal_network(&mut self) {
        self.cut_links.clear();
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

    /// Returns the replica that leads in the highest term.
    pub(crate) fn leader(&self) -> Option<ReplicaId> {
        let replicas = self.nodes.values().filter_map(|n| n.replica.as_ref());
        let leaders = replicas.filter(|r| r.role() == ReplicaRole::Leader);
        leaders.max_by_key(|r| r.term()).map(|r| r.identity().id)
    }

    /// Returns the term of a running replica.
    pub(crate) fn term(&self, id: ReplicaId) -> Option<Term> {
        self.nodes[&id].replica.as_ref().map(Replica::term)
    }

    /// Advances time by one tick: delivers messages, syncs disks and ticks replicas.
    pub(crate) fn advance_tick(&mut self) {
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
            self.advance_tick();
        }
    }

    fn deliver(&mut self, from: ReplicaIdentity, to: ReplicaId, message: Message) {
        if self.cut_links.contains(&(from.id, to)) {
            return;
        }
        let paused_until = self.nodes[&to].paused_until;
        if paused_until > self.now {
            self.sequence += 1;
            let key = (paused_until, self.sequence);
            self.network.insert(key, (from, to, message));
            return;
        }
        self.contacts.record(self.now, from.id, to);
        self.input(to, |replica, now| replica.receive(now, from, message));
    }

    fn sync_disk(&mut self, id: ReplicaId) {
        let now = self.now;
        while self.nodes[&id].replica.is_some() && self.nodes[&id].paused_until <= now {
            let node = self.simulated(id);
            if node.fail_sync && node.disk.has_unsynced() {
                self.crash(id);
                return;
            }
            if node.disk_full_until > now {
                return;
            }
            let Some(batch) = node.disk.sync(now) else {
                return;
            };
            self.input(id, |replica, now| replica.report_synced(now, batch));
        }
    }

    /// Proposes a new command at a replica.
    pub(crate) fn propose(&mut self, id: ReplicaId) {
        self.commands += 1;
        let command = format!("command {}", self.commands).into_bytes();
        let payload = Payload::from(command.as_slice());
        let proposed = {
            if self.nodes[&id].paused_until > self.now {
                return;
            }
            let now = self.clock(id);
            self.simulated(id).last_reading = now;
            let Some(replica) = &mut self.simulated(id).replica else {
                return;
            };
            replica.propose(now, payload)
        };
        match proposed {
            Ok(position) => {
                let key = (position.index, position.term);
                self.simulated(id).pending.insert(key, command);
            }
            Err(_) => self
                .checks
                .record_outcome(command, ProposalOutcome::Refused),
        }
        self.execute_effects(id);
    }

    /// Reads at a replica. The answer must include everything that is committed now.
    pub(crate) fn read(&mut self, id: ReplicaId) {
        self.sequence += 1;
        let read = ReadId::new(self.sequence);
        let required = self.checks.max_commit();
        if self.nodes[&id].paused_until > self.now || self.nodes[&id].replica.is_none() {
            return;
        }
        self.simulated(id).reads.insert(read, required);
        self.input(id, |replica, now| replica.read(now, read));
    }
}
