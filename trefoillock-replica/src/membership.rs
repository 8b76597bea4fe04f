//! The membership of the system: its replicas, their roles, and changes of one member at a time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use displaydoc::Display;
use trefoillock_core::{ReplicaId, data};

/// The maximum number of voters.
pub const MAX_VOTERS: usize = 7;

/// The identity of a data folder, chosen at random when the folder is created.
///
/// If a replica loses its disk and starts on a blank one under the same replica identity, the disk
/// identity differs, so its votes are ignored.
#[data(key)]
#[serde(transparent)]
pub struct DiskId(u64);

impl DiskId {
    /// Creates an identity from a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The role of a member, which decides whether it counts towards quorums.
#[data(key)]
pub enum MemberRole {
    /// The member votes and counts towards commits.
    Voter,
    /// The member receives the log but does not vote.
    Learner,
}

/// A member of the system.
#[data]
pub struct ReplicaMember {
    /// The address at which the replica accepts connections.
    pub address: SocketAddr,
    /// Whether the replica votes.
    pub role: MemberRole,
    /// The identity of its disk, recorded after its first answer to a leader.
    pub disk: Option<DiskId>,
}

/// The members of the system, and the replicas that were removed from it.
#[data]
#[derive(Default)]
pub struct Membership {
    members: BTreeMap<ReplicaId, ReplicaMember>,
    removed: BTreeSet<ReplicaId>,
    /// The disks of removed replicas, so that a replica that still has its disk may return.
    #[serde(default)]
    removed_disks: BTreeMap<ReplicaId, DiskId>,
}

/// A change of one member.
#[data]
pub enum MembershipChange {
    /// Adds a replica that receives the log but does not vote.
    AddLearner {
        /// The identity of the new replica, which must never have been used before.
        id: ReplicaId,
        /// The address of the new replica.
        address: SocketAddr,
    },
    /// Makes a learner a voter.
    Promote {
        /// The learner.
        id: ReplicaId,
    },
    /// Removes a replica. It can return only by [`MembershipChange::Readmit`].
    Remove {
        /// The replica.
        id: ReplicaId,
    },
    /// Adds a removed replica again that has kept its disk. It receives the log but does not vote.
    Readmit {
        /// The identity under which the replica was removed.
        id: ReplicaId,
        /// The address of the replica.
        address: SocketAddr,
        /// The disk of the replica, which must be the one that it was removed with.
        disk: DiskId,
    },
}

/// The reason why a membership change did not take effect or is not known to have done so.
///
/// The texts are part of the answers to operators.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ChangeError {
    /// this replica is not the leader
    NotLeader,
    /// another change of members has not committed yet
    InProgress,
    /// replica {0} belongs to the system already
    AlreadyMember(ReplicaId),
    /// the identity of replica {0} was used and removed; a new replica needs a new identity
    IdentityUsed(ReplicaId),
    /// replica {0} does not belong to the system
    NotMember(ReplicaId),
    /// replica {0} is no learner
    NotLearner(ReplicaId),
    /// replica {0} has not caught up with the log yet
    NotCaughtUp(ReplicaId),
    /// the system has the largest number of voters already
    TooManyVoters,
    /// replica {0} is the last voter
    LastVoter(ReplicaId),
    /// the replica did not commit the change in time; it may yet commit
    Unknown,
    /// the change did not commit
    DidNotCommit,
}

impl std::error::Error for ChangeError {}

impl Membership {
    /// Creates a membership in which all replicas vote.
    #[must_use]
    pub fn of_voters(voters: &[(ReplicaId, SocketAddr)]) -> Self {
        let member = |address| ReplicaMember {
            address,
            role: MemberRole::Voter,
            disk: None,
        };
        let members = voters.iter().map(|&(id, addr)| (id, member(addr)));
        Self {
            members: members.collect(),
            removed: BTreeSet::new(),
            removed_disks: BTreeMap::new(),
        }
    }

    /// Returns all members by identity.
    #[must_use]
    pub const fn members(&self) -> &BTreeMap<ReplicaId, ReplicaMember> {
        &self.members
    }

    /// Returns the number of members and removed replicas together.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len() + self.removed.len()
    }

    /// Returns whether there are no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the member with an identity.
    #[must_use]
    pub fn get(&self, id: ReplicaId) -> Option<&ReplicaMember> {
        self.members.get(&id)
    }

    /// Returns the voters in the order of their identities.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> {
        let voter =
            |(&id, m): (&ReplicaId, &ReplicaMember)| (m.role == MemberRole::Voter).then_some(id);
        self.members.iter().filter_map(voter)
    }

    /// Returns whether a replica is a voter.
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|m| m.role == MemberRole::Voter)
    }

    /// Returns whether a replica was removed from the system.
    #[must_use]
    pub fn is_removed(&self, id: ReplicaId) -> bool {
        self.removed.contains(&id)
    }

    /// Returns whether a removed replica may be added again because it has kept its disk.
    ///
    /// Votes and entries that it acknowledged before its removal are still on that disk, so they
    /// hold on. A blank disk could break them.
    #[must_use]
    pub fn may_readmit(&self, id: ReplicaId, disk: DiskId) -> bool {
        self.removed_disks.get(&id) == Some(&disk)
    }

    /// Returns the number of voters that form a quorum, which is a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters for which `holds` is true form a quorum.
    pub fn is_quorum(&self, holds: impl Fn(ReplicaId) -> bool) -> bool {
        self.voters().filter(|&id| holds(id)).count() >= self.quorum()
    }

    /// Returns the largest value that a quorum has reached; `None` without voters.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }

    /// Returns the membership after a change.
    ///
    /// # Errors
    ///
    /// Returns the reason if the change is not possible.
    pub fn with_change(&self, change: &MembershipChange) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        match *change {
            MembershipChange::AddLearner { id, address } => next.add_learner(id, address)?,
            MembershipChange::Promote { id } => next.promote(id)?,
            MembershipChange::Remove { id } => next.remove(id)?,
            MembershipChange::Readmit { id, address, disk } => next.readmit(id, address, disk)?,
        }
        Ok(next)
    }

    /// Returns the membership with the disk of a member recorded.
    #[must_use]
    pub fn with_disk(&self, id: ReplicaId, disk: DiskId) -> Self {
        let mut next = self.clone();
        if let Some(member) = next.members.get_mut(&id) {
            member.disk = Some(disk);
        }
        next
    }

    fn add_learner(&mut self, id: ReplicaId, address: SocketAddr) -> Result<(), ChangeError> {
        if self.members.contains_key(&id) {
            return Err(ChangeError::AlreadyMember(id));
        }
        if self.is_removed(id) {
            return Err(ChangeError::IdentityUsed(id));
        }
        let learner = ReplicaMember {
            address,
            role: MemberRole::Learner,
            disk: None,
        };
        self.members.insert(id, learner);
        Ok(())
    }

    fn promote(&mut self, id: ReplicaId) -> Result<(), ChangeError> {
        let voters = self.voters().count();
        let member = self.members.get_mut(&id);
        let member = member.ok_or(ChangeError::NotMember(id))?;
        if member.role == MemberRole::Voter {
            return Err(ChangeError::NotLearner(id));
        }
        if voters >= MAX_VOTERS {
            return Err(ChangeError::TooManyVoters);
        }
        member.role = MemberRole::Voter;
        Ok(())
    }

    fn remove(&mut self, id: ReplicaId) -> Result<(), ChangeError> {
        if !self.members.contains_key(&id) {
            return Err(ChangeError::NotMember(id));
        }
        if self.is_voter(id) && self.voters().count() == 1 {
            return Err(ChangeError::LastVoter(id));
        }
        let disk = self.members.remove(&id).and_then(|member| member.disk);
        self.removed.insert(id);
        self.removed_disks.extend(disk.map(|disk| (id, disk)));
        Ok(())
    }

    fn readmit(
        &mut self,
        id: ReplicaId,
        address: SocketAddr,
        disk: DiskId,
    ) -> Result<(), ChangeError> {
        if self.members.contains_key(&id) {
            return Err(ChangeError::AlreadyMember(id));
        }
        if !self.may_readmit(id, disk) {
            return Err(ChangeError::IdentityUsed(id));
        }
        self.removed.remove(&id);
        self.removed_disks.remove(&id);
        let learner = ReplicaMember {
            address,
            role: MemberRole::Learner,
            disk: Some(disk),
        };
        self.members.insert(id, learner);
        Ok(())
    }
}
