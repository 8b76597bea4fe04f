//! The interface of the replicated state machine.

use trefoillock_core::{LogIndex, Term};

/// The error of a failed [`StateMachine::restore`].
pub type RestoreError = Box<dyn std::error::Error + Send + Sync>;

/// A deterministic state machine that the commands of the log drive.
///
/// Every replica applies the same commands in the same order, so the result of `apply` must
/// depend only on the state and the arguments. A caller that got no answer may propose a command
/// twice; the state machine detects this by an identity within the command.
pub trait StateMachine: Send {
    /// Applies a committed command. Returns the answer to its proposer.
    fn apply(&mut self, index: LogIndex, term: Term, command: &[u8]) -> Vec<u8>;

    /// Encodes the whole state, for [`Self::restore`] on any replica.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by an encoded one.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes cannot be decoded. The replica then stops.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}
