//! The token that a call of a workspace with a quota needs to run.

use std::sync::Arc;

use trefoillock_core::Timestamp;

use super::{boot_time, held_quota::HeldQuota};

/// The right to run one call of a workspace until a time. If it is dropped unused, it is returned
/// to the tokens of this node.
#[derive(Debug)]
pub struct QuotaToken {
    /// `None` once the token is used.
    held: Option<Arc<HeldQuota>>,
    expires: Timestamp,
}

impl QuotaToken {
    pub(super) const fn new(held: Arc<HeldQuota>, expires: Timestamp) -> Self {
        Self {
            held: Some(held),
            expires,
        }
    }

    /// Whether the call may still begin to run.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.expires > boot_time()
    }

    /// Uses the token for an attempt. It is used up, even if the attempt is cancelled, unless the
    /// attempt proves that no backend server was reached.
    #[must_use]
    pub fn send(mut self) -> SentToken {
        SentToken {
            held: self.held.take(),
            expires: self.expires,
        }
    }
}

impl Drop for QuotaToken {
    fn drop(&mut self) {
        if let Some(held) = &self.held {
            held.lock().give_back(boot_time(), self.expires);
        }
    }
}

/// A token that is used for an attempt.
#[derive(Debug)]
pub struct SentToken {
    held: Option<Arc<HeldQuota>>,
    expires: Timestamp,
}

impl SentToken {
    /// Until when the call may begin to run, on the clock of [`boot_time`].
    #[must_use]
    pub const fn expires(&self) -> Timestamp {
        self.expires
    }

    /// The token, after an attempt that reached no backend server.
    #[must_use]
    pub fn recover(self) -> QuotaToken {
        QuotaToken {
            held: self.held,
            expires: self.expires,
        }
    }
}
