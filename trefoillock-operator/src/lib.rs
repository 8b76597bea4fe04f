//! The operators' interface: the messages, the server on a control replica and the client.
//!
//! The interface is JSON over HTTP/1.1 under `/v1`. The server side of this package knows
//! nothing of the control replica but the trait [`OperatorService`]; the daemon implements it.
//! `trefoilctl` and the demonstrations use [`OperatorClient`].

mod client;
mod messages;
mod server;
mod service;

pub use client::{ClientError, OperatorClient};
pub use messages::{
    ApiError, ApiErrorKind, BurnReport, CancelReport, CheckReport, EditReport, EditRequest,
    MemberRow, MembersReport, MovesReport, ReplicaChange, ReplicaRow, StatusReport, TablesReport,
    VersionCount,
};
pub use server::{MAX_BODY_BYTES, serve};
pub use service::OperatorService;
