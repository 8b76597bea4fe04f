//! Messages between replicas: elections, replication and snapshot transfer.

use std::net::SocketAddr;

use trefoillock_core::{LogIndex, ReplicaId, Term, data};

use crate::{DiskId, Entry, Membership, Payload, Position};

/// A message with its sender and receiver, as it is sent between processes.
#[data]
pub struct Envelope {
    /// The name of the system. A replica drops messages of another system.
    pub system: String,
    /// The identity of the sender.
    pub from: ReplicaIdentity,
    /// The address at which the sender accepts connections.
    pub address: SocketAddr,
    /// The replica that the message is for.
    pub to: ReplicaId,
    /// The content.
    pub message: Message,
}

/// The identities of a replica and of its disk.
#[data(key)]
pub struct ReplicaIdentity {
    /// The identity of the replica.
    pub id: ReplicaId,
    /// The identity of its disk.
    pub disk: DiskId,
}

/// The reason why the members ignore a replica.
#[data(key)]
pub enum Refusal {
    /// The replica was removed from the membership.
    Removed,
    /// The replica has another disk than the one recorded for its identity.
    OtherDisk,
}

/// A message from one replica to another.
#[data]
pub enum Message {
    /// Asks whether a vote would be granted, without any change of state at the receiver.
    PreVote {
        /// The term in which the sender would be a candidate.
        term: Term,
        /// The last position of the sender's log.
        last: Position,
        /// As in [`Message::Vote`].
        #[serde(default)]
        relinquished: Term,
    },
    /// Answers [`Message::PreVote`].
    PreVoteAnswer {
        /// The requested term if granted, else the term of the answering replica.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The term of the candidate.
        term: Term,
        /// The last position of the candidate's log.
        last: Position,
        /// The latest term that the sender led before it restarted, or zero. The leases of this
        /// term and of all earlier ones have ended for certain.
        #[serde(default)]
        relinquished: Term,
    },
    /// Answers [`Message::Vote`].
    VoteAnswer {
        /// The term of the answering replica.
        term: Term,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries. Without entries it is a heartbeat.
    Append(Append),
    /// Answers [`Message::Append`] and the last [`Message::Chunk`].
    AppendAnswer {
        /// The term of the answering replica.
        term: Term,
        /// The heartbeat round of the message that is answered.
        round: u64,
        /// Whether the logs match.
        outcome: AppendOutcome,
    },
    /// Carries one chunk of a snapshot.
    Chunk(Chunk),
    /// Answers [`Message::Chunk`] while the snapshot is incomplete.
    ChunkAnswer {
        /// The term of the answering replica.
        term: Term,
        /// The heartbeat round of the message that is answered.
        round: u64,
        /// The position of the snapshot.
        position: Position,
        /// The number of bytes of the snapshot received so far.
        received: u64,
    },
    /// Tells a replica that the members ignore it.
    Refused(Refusal),
}

/// Log entries from a leader to a follower.
#[data]
pub struct Append {
    /// The term of the leader.
    pub term: Term,
    /// The heartbeat round in which the message was sent.
    pub round: u64,
    /// The position of the entry before the first of `entries`.
    pub previous: Position,
    /// Entries that follow `previous` without a gap.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: LogIndex,
}

/// Whether a follower's log matches the leader's.
#[data(key)]
pub enum AppendOutcome {
    /// The logs are equal, and synced at the follower, up to an index.
    Accepted {
        /// The last index up to which they are equal.
        matched: LogIndex,
    },
    /// The logs differ before the new entries, or the follower knows a later term.
    Rejected {
        /// The index from which the leader retries.
        retry_from: LogIndex,
    },
}

/// One chunk of a snapshot.
#[data]
pub struct Chunk {
    /// The term of the leader.
    pub term: Term,
    /// The heartbeat round in which the message was sent.
    pub round: u64,
    /// The position of the last entry that the snapshot contains.
    pub position: Position,
    /// The membership in force at that position.
    pub members: Membership,
    /// The offset of this chunk in the snapshot, in bytes.
    pub offset: u64,
    /// The size of the whole snapshot in bytes.
    pub total: u64,
    /// The CRC-32 of the whole snapshot.
    pub checksum: u32,
    /// The bytes of this chunk.
    pub data: Payload,
}

impl Message {
    /// Returns the term that the message carries, if any.
    #[must_use]
    pub const fn term(&self) -> Option<Term> {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteAnswer { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteAnswer { term, .. }
            | Self::AppendAnswer { term, .. }
            | Self::ChunkAnswer { term, .. } => Some(*term),
            Self::Append(append) => Some(append.term),
            Self::Chunk(chunk) => Some(chunk.term),
            Self::Refused(_) => None,
        }
    }

    /// Returns whether earlier writes must be synced before the message is sent, because other
    /// replicas rely on the state that it reports, even after a restart.
    #[must_use]
    pub const fn requires_sync(&self) -> bool {
        !matches!(
            self,
            Self::PreVote { .. } | Self::Append(_) | Self::Chunk(_) | Self::Refused(_)
        )
    }
}
