//! Changes of what backend servers say about themselves, and of their warm-up, for the log.

use std::{net::SocketAddr, time::Duration};

use trefoillock_core::CallRate;

use crate::InvalidStatement;

/// A change of what a backend server says about itself, or of its warm-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// It stated another limit on the rate of calls, or none any more.
    Limit {
        /// The limit from now on.
        limit: Option<CallRate>,
        /// The limit until now.
        previous: Option<CallRate>,
    },
    /// It turned cold, so that its calls are limited.
    Cold {
        /// The limit while it is cold.
        limit: CallRate,
        /// The time until it is warm, as far as it is known.
        left: Duration,
    },
    /// It is warm, so that the limit of the warm-up has ended.
    Warm,
    /// It said for the first time that it leaves.
    Leaving,
    /// It made a statement that cannot be read, which is ignored.
    Invalid(InvalidStatement),
}

/// A change of a backend server, as it is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEvent {
    /// The address of the backend server.
    pub address: SocketAddr,
    /// What has changed.
    pub change: ServerChange,
    /// The number of events that were omitted before this one because of the limit on their rate.
    pub omitted: u64,
}
