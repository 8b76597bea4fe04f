//! Stand-ins for backend servers and callers, the naive version, demonstrations and
//! measurements. Not published.
//!
//! - [`announcer`]: a backend server's side of the interface of the node beside it.
//! - [`backend_server`]: a backend server on a loopback socket, with faults at every step of a
//!   call and a log of every run.
//! - [`caller`]: a caller that checks that an answer is whole and its own.
//! - [`naive_proxy`]: the baseline of the measurements of calls.
//! - [`call_bench`]: a mesh for tests of calls, with shared faults and members that follow.
//! - [`call_mesh`]: nodes and backend servers in one process.
//! - [`demo`]: whole daemons in one process, with faults on the way and each promise checked.
//! - [`moves_lab`]: moves under fake call outcomes in virtual time.
//! - [`fleet`]: control replicas and nodes on an in-memory network under virtual time.

pub mod announcer;
pub mod backend_server;
pub mod call_bench;
pub mod call_mesh;
pub mod caller;
pub mod demo;
pub mod fleet;
pub mod moves_lab;
pub mod naive_proxy;
