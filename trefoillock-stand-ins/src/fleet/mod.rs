//! Control replicas and nodes in one process, on an in-memory network under virtual time.
//!
//! [`Fleet`] runs the machines of `trefoillock-control` as they are, with faults between them,
//! and checks after each event what must always hold. [`sample`] makes configurations of a
//! given size. [`NaivePush`] is the naive version: every node gets everything from the source.

mod checks;
mod event;
mod faults;
mod naive;
mod network;
mod place;
pub mod sample;
mod transport;

pub use checks::Checks;
pub use faults::Faults;
pub use naive::{NaivePush, NaiveRun};
pub use network::{Fleet, FleetSize, Process, ProcessLoad};
pub use place::Place;
