//! How a call to a backend server fails.

use std::time::Duration;

use displaydoc::Display;
use trefoillock_core::{Outcome, RefusalReason};

/// The proof that a call did not run.
///
/// A value is made only where no byte of the call was written to a backend server, or where the
/// backend server itself refused the call before running it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotSent(());

impl NotSent {
    /// States that nothing of the call was written. Each use is a proof obligation.
    #[must_use]
    pub const fn nothing_written() -> Self {
        Self(())
    }

    /// States that the peer, a backend server or the node beside it, refused the call before
    /// running it.
    #[must_use]
    pub const fn refused_by_peer() -> Self {
        Self(())
    }
}

/// What is known about the execution of a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The call did not run.
    DidNotRun(NotSent),
    /// The call may have run.
    Unknown,
}

/// What is known about the process of the backend server after a connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crash {
    /// The process accepts connections, or nothing is known.
    No,
    /// The process no longer accepts connections.
    Yes,
}

/// the call failed ({reason:?}, {execution:?})
#[derive(Debug, Display)]
pub struct CallFailure {
    reason: RefusalReason,
    execution: Execution,
    crash: Crash,
    pause: Option<Duration>,
}

impl std::error::Error for CallFailure {}

impl CallFailure {
    /// A refusal with the proof that the call did not run.
    #[must_use]
    pub const fn did_not_run(reason: RefusalReason, proof: NotSent) -> Self {
        Self {
            reason,
            execution: Execution::DidNotRun(proof),
            crash: Crash::No,
            pause: None,
        }
    }

    /// A failure after which the call may have run.
    #[must_use]
    pub const fn may_have_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            execution: Execution::Unknown,
            crash: Crash::No,
            pause: None,
        }
    }

    /// Adds what is known about the process of the backend server.
    #[must_use]
    pub const fn with_crash(mut self, crash: Crash) -> Self {
        self.crash = crash;
        self
    }

    /// Adds the time after which a new call may find room.
    #[must_use]
    pub const fn with_pause(mut self, pause: Option<Duration>) -> Self {
        self.pause = pause;
        self
    }

    /// The time after which a new call may find room, if it is known.
    #[must_use]
    pub const fn pause(&self) -> Option<Duration> {
        self.pause
    }

    /// The reason.
    #[must_use]
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// What is known about the execution.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        self.execution
    }

    /// What is known about the process of the backend server.
    #[must_use]
    pub const fn crash(&self) -> Crash {
        self.crash
    }

    /// The outcome to tell the caller.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self.execution {
            Execution::DidNotRun(_) => Outcome::DidNotRun,
            Execution::Unknown => Outcome::MayHaveRun,
        }
    }
}
