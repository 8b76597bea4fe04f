//! Messages between replicas.

use std::net::SocketAddr;

use trefoillock_core::{LogIndex, ReplicaId, Term, data};

use crate::{DiskId, Entry, Membership, Payload, Position};

/// A message with its sender and receiver, as it travels between processes.
#[data]
pub struct Envelope {
    /// The name of the system, so that messages of another system are dropped.
    pub system: String,
    /// The sender.
    pub from: Sender,
    /// The address at which the sender takes calls.
    pub address: SocketAddr,
    /// The receiver.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}

/// The replica and the disk that sent a message.
#[data(key)]
pub struct Sender {
    /// The replica.
    pub id: ReplicaId,
    /// Its disk.
    pub disk: DiskId,
}

/// The reason why a replica takes no part any more.
#[data(key)]
pub enum Refusal {
    /// The replica was removed from the system.
    Removed,
    /// The identity of the replica belongs to another disk.
    OtherDisk,
}

/// A message from one replica to another.
#[data]
pub enum Message {
    /// Asks whether a vote would be granted, without changing anything.
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
        /// The asked term if granted, else the term of the answering replica.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The term of the candidate.
        term: Term,
        /// The last position of the candidate's log.
        last: Position,
        /// A term whose leader's lease has ended for certain, with all earlier ones: the sender
        /// led in this term and has restarted since. Zero if there is none.
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
    /// Replicates entries; without entries it is a heartbeat.
    Append(Append),
    /// Answers [`Message::Append`] and the last [`Message::Chunk`].
    AppendAnswer {
        /// The term of the answering replica.
        term: Term,
        /// The heartbeat round of the message that is answered.
        round: u64,
        /// Whether the log matches.
        outcome: AppendOutcome,
    },
    /// Carries a part of a snapshot.
    Chunk(Chunk),
    /// Answers [`Message::Chunk`].
    ChunkAnswer {
        /// The term of the answering replica.
        term: Term,
        /// The heartbeat round of the message that is answered.
        round: u64,
        /// The position of the snapshot.
        position: Position,
        /// The number of bytes received so far.
        received: u64,
    },
    /// Tells a replica that it takes no part any more.
    Refused(Refusal),
}

/// Entries for a follower.
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
    /// The logs are equal and synced up to an index.
    Accepted {
        /// The index.
        matched: LogIndex,
    },
    /// The logs differ.
    Rejected {
        /// The index from which the leader may try next.
        retry_from: LogIndex,
    },
}

/// A part of a snapshot.
#[data]
pub struct Chunk {
    /// The term of the leader.
    pub term: Term,
    /// The heartbeat round in which the message was sent.
    pub round: u64,
    /// The position up to which the snapshot holds the log.
    pub position: Position,
    /// The membership at that position.
    pub members: Membership,
    /// The place of this part, in bytes from the start.
    pub offset: u64,
    /// The size of the whole snapshot in bytes.
    pub total: u64,
    /// The CRC-32 of the whole snapshot.
    pub checksum: u32,
    /// The bytes of this part.
    pub data: Payload,
}

impl Message {
    /// The term that the message carries, if any.
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

    /// Whether the message promises something that must be synced before it leaves.
    #[must_use]
    pub const fn waits_for_sync(&self) -> bool {
        !matches!(
            self,
            Self::PreVote { .. } | Self::Append(_) | Self::Chunk(_) | Self::Refused(_)
        )
    }
}
