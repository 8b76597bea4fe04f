//! The load that backend servers report about themselves.

use trefoillock_core::data;

/// The load that a backend server reports. It is only a hint: it may be outdated or wrong.
#[data(key)]
#[derive(Default)]
pub struct LoadReport {
    /// The number of calls that the backend server runs.
    pub running: u32,
    /// The number of calls that wait inside the backend server.
    pub waiting: u32,
}
