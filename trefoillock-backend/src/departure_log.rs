//! Where departures of backend servers are recorded.

use std::fmt::Debug;

use futures::future::BoxFuture;
use trefoillock_core::Departure;

/// Records departures of backend servers so that they outlive this process.
pub trait DepartureLog: Debug + Send + Sync {
    /// Returns whether a departure is recorded, once that is certain or has taken too long.
    fn record<'a>(&'a self, departure: &'a Departure) -> BoxFuture<'a, bool>;
}
