//! Simulates control replicas and nodes on an in-memory network in virtual time.
//!
//! [`Fleet`] drives the state machines of `trefoillock-control` unchanged, injects network faults
//! between them and checks the invariants in [`Checks`] after each event. [`sample`] generates
//! configurations of a given size. [`NaivePush`] models the naive baseline, in which the source
//! pushes the whole configuration to every node.

mod checks;
mod event;
mod faults;
mod location;
mod naive;
mod network;
pub mod sample;
mod transport;

pub use checks::Checks;
pub use faults::NetworkFaults;
pub use location::Location;
pub use naive::{NaivePush, NaivePushCost};
pub use network::{Fleet, FleetSize, Process, ProcessLoad};
