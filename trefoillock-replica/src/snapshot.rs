//! Persistent state besides the log: the snapshot of the state machine, and the term and vote.

use trefoillock_core::{Term, data};

use trefoillock_core::ReplicaId;

use crate::{Membership, Payload, Position};

/// The state of the state machine at a position of the log.
#[data]
#[derive(Default)]
pub struct Snapshot {
    /// The position of the last entry applied to the state.
    pub position: Position,
    /// The membership in force at that position.
    pub members: Membership,
    /// The state as encoded by the state machine.
    pub data: Payload,
}

/// The election state of a replica, which must survive a restart.
#[data(key)]
#[derive(Default)]
pub struct HardState {
    /// The latest term that the replica knows.
    pub term: Term,
    /// The candidate that this replica voted for in this term, if any.
    pub voted_for: Option<ReplicaId>,
    /// The latest term that this replica led, or zero.
    #[serde(default)]
    pub led: Term,
}
