//! The state that the log replicates.

use trefoillock_core::{LogIndex, Term};

/// The cause of a failed restore.
pub type RestoreError = Box<dyn std::error::Error + Send + Sync>;

/// The state that the commands of the log make.
///
/// Every replica applies the same commands in the same order, so `apply` must depend on
/// nothing but the state and its arguments. A command may be proposed twice by a caller that
/// got no answer; the state machine recognizes it by an identity within the command.
pub trait StateMachine: Send {
    /// Applies a committed command. Returns the answer to its proposer.
    fn apply(&mut self, index: LogIndex, term: Term, command: &[u8]) -> Vec<u8>;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by an encoded one.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no state; the replica then stops.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}
