//! Moves under fake call outcomes in virtual time.
//!
//! A [`Scenario`] names a version, a fault, a rate of calls and a deadline. [`run`] drives the
//! decision code of `trefoillock-moves` through it, or the naive version that raises shares by
//! the clock, and returns what callers saw. [`Tally`] sums the results of many runs.

mod cluster;
mod members;
mod model;
mod outcome;
mod sampling;
mod scenario;
mod tally;
mod weather;

pub use cluster::run;
pub use outcome::{RouteResult, RunResult};
pub use scenario::{Controller, Fault, Scenario, Version};
pub use tally::{Tally, quantile};
