//! What a replica tells about itself.

use std::{net::SocketAddr, sync::Arc};

use displaydoc::Display;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};

use crate::{Membership, Refusal, Replica, RoleKind};

/// The state of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The replica.
    pub id: ReplicaId,
    /// The part that it plays.
    pub role: RoleKind,
    /// The latest term that it knows.
    pub term: Term,
    /// The leader that it follows, itself included.
    pub leader: Option<ReplicaId>,
    /// The index up to which entries are known to be committed.
    pub commit: LogIndex,
    /// The index up to which entries are applied.
    pub applied: LogIndex,
    /// The last index of its log.
    pub last_index: LogIndex,
    /// The latest membership in its log.
    pub members: Membership,
    /// The time until which no other replica can lead, if this one leads.
    pub lease_until: Option<Timestamp>,
    /// The reason why the replica takes no part any more, if another one said so.
    pub refused: Option<Refusal>,
    /// The reason why the replica stopped, if it failed.
    pub failure: Option<Arc<str>>,
}

impl ReplicaStatus {
    /// Reads the state of a replica's machine.
    #[must_use]
    pub fn of(replica: &Replica) -> Self {
        Self {
            id: replica.identity().id,
            role: replica.role(),
            term: replica.term(),
            leader: replica.leader(),
            commit: replica.commit(),
            applied: replica.applied(),
            last_index: replica.last().index,
            members: replica.membership().clone(),
            lease_until: replica.lease_until(),
            refused: replica.refused(),
            failure: None,
        }
    }

    /// The leader with its address.
    #[must_use]
    pub fn leader_address(&self) -> Option<(ReplicaId, SocketAddr)> {
        let leader = self.leader?;
        Some((leader, self.members.get(leader)?.address))
    }
}

/// The reason why a proposal was not answered.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ProposeError {
    /// this replica does not lead; the proposal is not in the log
    NotLeader {
        /// The leader, if known.
        leader: Option<(ReplicaId, SocketAddr)>,
    },
    /// the proposal is proved not to be in the log
    DidNotCommit,
    /// the command is larger than the limit; it is not in the log
    TooLarge,
    /// too many proposals wait; this one is not in the log
    Busy,
    /// the proposal may yet commit
    Unknown,
}

impl std::error::Error for ProposeError {}

/// The reason why the state machine's state may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ReadError {
    /// this replica does not lead, or too many reads wait
    NotLeader {
        /// The leader, if known.
        leader: Option<(ReplicaId, SocketAddr)>,
    },
    /// no quorum confirmed in time that this replica leads
    TimedOut,
}

impl std::error::Error for ReadError {}
