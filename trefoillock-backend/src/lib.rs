//! Registration of a node's local backend servers, and the calls that are sent to them.
//!
//! A backend server is local to the node that it announces itself to. The package builds on
//! `trefoillock-core` and `trefoillock-policy`; `trefoillock-node` uses it to deliver calls.
//!
//! - [`BackendInterface`] accepts announcements, drains and load reports over HTTP, and keeps the
//!   lease of each backend server.
//! - [`LocalServers`] holds the backend servers with a lease. A [`LocalServer`] keeps the slots and
//!   connections of one of them and sends calls to it; a failed call returns a [`CallFailure`],
//!   which says whether the call is proven not to have run.
//! - [`Body`] is the streamed body of requests and responses.

mod announcements;
mod body;
mod connection;
mod dialect;
mod failure;
mod interface;
mod lease;
mod load_report;
mod local_server;
mod local_servers;
mod response_body;
mod serve;
mod slots;

pub use announcements::{AnnounceError, Announcements};
pub use body::{Body, BodyError, DeadlineBody, SizedBody, box_body, empty_body, text_body};
pub use dialect::{AnswerKind, Dialect, OwnDialect};
pub use failure::{CallFailure, Crash, Execution, NotExecuted};
pub use interface::BackendInterface;
pub use lease::LEASE;
pub use load_report::LoadReport;
pub use local_server::{CallLimits, LocalServer};
pub use local_servers::LocalServers;
pub use serve::serve;
