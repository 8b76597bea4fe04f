//! The daemon of trefoillock as a library, so that demonstrations can run several in one
//! process.
//!
//! It stands at the edge of the workspace: it opens the sockets and files that the settings
//! name and joins the packages of the peers. [`Daemon::start`] runs the role of a node, of a
//! control replica, or both.

mod admin;
mod control_role;
mod daemon;
mod events;
mod guard_driver;
mod leader_driver;
mod leadership;
mod metrics;
mod move_log;
mod node_role;
mod operator_service;
mod shared_store;

pub use daemon::{Daemon, Observer, bootstrap, check_data_folder, join};
