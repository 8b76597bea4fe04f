//! Faults, and the steps at which they strike.

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

impl Simulation {
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
    pub(super) fn blank(&mut self, id: ReplicaId) {
        self.crash(id);
        let disk = Disk::new(self.bootstrapped.clone());
        self.create(id, disk);
        self.node(id).lost = true;
    }

    /// Whether all replicas know by a committed entry which disk a replica has.
    pub(super) fn disk_is_recorded(&self, id: ReplicaId) -> bool {
        let mut replicas = self.nodes.values().filter_map(|n| n.replica.as_ref());
        replicas.all(|replica| {
            let member = replica.committed_membership().get(id);
            member.is_some_and(|member| member.disk.is_some())
        })
    }

    /// Whether each known membership keeps a quorum of disks if one more is lost.
    pub(super) fn may_lose_disk(&self) -> bool {
        let mut intact = self.nodes.values().filter(|n| !n.lost);
        intact.all(|node| {
            let members = node.replica.as_ref().map(Replica::membership);
            members.is_some_and(|members| {
                let intact = members.voters().filter(|id| !self.nodes[id].lost).count();
                intact > members.quorum()
            })
        })
    }

    /// Counts a step. Returns the trap if it strikes now.
    pub(super) fn springs(&mut self, step: &'static str) -> Option<Trap> {
        let count = self.seen.entry(step).or_default();
        *count += 1;
        self.trap
            .filter(|trap| trap.step == step && trap.occurrence == *count)
    }
}

/// The step that an effect is.
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
