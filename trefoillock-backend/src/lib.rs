//! The backend servers beside a node: what they announce, and the calls that they are sent.
//!
//! The package stands above `trefoillock-core` and `trefoillock-policy`; `trefoillock-node` sends
//! the calls of other nodes through it.
//!
//! - [`BackendInterface`] takes announcements, drains and load reports over HTTP, and holds the
//!   leases of the backend servers.
//! - [`LocalServers`] holds the slots and connections of the backend servers that announced
//!   themselves. A [`LocalServer`] sends a call and says in its [`CallFailure`] whether a proof
//!   exists that the call did not run.
//! - [`Body`] is the streamed body of requests and answers.

mod announcements;
mod answer_body;
mod body;
mod connection;
mod dialect;
mod failure;
mod interface;
mod lease;
mod load_report;
mod local_server;
mod local_servers;
mod serve;
mod slots;

pub use announcements::{AnnounceError, Announcements};
pub use body::{Body, BodyError, DeadlineBody, SizedBody, box_body, empty_body, text_body};
pub use dialect::{AnswerKind, Dialect, OwnDialect};
pub use failure::{CallFailure, Crash, Execution, NotSent};
pub use interface::BackendInterface;
pub use lease::LEASE;
pub use load_report::LoadReport;
pub use local_server::{CallLimits, LocalServer};
pub use local_servers::LocalServers;
pub use serve::serve;
