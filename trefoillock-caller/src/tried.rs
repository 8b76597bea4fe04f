//! The backend servers that a call was sent to, for its log lines.

use std::sync::{Mutex, MutexGuard, PoisonError};

use trefoillock_core::ServerId;

/// The number of backend servers that were chosen for a call, and the last one.
#[derive(Debug, Default, Clone)]
pub(crate) struct Tried {
    count: u32,
    last: Option<ServerId>,
}

impl Tried {
    pub(crate) const fn count(&self) -> u32 {
        self.count
    }

    /// The last backend server.
    pub(crate) const fn server(&self) -> Option<&ServerId> {
        self.last.as_ref()
    }

    /// The last backend server, or `-`.
    pub(crate) fn last(&self) -> String {
        let last = self.last.as_ref();
        last.map_or_else(|| "-".to_owned(), ToString::to_string)
    }
}

/// [`Tried`], shared by the parts of a call.
#[derive(Debug, Default)]
pub(crate) struct SharedTried(Mutex<Tried>);

impl SharedTried {
    /// Notes that a backend server was chosen.
    pub(crate) fn choose(&self, server: &ServerId) {
        let mut tried = self.lock();
        tried.count += 1;
        tried.last = Some(server.clone());
    }

    pub(crate) fn get(&self) -> Tried {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Tried> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
