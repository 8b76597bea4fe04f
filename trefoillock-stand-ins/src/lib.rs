//! Test and measurement tools: stand-in backend servers and callers, simulations, the naive
//! baselines and a demonstration. This crate is not published.
//!
//! - [`announcer`]: announces a backend server to the node beside it.
//! - [`backend_server`]: a backend server on a loopback socket that injects faults at each step
//!   of a call and counts every run.
//! - [`caller`]: an HTTP client that checks that an answer is complete and belongs to its request.
//! - [`naive_proxy`]: a round-robin proxy, the baseline when calls are measured.
//! - [`test_mesh`]: nodes and backend servers in one process, with a shared plan of faults and a
//!   task that distributes the list of members.
//! - [`mesh_node`]: a node with its own runtime, and functions that publish a configuration and a
//!   list of members to nodes.
//! - [`demo`]: complete daemons in one process; injects faults and checks each promise.
//! - [`limit_simulation`]: simulates backend servers that state limits on their rate of calls.
//! - [`move_simulation`]: simulates moves in virtual time with random call outcomes.
//! - [`fleet`]: simulates control replicas and nodes on an in-memory network in virtual time.

pub mod announcer;
pub mod backend_server;
pub mod caller;
pub mod demo;
pub mod fleet;
pub mod limit_simulation;
pub mod mesh_node;
pub mod move_simulation;
pub mod naive_proxy;
pub mod test_mesh;
