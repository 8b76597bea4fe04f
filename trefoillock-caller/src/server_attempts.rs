//! The attempts of a call to reach a backend server, for its log lines.

use std::sync::{Mutex, MutexGuard, PoisonError};

use trefoillock_core::{CallRate, ServerId};

/// A backend server that a call was not sent to because of its limit on the rate of calls.
#[derive(Debug, Clone)]
pub(crate) struct LimitedServer {
    pub(crate) server: ServerId,
    pub(crate) limit: CallRate,
}

/// The number of attempts of a call, the backend server of the last one, and the one whose limit ended
/// the call.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServerAttempts {
    count: u32,
    last: Option<ServerId>,
    limited: Option<LimitedServer>,
}

impl ServerAttempts {
    /// The backend server whose limit on the rate of calls ended the call before an attempt.
    pub(crate) const fn limited(&self) -> Option<&LimitedServer> {
        self.limited.as_ref()
    }

    pub(crate) const fn count(&self) -> u32 {
        self.count
    }

    /// The backend server of the last attempt.
    pub(crate) const fn last_server(&self) -> Option<&ServerId> {
        self.last.as_ref()
    }

    /// The backend server of the last attempt; `-` if there was no attempt.
    pub(crate) fn last_or_dash(&self) -> String {
        let last = self.last.as_ref();
        last.map_or_else(|| "-".to_owned(), ToString::to_string)
    }
}

/// [`ServerAttempts`] that the attempts of a call update and its log lines read.
#[derive(Debug, Default)]
pub(crate) struct SharedServerAttempts(Mutex<ServerAttempts>);

impl SharedServerAttempts {
    /// Counts an attempt at a backend server.
    pub(crate) fn record(&self, server: &ServerId) {
        let mut attempts = self.lock();
        attempts.count += 1;
        attempts.last = Some(server.clone());
    }

    /// Records that the call is not sent because of the limit of a backend server.
    pub(crate) fn record_limited(&self, limited: LimitedServer) {
        self.lock().limited = Some(limited);
    }

    pub(crate) fn snapshot(&self) -> ServerAttempts {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, ServerAttempts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
