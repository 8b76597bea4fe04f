//! Stand-ins for backend servers and callers, the naive version, demonstrations and
//! measurements. Not published.
//!
//! - [`backend_server`]: a backend server on a loopback socket, with faults at every step of a
//!   call and a log of every run.
//! - [`caller`]: a caller that checks that an answer is whole and its own.
//! - [`naive_proxy`]: the baseline of the measurements of calls.
//! - [`call_bench`]: a mesh for tests of calls, with shared faults and members that follow.
//! - [`call_mesh`]: nodes and backend servers in one process.
//! - [`fleet`]: control replicas and nodes on an in-memory network under virtual time.

pub mod backend_server;
pub mod call_bench;
pub mod call_mesh;
pub mod caller;
pub mod fleet;
pub mod naive_proxy;
