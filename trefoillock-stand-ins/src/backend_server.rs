//! A backend server on a loopback socket.

mod connection;
mod content;
mod fault;
mod request;
mod run_log;
mod server;

pub use content::{ANSWER_FOR, REQUEST_ID, content_byte, content_seed};
pub use fault::{Fault, FaultPlan, FaultStep, Gate};
pub use run_log::RunLog;
pub use server::{BackendServer, BackendServerConfig};
