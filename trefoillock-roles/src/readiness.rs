//! Reports whether a process is ready, to protocols that serve their own readiness endpoint.

use std::sync::Arc;

use crate::admin::Health;

/// A handle that reports whether the process is ready to serve.
#[derive(Debug, Clone)]
pub struct Readiness(pub(crate) Arc<Health>);

impl Readiness {
    /// Returns the first reason why the process is not ready, as a line of text. `None` if it is
    /// ready.
    #[must_use]
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        self.0.not_ready_reason()
    }
}
