//! Snapshots of the state machine.

use trefoillock_core::{Term, data};

use trefoillock_core::ReplicaId;

use crate::{Membership, Payload, Position};

/// The state machine's state at a position of the log.
#[data]
#[derive(Default)]
pub struct Snapshot {
    /// The position of the last entry that the state holds.
    pub position: Position,
    /// The membership at that position.
    pub members: Membership,
    /// The state, as the state machine encodes it.
    pub data: Payload,
}

/// The term and the vote, which must survive a restart.
#[data(key)]
#[derive(Default)]
pub struct HardState {
    /// The latest term that the replica knows.
    pub term: Term,
    /// The candidate that got the replica's vote in this term.
    pub voted_for: Option<ReplicaId>,
    /// The latest term in which the replica led; zero if it never did.
    #[serde(default)]
    pub led: Term,
}
