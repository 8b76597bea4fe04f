//! Simulates moves in virtual time with random call outcomes.
//!
//! A [`Scenario`] selects a version, a fault, a call rate and a deadline. [`run`] simulates nodes
//! and calls, and lets the decision code of `trefoillock-moves` control the shares, or the naive
//! baseline that raises them linearly with time. The same seed gives the same run. [`Tally`] sums
//! the results of many runs.

mod fault_schedule;
mod members;
mod model;
mod outcome;
mod sampling;
mod scenario;
mod simulation;
mod tally;

pub use outcome::{RouteResult, RunResult};
pub use scenario::{Controller, Fault, Scenario, Version};
pub use simulation::run;
pub use tally::{Tally, quantile};
