//! The permit that a call needs when it is sent to a backend server.

use std::{fmt::Debug, future::Future, pin::Pin, time::Duration};

use trefoillock_core::RefusalReason;

/// Why a call may not be sent, and the time after which a retry may succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartRefusal {
    /// The reason that is reported to the caller.
    pub reason: RefusalReason,
    /// The time after which a retry may succeed, if it is known.
    pub retry_after: Option<Duration>,
}

/// The future of [`StartPermit::renew`].
pub type StartDecision<'a> = Pin<Box<dyn Future<Output = Result<(), StartRefusal>> + Send + 'a>>;

/// Permits a call to run. It is asked after the wait for a slot and a connection, immediately before
/// the call is sent, because a permit may have expired meanwhile.
pub trait StartPermit: Debug + Send + Sync {
    /// Checks that the call may be sent now, and renews an expired permit.
    ///
    /// # Errors
    ///
    /// Returns why the call must not be sent.
    fn renew(&self) -> StartDecision<'_>;
}
