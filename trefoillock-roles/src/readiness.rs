//! Whether a process can do its work.

use std::sync::Arc;

use crate::admin::Health;

/// Tells whether a process can do its work.
#[derive(Debug, Clone)]
pub struct Readiness(pub(crate) Arc<Health>);

impl Readiness {
    /// The first reason why the process cannot do its work, if there is one.
    #[must_use]
    pub fn reason(&self) -> Option<&'static str> {
        self.0.reason()
    }
}
