//! Changes of what backend servers say about themselves, for the log.

use std::net::SocketAddr;

use trefoillock_core::CallRate;

use crate::InvalidStatement;

/// A change of what a backend server says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// It stated another limit on the rate of calls, or none any more.
    Limit {
        /// The limit from now on.
        limit: Option<CallRate>,
        /// The limit until now.
        previous: Option<CallRate>,
    },
    /// It said for the first time that it leaves.
    Leaving,
    /// It made a statement that cannot be read, which is ignored.
    Invalid(InvalidStatement),
}

/// A change of what a backend server says about itself, as it is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEvent {
    /// The address of the backend server.
    pub address: SocketAddr,
    /// What has changed.
    pub change: ServerChange,
    /// The number of events that were omitted before this one because of the limit on their rate.
    pub omitted: u64,
}
