//! The lease of an announcement.

use std::time::Duration;

/// The time for which an announcement holds unless it is renewed.
pub const LEASE: Duration = Duration::from_secs(2);

/// The time between two checks for leases that have run out.
pub(crate) const LEASE_CHECK: Duration = Duration::from_millis(100);
