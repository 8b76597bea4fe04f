//! Failures of calls to backend servers, and the proof that a call did not run.

use std::time::Duration;

use displaydoc::Display;
use trefoillock_core::{Outcome, RefusalReason};

/// Proof that a call did not run.
///
/// It may be created only where no byte of the call was written to a backend server, or where the
/// backend server or its node rejected the call before running it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotExecuted(());

impl NotExecuted {
    /// Proof because no byte of the call was written. Each use must be justified by the code around
    /// it.
    #[must_use]
    pub const fn nothing_written() -> Self {
        Self(())
    }

    /// Proof because the peer, a backend server or its node, rejected the call before running it.
    #[must_use]
    pub const fn refused_by_peer() -> Self {
        Self(())
    }
}

/// Whether a failed call may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The call did not run.
    DidNotRun(NotExecuted),
    /// The call may have run.
    Unknown,
}

/// Whether the process of the backend server is gone, as checked after a connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crash {
    /// The process accepts connections, or its state is unknown.
    No,
    /// The process refuses connections.
    Yes,
}

/// the call failed ({reason:?}, {execution:?})
#[derive(Debug, Display)]
pub struct CallFailure {
    reason: RefusalReason,
    execution: Execution,
    crash: Crash,
    retry_after: Option<Duration>,
}

impl std::error::Error for CallFailure {}

impl CallFailure {
    /// Creates the failure of a call that is proven not to have run.
    #[must_use]
    pub const fn did_not_run(reason: RefusalReason, proof: NotExecuted) -> Self {
        Self {
            reason,
            execution: Execution::DidNotRun(proof),
            crash: Crash::No,
            retry_after: None,
        }
    }

    /// Creates the failure of a call that may have run.
    #[must_use]
    pub const fn may_have_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            execution: Execution::Unknown,
            crash: Crash::No,
            retry_after: None,
        }
    }

    /// Sets whether the process of the backend server is gone.
    #[must_use]
    pub const fn with_crash(mut self, crash: Crash) -> Self {
        self.crash = crash;
        self
    }

    /// Sets the time after which a retry may find a free slot.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// The time after which a retry may find a free slot, if it is known.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Why the call failed.
    #[must_use]
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Whether the call may have run.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        self.execution
    }

    /// Whether a backend server received the call, or may have received it.
    #[must_use]
    pub const fn may_have_reached_server(&self) -> bool {
        matches!(self.execution, Execution::Unknown)
            || matches!(self.reason, RefusalReason::RefusedByServer)
    }

    /// Whether the process of the backend server is gone.
    #[must_use]
    pub const fn crash(&self) -> Crash {
        self.crash
    }

    /// The outcome that is reported to the caller.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self.execution {
            Execution::DidNotRun(_) => Outcome::DidNotRun,
            Execution::Unknown => Outcome::MayHaveRun,
        }
    }
}
