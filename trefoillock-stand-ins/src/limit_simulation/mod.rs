//! Simulates backend servers that state limits on their rate of calls, or that they leave, in
//! virtual time: entry nodes with [`Balancer`]s, destination nodes with [`Admission`]s, and faults
//! drawn from a seed.
//!
//! [`Balancer`]: trefoillock_policy::Balancer
//! [`Admission`]: trefoillock_policy::Admission

mod checks;
mod entry;
mod outcome;
mod scenario;
mod server;
mod simulation;

pub use outcome::Outcome;
pub use scenario::{Fault, Scenario};
pub use simulation::run;
