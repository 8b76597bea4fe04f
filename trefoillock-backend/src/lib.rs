//! Registration of a node's local backend servers, and the calls that are sent to them.
//!
//! A backend server is local to the node that it announces itself to. The package builds on
//! `trefoillock-core` and `trefoillock-policy`; `trefoillock-node` uses it to deliver calls.
//!
//! - [`BackendRegistry`] accepts announcements, drains and load reports over HTTP, and keeps the
//!   lease of each backend server. It acknowledges a departure once a [`DepartureLog`] holds it.
//! - [`LocalServers`] holds the backend servers with a lease. A [`LocalServer`] keeps the slots and
//!   connections of one of them and sends calls to it; a failed call returns a [`CallFailure`],
//!   which says whether the call is proven not to have run.
//! - [`Body`] is the streamed body of requests and responses.

mod announcements;
mod body;
mod bounded_connection;
mod call_bounds;
mod connection;
mod departure_log;
mod dialect;
mod failure;
mod health_probe;
mod lease;
mod load_report;
mod local_server;
mod local_servers;
mod registry;
mod response_body;
mod serve;
mod server_event;
mod server_statement;
mod slots;
mod start_permit;
mod stated_load;
mod statement_log;
mod warm_up_table;

pub use announcements::{AnnounceError, Announcements};
pub use body::{
    Body, BodyError, DeadlineBody, LATE_BODY_TIME, SizedBody, box_body, empty_body, full_body,
};
pub use departure_log::DepartureLog;
pub use dialect::{DefaultDialect, Dialect, ResponseKind, read_millis};
pub use failure::{CallFailure, Crash, Execution, NotExecuted};
pub use lease::LEASE_DURATION;
pub use load_report::LoadReport;
pub use local_server::{CallLimits, LocalServer};
pub use local_servers::LocalServers;
pub use registry::BackendRegistry;
pub use serve::serve;
pub use server_event::{ServerChange, ServerEvent};
pub use server_statement::{InvalidStatement, ServerStatement};
pub use start_permit::{StartDecision, StartPermit, StartRefusal};
pub use stated_load::{StatedLoad, StatedLoadError};
pub use statement_log::StatementCounts;
pub use warm_up_table::WarmUpTable;
