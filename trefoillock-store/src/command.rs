//! The commands of the replicated log and the answers to them.

use displaydoc::Display;
use trefoillock_core::{Edit, EditAnswer, GuardSet, GuardSlot, MoveId, MoveStep, Timestamp, data};

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
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the command cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, CommandError> {
        rmp_serde::to_vec_named(self).map_err(|error| CommandError(error.to_string()))
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no command.
    pub fn decode(bytes: &[u8]) -> Result<Self, CommandError> {
        rmp_serde::from_slice(bytes).map_err(|error| CommandError(error.to_string()))
    }
}

/// the command cannot be encoded or decoded: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct CommandError(pub(crate) String);

impl std::error::Error for CommandError {}

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
    /// The entry could not be decoded; nothing changed.
    Undecodable,
}

impl CommandAnswer {
    /// Encodes the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, CommandError> {
        rmp_serde::to_vec_named(self).map_err(|error| CommandError(error.to_string()))
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no answer.
    pub fn decode(bytes: &[u8]) -> Result<Self, CommandError> {
        rmp_serde::from_slice(bytes).map_err(|error| CommandError(error.to_string()))
    }
}
