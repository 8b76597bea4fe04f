//! Load reports of backend servers.

use trefoillock_core::data;

/// What a backend server says about its load; a hint only, it may lag or mislead.
#[data(key)]
#[derive(Default)]
pub struct LoadReport {
    /// The number of calls that it runs.
    pub running: u32,
    /// The number of calls that wait in it.
    pub waiting: u32,
}
