//! Faults, and the steps at which they are injected.

use rand::RngExt;
use trefoillock_core::ReplicaId;
use trefoillock_replica::{Content, Effect, Entry, Message, Replica, Write};

use super::{Simulation, disk::Disk};

/// A fault at one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    Crash,
    FailSync,
    LoseDisk,
    /// The disk is lost and the replica restarts on a blank one under its old identity.
    BlankDisk,
    Isolate,
    CutIncoming,
    CutOutgoing,
    /// The link between the replica and the leader is cut, in both directions.
    CutFromLeader,
    JumpClock(i64),
    Pause,
    /// The disk is full for a time in microseconds.
    FillDisk(u64),
}

/// A fault to inject at one step of a replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultInjection {
    pub(crate) step: &'static str,
    /// The occurrence of the step at which the fault is injected, from 1.
    pub(crate) occurrence: u64,
    pub(crate) fault: Fault,
    /// Whether the step is executed before the fault is injected.
    pub(crate) after: bool,
}

/// The steps at which a fault can be injected.
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

impl Simulation {
    /// Injects a fault at a replica. A disk is lost only if a quorum of disks remains.
    pub(crate) fn inject(&mut self, id: ReplicaId, fault: Fault) {
        let others: Vec<ReplicaId> = self.nodes.keys().copied().filter(|&o| o != id).collect();
        match fault {
            Fault::FailSync => self.simulated(id).fail_sync = true,
            Fault::LoseDisk if self.may_lose_disk() => {
                self.crash(id);
                self.simulated(id).disk_lost = true;
            }
            Fault::BlankDisk if self.may_lose_disk() && self.disk_is_recorded(id) => self.wipe(id),
            Fault::Crash | Fault::LoseDisk | Fault::BlankDisk => self.crash(id),
            Fault::Isolate => {
                for other in others {
                    self.cut_links.extend([(id, other), (other, id)]);
                }
            }
            Fault::CutIncoming => self
                .cut_links
                .extend(others.iter().map(|&other| (other, id))),
            Fault::CutOutgoing => self
                .cut_links
                .extend(others.iter().map(|&other| (id, other))),
            Fault::CutFromLeader => {
                if let Some(leader) = self.leader() {
                    self.cut_links.extend([(leader, id), (id, leader)]);
                }
            }
            Fault::JumpClock(micros) => {
                let node = self.simulated(id);
                node.clock_offset = (node.clock_offset + micros).max(-900_000_000);
            }
            Fault::FillDisk(span) => {
                let until = self.now + span;
                self.simulated(id).disk_full_until = until;
            }
            Fault::Pause => {
                let until = self.now + self.rng.random_range(100_000..4_000_000);
                self.simulated(id).paused_until = until;
            }
        }
    }

    /// Restarts a replica on a blank disk, initialized as for a new system.
    pub(super) fn wipe(&mut self, id: ReplicaId) {
        self.crash(id);
        let disk = Disk::new(self.initial_members.clone());
        self.create(id, disk);
        self.simulated(id).disk_lost = true;
    }

    /// Returns whether all running replicas have committed which disk a replica has.
    pub(super) fn disk_is_recorded(&self, id: ReplicaId) -> bool {
        let mut replicas = self.nodes.values().filter_map(|n| n.replica.as_ref());
        replicas.all(|replica| {
            let member = replica.committed_membership().get(id);
            member.is_some_and(|member| member.disk.is_some())
        })
    }

    /// Returns whether each known membership keeps a quorum of disks if one more is lost.
    pub(super) fn may_lose_disk(&self) -> bool {
        let mut intact = self.nodes.values().filter(|n| !n.disk_lost);
        intact.all(|node| {
            let members = node.replica.as_ref().map(Replica::membership);
            members.is_some_and(|members| {
                let intact = members
                    .voters()
                    .filter(|id| !self.nodes[id].disk_lost)
                    .count();
                intact > members.quorum()
            })
        })
    }

    /// Counts a step. Returns the injection if it is due at this occurrence.
    pub(super) fn triggered_injection(&mut self, step: &'static str) -> Option<FaultInjection> {
        let count = self.step_counts.entry(step).or_default();
        *count += 1;
        self.injection
            .filter(|injection| injection.step == step && injection.occurrence == *count)
    }
}

/// Returns the step that an effect belongs to, if faults can be injected at it.
pub(super) fn step_of(effect: &Effect) -> Option<&'static str> {
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
