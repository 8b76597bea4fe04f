//! The roles of a trefoillock process, joined from the packages of the peers.
//!
//! It opens the sockets and files that the settings name. [`Daemon::start`] runs the role of a
//! node, of a control replica, or both; the programs of the workspace are thin shells over it.

mod admin;
mod control_role;
mod cx;
mod daemon;
mod edges;
mod events;
mod founding;
mod guard_driver;
mod leader_driver;
mod leadership;
mod metrics;
mod move_log;
mod node_role;
mod operator_service;
mod readiness;
mod shared_store;

pub use daemon::{Daemon, Observer};
pub use edges::{Edges, OwnEdges};
pub use founding::{bootstrap, check_data_folder, join};
pub use readiness::Readiness;
