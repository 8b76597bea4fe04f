//! What a replica tells about itself.

use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};

use crate::{Entry, Membership, Position, Refusal, Replica, RoleKind, Sender, replica::Role};

impl Replica {
    /// The replica and its disk.
    #[must_use]
    pub const fn identity(&self) -> Sender {
        self.identity
    }

    /// The part that the replica plays.
    #[must_use]
    pub fn role(&self) -> RoleKind {
        match &self.role {
            Role::Leader(_) => RoleKind::Leader,
            Role::PreCandidate { .. } | Role::Candidate { .. } => RoleKind::Candidate,
            Role::Follower if self.is_voter() => RoleKind::Follower,
            Role::Follower => RoleKind::Learner,
        }
    }

    /// The latest term that the replica knows.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader that the replica follows.
    #[must_use]
    pub const fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The index up to which entries are known to be committed.
    #[must_use]
    pub const fn commit(&self) -> LogIndex {
        self.commit
    }

    /// The index up to which entries were handed to the state machine.
    #[must_use]
    pub const fn applied(&self) -> LogIndex {
        self.applied
    }

    /// The last position of the log.
    #[must_use]
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// The entry at an index, if it is in memory.
    #[must_use]
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// The reason why this replica takes no part any more, if another one said so.
    #[must_use]
    pub const fn refused(&self) -> Option<Refusal> {
        self.refused
    }

    /// The latest membership in the log.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.members_at(LogIndex::new(u64::MAX))
    }

    /// The latest membership that is committed.
    #[must_use]
    pub fn committed_membership(&self) -> &Membership {
        self.members_at(self.commit)
    }

    /// The time until which no other replica can lead, on the clock that `now` comes from.
    #[must_use]
    pub fn lease_until(&self) -> Option<Timestamp> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let until = leadership.lease_start? + self.timing.lease;
        (until > self.now()).then(|| self.clock.reading_at(until))
    }
}
