//! Durations of the leases of announcements.

use std::time::Duration;

/// The time after which an announcement expires unless it is renewed.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);

/// The time between two checks for expired leases.
pub(crate) const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
