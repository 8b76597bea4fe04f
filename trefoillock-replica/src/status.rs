//! The status of a replica, and the errors of proposals and reads.

use std::{net::SocketAddr, sync::Arc};

use displaydoc::Display;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};

use crate::{Membership, Refusal, Replica, ReplicaRole};

/// The status of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The identity of the replica.
    pub id: ReplicaId,
    /// The role of the replica.
    pub role: ReplicaRole,
    /// The latest term that the replica knows.
    pub term: Term,
    /// The leader of the current term, this replica included; `None` if it is not known.
    pub leader: Option<ReplicaId>,
    /// The index up to which entries are known to be committed.
    pub commit: LogIndex,
    /// The index up to which entries are applied.
    pub applied: LogIndex,
    /// The index of the last entry of the log.
    pub last_index: LogIndex,
    /// The latest membership in the log, committed or not.
    pub members: Membership,
    /// The end of the lease of this replica, before which no other replica can lead; `None` without
    /// a lease.
    pub lease_until: Option<Timestamp>,
    /// Why another replica refused this one, if one did.
    pub refusal: Option<Refusal>,
    /// Why the replica stopped, if it failed.
    pub failure: Option<Arc<str>>,
}

impl ReplicaStatus {
    /// Reads the status of a replica.
    #[must_use]
    pub fn from_replica(replica: &Replica) -> Self {
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
            refusal: replica.refused(),
            failure: None,
        }
    }

    /// Returns the leader and its address, if both are known.
    #[must_use]
    pub fn leader_address(&self) -> Option<(ReplicaId, SocketAddr)> {
        let leader = self.leader?;
        Some((leader, self.members.get(leader)?.address))
    }
}

/// The reason why a proposal got no answer of the state machine.
///
/// The texts are part of the answers to operators.
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

/// The reason why a read was not confirmed. The state of the state machine may be out of date.
///
/// The texts are part of the answers to operators.
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
