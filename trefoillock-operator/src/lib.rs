//! The operator API: its messages, the server on a control replica and the client.
//!
//! The API is JSON over HTTP/1.1 under `/v1`. The server is independent of the control replica: it
//! calls the trait [`OperatorService`], which the daemon implements. `trefoilctl` and the
//! demonstrations use [`OperatorClient`].

mod client;
mod messages;
mod server;
mod service;

pub use client::{ClientError, OperatorClient};
pub use messages::{
    ApiError, ApiErrorKind, BurnReport, CancelReport, CheckReport, EditReport, EditRequest,
    EvacuationRow, EvacuationsReport, MemberRow, MembersReport, MovesReport, ReplicaChange,
    ReplicaRow, RolloutRow, RolloutsReport, StatusReport, TablesReport, VersionCount, WorkspaceRow,
    WorkspacesReport,
};
pub use server::{MAX_BODY_BYTES, serve};
pub use service::OperatorService;
