//! Assembles a trefoillock process from the other packages of the workspace.
//!
//! [`Daemon::start`] opens the sockets and files that the settings name and runs the process as a
//! node, as a control replica, or as both. The binaries only parse arguments, read settings and
//! call it. [`ExternalProtocol`] is the extension point: it decides which protocol the process
//! uses with callers, backend servers and operators, while the roles behind it stay the same.

mod admin;
mod control_role;
mod daemon;
mod data_folder;
mod event_log;
mod external_protocol;
mod guard_driver;
mod in_force_gate;
mod leader_driver;
mod leadership;
mod logged_departures;
mod metrics;
mod move_event_log;
mod node_role;
mod operator_service;
mod parent_event_log;
mod process_context;
mod quota_metrics;
mod readiness;
mod shared_store;

pub use daemon::{Daemon, DaemonObserver};
pub use data_folder::{check_data_folder, init_joining_folder, init_voter_folder};
pub use external_protocol::{DefaultProtocol, ExternalProtocol};
pub use readiness::Readiness;
