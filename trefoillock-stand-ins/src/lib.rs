//! Stand-ins for backend servers and callers, the naive version, demonstrations and
//! measurements. Not published.
//!
//! - [`backend_server`]: a backend server on a loopback socket, with faults at every step of a
//!   call and a log of every run.
//! - [`caller`]: a caller that checks that an answer is whole and its own.
//! - [`call_mesh`]: nodes and backend servers in one process.
//! - [`demo`]: whole daemons in one process, with faults on the way and each promise checked.

pub mod backend_server;
pub mod call_mesh;
pub mod caller;
pub mod demo;
