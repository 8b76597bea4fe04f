//! Holds back the acknowledgement of a document until it is in force.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::{sync::watch, time::Instant};
use trefoillock_control::FleetStatus;
use trefoillock_core::ConfigVersion;

#[cfg(test)]
mod tests;

/// How the wait for a version ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InForce {
    /// Every known node serves the version or a newer one.
    Everywhere,
    /// Some nodes did not serve it within the limit.
    NotEverywhere,
}

/// Waits until all known nodes serve a version, for a limited time since its acceptance.
///
/// An operator that does not wait so long sends the document again. The time counts from the first
/// acceptance at this replica, so a resend does not begin another wait.
#[derive(Debug)]
pub(crate) struct InForceGate {
    fleet: watch::Receiver<FleetStatus>,
    limit: Duration,
    /// The newest accepted version and when it was accepted.
    newest: Mutex<Option<(ConfigVersion, Instant)>>,
}

impl InForceGate {
    pub(crate) const fn new(fleet: watch::Receiver<FleetStatus>, limit: Duration) -> Self {
        Self {
            fleet,
            limit,
            newest: Mutex::new(None),
        }
    }

    /// Waits until a version that was accepted at `now` is in force, or the limit has passed.
    pub(crate) async fn wait(&self, now: Instant, version: ConfigVersion) -> InForce {
        let until = self.accepted_at(now, version) + self.limit;
        let mut fleet = self.fleet.clone();
        let in_force = fleet.wait_for(|status| status.is_in_force(version));
        match tokio::time::timeout_at(until, in_force).await {
            Ok(Ok(_)) => InForce::Everywhere,
            Ok(Err(_)) | Err(_) => InForce::NotEverywhere,
        }
    }

    /// Returns when this replica first accepted a version, or a newer one.
    fn accepted_at(&self, now: Instant, version: ConfigVersion) -> Instant {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        match *newest {
            Some((known, at)) if known >= version => at,
            Some(_) | None => {
                *newest = Some((version, now));
                now
            }
        }
    }
}
