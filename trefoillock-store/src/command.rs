//! Commands of the replicated log and the answers to them.

use trefoillock_core::{
    DataCentre, Departure, Edit, EditAnswer, GuardSet, GuardSlot, MoveId, MoveStep, NodeId,
    RolloutAllowance, RolloutProgress, RolloutStep, ServiceName, Timestamp, VersionLabel, data,
};

use crate::{EncodingError, ReplaceAnswer, TablesReplacement, encoding};

/// A command in the replicated log.
#[data]
pub enum Command {
    /// Replaces the tables by those of an edit, unless the edit is refused.
    Edit(Edit),
    /// Applies a step of a move.
    MoveStep(MoveStep),
    /// Takes a move back at the request of an operator.
    CancelMove {
        /// The move to take back.
        id: MoveId,
        /// When the operator requested it.
        at: Timestamp,
    },
    /// Replaces the guards of the given slots.
    Guards(Vec<(GuardSlot, GuardSet)>),
    /// Replaces the tables by those of a document.
    Replace(Box<TablesReplacement>),
    /// Starts the rollout of a version of a service.
    StartRollout {
        /// The service to roll out.
        service: ServiceName,
        /// The version to roll out.
        version: VersionLabel,
        /// When the rollout was ordered.
        at: Timestamp,
        /// When the rollout must have ended.
        deadline: Timestamp,
    },
    /// Applies a step of a rollout.
    RolloutStep(RolloutStep),
    /// Records the progress of a rollout. The configuration stays the same.
    RolloutProgress {
        /// The rollout.
        id: MoveId,
        /// Its progress.
        progress: RolloutProgress,
    },
    /// Extends the calls that the new version of a rollout may get.
    RolloutAllowance {
        /// The rollout.
        id: MoveId,
        /// The whole allowance after the extension.
        allowance: RolloutAllowance,
    },
    /// Evacuates a data centre. An evacuation that is in force keeps the time of its first order.
    StartEvacuation {
        /// The data centre to evacuate.
        data_centre: DataCentre,
        /// When the evacuation was ordered.
        at: Timestamp,
    },
    /// Readmits an evacuated data centre.
    FinishEvacuation {
        /// The data centre to readmit.
        data_centre: DataCentre,
    },
    /// Records that a backend server has left. The configuration stays the same.
    RecordDeparture {
        /// The node beside the backend server.
        node: NodeId,
        /// The runs that have left.
        departure: Departure,
    },
}

impl Command {
    /// Encodes the command for the replicated log.
    ///
    /// # Errors
    ///
    /// Returns an error if the command cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, EncodingError> {
        encoding::encode(self)
    }

    /// Decodes a command from the replicated log.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded command.
    pub fn decode(bytes: &[u8]) -> Result<Self, EncodingError> {
        encoding::decode(bytes)
    }
}

/// Answer to a request to cancel a move.
#[data(key)]
pub enum CancelAnswer {
    /// The move is now taken back.
    TakenBack,
    /// The move had already ended.
    AlreadyEnded,
    /// There is no such move, or its record is no longer kept.
    Unknown,
}

/// Answer to a command.
#[data]
pub enum CommandAnswer {
    /// Answer to an edit.
    Edit(EditAnswer),
    /// Whether the step of a move was applied.
    MoveStep(bool),
    /// Answer to a cancellation.
    Cancel(CancelAnswer),
    /// Number of slots whose guards were replaced.
    Guards(usize),
    /// Result of a replacement.
    Replace(ReplaceAnswer),
    /// Whether the rollout is accepted, now or by an earlier send of the same order.
    Rollout(bool),
    /// Whether the step of a rollout was applied.
    RolloutStep(bool),
    /// Whether the progress of a rollout was recorded.
    RolloutProgress(bool),
    /// Whether the allowance of a rollout was extended.
    RolloutAllowance(bool),
    /// Whether an order about an evacuation changed something; if not, it was already in effect.
    Evacuation(bool),
    /// The departure is recorded; whether it was not known before.
    Departure(bool),
    /// The entry could not be decoded; the state is unchanged.
    Undecodable,
}

impl CommandAnswer {
    /// Encodes the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, EncodingError> {
        encoding::encode(self)
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded answer.
    pub fn decode(bytes: &[u8]) -> Result<Self, EncodingError> {
        encoding::decode(bytes)
    }
}
