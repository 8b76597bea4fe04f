//! Replicas under virtual time with a network and disks in memory.

mod checks;
mod disk;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use checks::{Checks, Fate};
use disk::Disk;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};
use trefoillock_replica::{
    Content, DiskId, Effect, Entry, Limits, MemberRole, Membership, MembershipChange, Message,
    Payload, ReadId, Replica, RoleKind, Sender, Timing,
};

/// The time between two ticks in microseconds.
const TICK: u64 = 20_000;
/// The start of virtual time in microseconds.
const START: u64 = 1_000_000_000;
/// The longest time without faults until all replicas agree, in microseconds.
const HEALING: u64 = 60_000_000;

/// The commands applied to a replica's state.
type State = Vec<(LogIndex, Vec<u8>)>;

/// A fault at one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    Crash,
    FailSync,
    LoseDisk,
    /// The disk is lost and the replica starts anew on a blank one under its old identity.
    BlankDisk,
    Isolate,
    CutIncoming,
    CutOutgoing,
    /// The replica and the leader do not hear each other, but the others.
    CutFromLeader,
    StepClock(i64),
    Pause,
}

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

/// A fault that strikes a replica at one step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Trap {
    pub(crate) step: &'static str,
    pub(crate) occurrence: u64,
    pub(crate) fault: Fault,
    /// Whether the step is carried out before the fault strikes.
    pub(crate) after: bool,
}

/// The steps at which a fault can strike.
pub(crate) const STEPS: [&str; 14] = [
    "pre-vote",
    "pre-vote answer",
    "vote",
    "vote answer",
    "append",
    "append answer",
    "chunk",
    "chunk answer",
    "write hard state",
    "write entries",
    "write members",
    "write snapshot",
    "apply",
    "restore",
];

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

    /// Lets a fault strike a replica.
    pub(crate) fn strike(&mut self, id: ReplicaId, fault: Fault) {
        let others: Vec<ReplicaId> = self.nodes.keys().copied().filter(|&o| o != id).collect();
        match fault {
            Fault::FailSync => self.node(id).fail_sync = true,
            Fault::LoseDisk if self.may_lose_disk() => {
                self.crash(id);
                self.node(id).lost = true;
            }
            Fault::BlankDisk if self.may_lose_disk() && self.disk_is_recorded(id) => self.blank(id),
            Fault::Crash | Fault::LoseDisk | Fault::BlankDisk => self.crash(id),
            Fault::Isolate => {
                for other in others {
                    self.cuts.extend([(id, other), (other, id)]);
                }
            }
            Fault::CutIncoming => self.cuts.extend(others.iter().map(|&other| (other, id))),
            Fault::CutOutgoing => self.cuts.extend(others.iter().map(|&other| (id, other))),
            Fault::CutFromLeader => {
                if let Some(leader) = self.leader() {
                    self.cuts.extend([(leader, id), (id, leader)]);
                }
            }
            Fault::StepClock(micros) => {
                let node = self.node(id);
                node.clock_offset = (node.clock_offset + micros).max(-900_000_000);
            }
            Fault::Pause => {
                let until = self.now + self.rng.random_range(100_000..4_000_000);
                self.node(id).wakes_at = until;
            }
        }
    }

    /// Starts a replica on a blank disk as if its system were new.
    fn blank(&mut self, id: ReplicaId) {
        self.crash(id);
        let disk = Disk::new(self.bootstrapped.clone());
        self.create(id, disk);
        self.node(id).lost = true;
    }

    /// Whether all replicas know by a committed entry which disk a replica has.
    fn disk_is_recorded(&self, id: ReplicaId) -> bool {
        let mut replicas = self.nodes.values().filter_map(|n| n.replica.as_ref());
        replicas.all(|replica| {
            let member = replica.committed_membership().get(id);
            member.is_some_and(|member| member.disk.is_some())
        })
    }

    /// Whether each known membership keeps a quorum of disks if one more is lost.
    fn may_lose_disk(&self) -> bool {
        let mut intact = self.nodes.values().filter(|n| !n.lost);
        intact.all(|node| {
            let members = node.replica.as_ref().map(Replica::membership);
            members.is_some_and(|members| {
                let intact = members.voters().filter(|id| !self.nodes[id].lost).count();
                intact > members.quorum()
            })
        })
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

    /// Gives a replica an input and carries its effects out.
    fn input<T>(
        &mut self,
        id: ReplicaId,
        f: impl FnOnce(&mut Replica, Timestamp) -> T,
    ) -> Option<T> {
        if self.nodes[&id].wakes_at > self.now {
            return None;
        }
        let now = self.clock(id);
        self.node(id).clock_seen = now;
        let output = f(self.node(id).replica.as_mut()?, now);
        self.settle(id);
        self.lease_excludes_others(id);
        Some(output)
    }

    /// No other replica holds a lease of an earlier term while one leads.
    fn lease_excludes_others(&self, id: ReplicaId) {
        let replica = self.nodes[&id].replica.as_ref();
        let Some(leader) = replica.filter(|r| r.role() == RoleKind::Leader) else {
            return;
        };
        for (&other, node) in &self.nodes {
            let Some(replica) = &node.replica else {
                continue;
            };
            // A replica whose clock stepped drops its lease before it uses it.
            let now = self.clock(other);
            let max_step = Timing::default().max_clock_step;
            let stepped = now < node.clock_seen || now.since(node.clock_seen) > max_step;
            let holds = replica.lease_until().is_some_and(|until| until > now);
            let earlier = replica.term() < leader.term();
            assert!(
                stepped || !earlier || !holds,
                "{id} leads while {other} holds a lease"
            );
        }
    }

    fn settle(&mut self, id: ReplicaId) {
        let identity = self.nodes[&id].identity;
        while let Some(replica) = self.node(id).replica.as_mut() {
            let effects = replica.take_effects();
            if let Some(replica) = &self.nodes[&id].replica {
                self.checks.replica(replica);
            }
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                let node = &self.nodes[&id];
                if node.replica.is_none() || node.identity != identity {
                    return;
                }
                self.carry_out(id, effect);
            }
        }
    }

    fn carry_out(&mut self, id: ReplicaId, effect: Effect) {
        let step = step_of(&effect);
        let strikes = step.and_then(|step| self.springs(step));
        if let Some(trap) = strikes.filter(|trap| !trap.after) {
            let identity = self.nodes[&id].identity;
            self.strike(id, trap.fault);
            let node = &self.nodes[&id];
            if node.replica.is_none() || node.identity != identity {
                return;
            }
        }
        self.carry_out_intact(id, effect);
        if let Some(trap) = strikes.filter(|trap| trap.after) {
            self.strike(id, trap.fault);
        }
    }

    /// Counts a step. Returns the trap if it strikes now.
    fn springs(&mut self, step: &'static str) -> Option<Trap> {
        let count = self.seen.entry(step).or_default();
        *count += 1;
        self.trap
            .filter(|trap| trap.step == step && trap.occurrence == *count)
    }

    fn carry_out_intact(&mut self, id: ReplicaId, effect: Effect) {
        match effect {
            Effect::Write { ticket, writes } => {
                self.checks.writes(&writes);
                let slow = self.rng.random_range(0..50) == 0;
                let latency = self
                    .rng
                    .random_range(1_000..if slow { 600_000 } else { 30_000 });
                let due = self.now + latency;
                self.node(id).disk.write(ticket, due, writes);
            }
            Effect::Send { to, message } => self.send(id, to, &message),
            Effect::Apply(entries) => entries.iter().for_each(|entry| self.apply(id, entry)),
            Effect::Restore(snapshot) => {
                let bytes = snapshot.data.as_slice();
                let state: State = rmp_serde::from_slice(bytes).expect("a state");
                let node = self.node(id);
                node.state = state;
                node.applied = snapshot.position.index;
                node.pending
                    .retain(|(index, _), _| *index > snapshot.position.index);
            }
            Effect::TakeSnapshot { position } => {
                let now = self.clock(id);
                let node = self.node(id);
                assert_eq!(node.applied, position.index);
                let data = rmp_serde::to_vec(&node.state).expect("bytes");
                if let Some(replica) = &mut node.replica {
                    replica.snapshot_taken(now, position, Payload::from(data));
                }
            }
            Effect::ReadReady(read) => {
                let node = self.node(id);
                let wanted = node.reads.remove(&read).expect("an open read");
                assert!(node.applied >= wanted, "a read missed {wanted}");
            }
            Effect::ReadFailed(read) => {
                self.node(id).reads.remove(&read).expect("an open read");
            }
            Effect::Halt { reason } => panic!("{reason}"),
        }
    }

    fn send(&mut self, id: ReplicaId, to: ReplicaId, message: &Message) {
        let node = &self.nodes[&id];
        let from = node.identity;
        self.checks.send(from, to, message, &node.disk);
        if !self.nodes.contains_key(&to) {
            return;
        }
        let copies = match self.rng.random_range(0..100) {
            0..8 if self.lossy => 0,
            8..14 if self.lossy => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = self.lossy && self.rng.random_range(0..30) == 0;
            let delay = self
                .rng
                .random_range(1_000..if late { 3_000_000 } else { 40_000 });
            self.sequence += 1;
            let key = (self.now + delay, self.sequence);
            self.network.insert(key, (from, to, message.clone()));
        }
    }

    fn apply(&mut self, id: ReplicaId, entry: &Entry) {
        self.checks.apply(entry);
        let node = self.nodes.get_mut(&id).expect("a node");
        assert!(
            node.disk.holds(entry),
            "an entry was applied before it was synced"
        );
        assert_eq!(
            entry.index(),
            node.applied.next(),
            "a gap in applied entries"
        );
        node.applied = entry.index();
        if let Content::Command(command) = &entry.content {
            let command = command.as_slice().to_vec();
            node.state.push((entry.index(), command));
        }
        let index = entry.index();
        let waiting = node
            .pending
            .extract_if(..=(index, Term::new(u64::MAX)), |_, _| true);
        for ((at, term), command) in waiting {
            assert_eq!(at, index);
            let fate = if term == entry.position.term {
                Fate::Committed
            } else {
                Fate::DidNotCommit
            };
            self.checks.answer(command, fate);
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

    /// Takes one step of replacing a replica, as an operator would at the leader.
    pub(crate) fn operate(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let Some(replica) = &self.nodes[&leader].replica else {
            return;
        };
        let members = replica.membership().clone();
        let learner = members
            .members()
            .iter()
            .find(|(_, m)| m.role == MemberRole::Learner);
        let lost = members.voters().find(|id| self.nodes[id].lost);
        let voters = members.voters().count();
        let change = match (learner, lost) {
            (Some((&id, _)), _) if self.nodes[&id].lost => MembershipChange::Remove { id },
            (Some((&id, _)), _) => MembershipChange::Promote { id },
            (None, Some(id)) if voters > 3 => MembershipChange::Remove { id },
            (None, None) if voters > 3 => {
                let place = self.rng.random_range(0..voters);
                let id = members.voters().nth(place).expect("a voter");
                MembershipChange::Remove { id }
            }
            (None, _) if self.nodes.len() < 9 => {
                let id = ReplicaId::new(self.nodes.len() as u64 + 1);
                self.create(id, Disk::default());
                let address = address(id);
                MembershipChange::AddLearner { id, address }
            }
            (None, _) => return,
        };
        let _ = self.input(leader, |replica, now| replica.change_members(now, &change));
    }

    /// Heals all faults and checks that the replicas agree, take an entry and lost nothing.
    pub(crate) fn finish(&mut self) {
        self.trap = None;
        self.lossy = false;
        self.cuts.clear();
        for id in self.ids() {
            let node = self.node(id);
            node.wakes_at = 0;
            node.fail_sync = false;
            self.restart(id);
        }
        let end = self.now + HEALING;
        let goal = self.commands + 3;
        while self.commands < goal || !self.agree() {
            assert!(
                self.now < end,
                "the replicas do not agree: {}",
                self.describe()
            );
            self.run(Duration::from_millis(500));
            if let Some(leader) = self.leader()
                && self.commands < goal
            {
                self.propose(leader);
                self.read(leader);
            }
        }
        self.checks.nothing_lost();
    }

    /// Whether all members have applied all that is committed.
    fn agree(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let leader = &self.nodes[&leader];
        let members = leader.replica.as_ref().map(Replica::membership);
        let members = members.expect("a running leader").members().keys();
        let mut nodes = members.map(|id| &self.nodes[id]).filter(|n| !n.lost);
        // A proposal beyond the log was dropped by a later leader; its outcome stays unknown.
        let last = leader.replica.as_ref().map(|r| r.last().index);
        let unknown = |(index, _): &(LogIndex, Term)| Some(*index) > last;
        leader.pending.keys().all(unknown)
            && last == Some(leader.applied)
            && leader.reads.is_empty()
            && leader.applied == self.checks.max_commit()
            && nodes.all(|n| n.applied == leader.applied && n.state == leader.state)
    }

    fn describe(&self) -> String {
        let nodes = self.nodes.values().map(|node| {
            let replica = node.replica.as_ref();
            let seen = replica.map(|r| (r.role(), r.term(), r.last(), r.commit(), r.refused()));
            let members = replica.map(|r| r.membership().voters().collect::<Vec<_>>());
            let waits = (
                node.pending.len(),
                node.reads.len(),
                node.applied,
                node.state.len(),
            );
            let id = node.identity.id;
            format!("{id}: lost {}, {seen:?} {members:?} {waits:?}", node.lost)
        });
        nodes.collect::<Vec<_>>().join("\n")
    }
}

/// The step that an effect is.
fn step_of(effect: &Effect) -> Option<&'static str> {
    use trefoillock_replica::Write;
    match effect {
        Effect::Send { message, .. } => Some(match message {
            Message::PreVote { .. } => "pre-vote",
            Message::PreVoteAnswer { .. } => "pre-vote answer",
            Message::Vote { .. } => "vote",
            Message::VoteAnswer { .. } => "vote answer",
            Message::Append(_) => "append",
            Message::AppendAnswer { .. } => "append answer",
            Message::Chunk(_) => "chunk",
            Message::ChunkAnswer { .. } => "chunk answer",
            Message::Refused(_) => return None,
        }),
        Effect::Write { writes, .. } => writes.first().map(|write| match write {
            Write::HardState(_) => "write hard state",
            Write::Snapshot { .. } => "write snapshot",
            Write::Entries(entries) if entries.iter().any(is_membership) => "write members",
            Write::Entries(_) => "write entries",
        }),
        Effect::Apply(_) => Some("apply"),
        Effect::Restore(_) => Some("restore"),
        _ => None,
    }
}

const fn is_membership(entry: &Entry) -> bool {
    matches!(entry.content, Content::Members(_))
}
