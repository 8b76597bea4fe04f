//! The commands of the replicated log and the answers to them.

use trefoillock_core::{
    Edit, EditAnswer, GuardSet, GuardSlot, MoveId, MoveStep, RolloutStep, ServiceName, Timestamp,
    VersionLabel, data,
};

use crate::{EncodingError, ReplaceAnswer, Replacement, encoding};

/// A command that the replicated log holds.
#[data]
pub enum Command {
    /// Replaces the tables.
    Edit(Edit),
    /// Takes a step of a move.
    MoveStep(MoveStep),
    /// Takes a move back at an operator's wish.
    CancelMove {
        /// The move.
        id: MoveId,
        /// The time of the wish.
        at: Timestamp,
    },
    /// Replaces the guards of some slots.
    Guards(Vec<(GuardSlot, GuardSet)>),
    /// Replaces the tables by those of a numbered document.
    Replace(Box<Replacement>),
    /// Starts the roll-out of a version of a service.
    StartRollout {
        /// The service.
        service: ServiceName,
        /// The new version.
        version: VersionLabel,
        /// The time of the order.
        at: Timestamp,
        /// The time by which the roll-out shall have ended.
        deadline: Timestamp,
    },
    /// Takes a step of a roll-out.
    RolloutStep(RolloutStep),
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the command cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, EncodingError> {
        encoding::encode(self)
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no command.
    pub fn decode(bytes: &[u8]) -> Result<Self, EncodingError> {
        encoding::decode(bytes)
    }
}

/// The answer to the wish to cancel a move.
#[data(key)]
pub enum CancelAnswer {
    /// The move is taken back.
    TakenBack,
    /// The move had ended before.
    AlreadyEnded,
    /// There is no such move.
    Unknown,
}

/// The answer to a command.
#[data]
pub enum CommandAnswer {
    /// The answer to an edit.
    Edit(EditAnswer),
    /// Whether a step of a move took effect.
    MoveStep(bool),
    /// The answer to a cancellation.
    Cancel(CancelAnswer),
    /// The number of slots whose guards changed.
    Guards(usize),
    /// What became of a replacement.
    Replace(ReplaceAnswer),
    /// Whether a roll-out was ordered, now or by an earlier send of the same order.
    Rollout(bool),
    /// Whether the step of a roll-out was taken.
    RolloutStep(bool),
    /// The entry could not be decoded; nothing changed.
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
    /// Returns an error if the bytes are no answer.
    pub fn decode(bytes: &[u8]) -> Result<Self, EncodingError> {
        encoding::decode(bytes)
    }
}
