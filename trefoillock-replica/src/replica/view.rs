//! Read access to the state of a replica.

use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};

use crate::{
    Entry, Membership, Position, Refusal, Replica, ReplicaIdentity, ReplicaRole, replica::Role,
};

impl Replica {
    /// Returns the identities of the replica and of its disk.
    #[must_use]
    pub const fn identity(&self) -> ReplicaIdentity {
        self.identity
    }

    /// Returns the current role. A pre-candidate counts as a candidate.
    #[must_use]
    pub fn role(&self) -> ReplicaRole {
        match &self.role {
            Role::Leader(_) => ReplicaRole::Leader,
            Role::PreCandidate { .. } | Role::Candidate { .. } => ReplicaRole::Candidate,
            Role::Follower if self.is_voter() => ReplicaRole::Follower,
            Role::Follower => ReplicaRole::Learner,
        }
    }

    /// Returns the latest term that the replica knows.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader of the current term, this replica included; `None` if it is not known.
    #[must_use]
    pub const fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the index up to which entries are known to be committed.
    #[must_use]
    pub const fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the index up to which entries were emitted to the state machine.
    #[must_use]
    pub const fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the position of the last entry of the log.
    #[must_use]
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns the entry at `index`; `None` if it was compacted or is beyond the log.
    #[must_use]
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Returns why another replica refused this one, if one did. A refused replica does not
    /// campaign.
    #[must_use]
    pub const fn refused(&self) -> Option<Refusal> {
        self.refused
    }

    /// Returns the latest membership in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.members_at(LogIndex::new(u64::MAX))
    }

    /// Returns the latest committed membership.
    #[must_use]
    pub fn committed_membership(&self) -> &Membership {
        self.members_at(self.commit)
    }

    /// Returns the end of the lease of this replica, on the clock that its inputs are read from.
    ///
    /// No other replica can lead before it. `None` if this replica holds no lease.
    #[must_use]
    pub fn lease_until(&self) -> Option<Timestamp> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let until = leadership.lease_start? + self.timing.lease;
        (until > self.now()).then(|| self.clock.reading_at(until))
    }
}
