//! A stand-in backend server on a loopback socket.
//!
//! It answers any HTTP/1.1 request with content derived from the target, injects the faults of a
//! [`FaultPlan`] at the steps of a call, and counts each run of a request in a [`RunCounter`].

mod connection;
mod content;
mod fault;
mod request;
mod run_counter;
mod server;

pub use content::{ANSWER_FOR, REQUEST_ID, content_byte, content_seed};
pub use fault::{Fault, FaultPlan, FaultStep, Gate};
pub use run_counter::RunCounter;
pub use server::{BackendServer, BackendServerConfig};
