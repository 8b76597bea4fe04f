//! Delivery of calls between nodes, and the duplicate guard of postings.
//!
//! A call enters at an entry node and is delivered by a destination node, the one that its backend
//! server is local to; both may be the same node. The package builds on `trefoillock-backend`;
//! `trefoillock-caller` accepts the calls of callers and sends them through it.
//!
//! - [`NodeContext`] holds the state that all calls of a node share.
//! - [`NodeView`] holds the configuration and the list of members that the node has received.
//! - [`EvidenceRecorder`] counts how calls ended.
//! - [`serve_peer()`] accepts calls from other nodes for the local backend servers.
//! - [`NodeContext::send`] sends a call to a backend server, directly or through its node.

mod ask_counts;
mod call_log;
mod context;
mod delivery;
mod destination;
mod detached_body;
mod flushed_body;
mod guard_client;
mod guards;
mod headers;
mod http_server;
mod in_flight;
mod key_index;
mod lingering_stream;
mod link_pacer;
mod listener_close;
mod load_asks;
mod paced_body;
mod peer_clients;
mod quotas;
mod random;
mod read_ahead;
mod recorder;
mod refusal;
mod route_index;
mod serve_peer;
mod server_report;
mod service_counts;
mod start_conditions;
mod stated_limits;
mod view;
mod watched_body;
mod workspace_counts;

pub use ask_counts::AskCounts;
pub use call_log::{CallFields, CallLine, CallLog};
pub use context::NodeContext;
pub use delivery::{Delivery, KnownLimit};
pub use detached_body::detach_body;
pub use guard_client::ask_guard_acks;
pub use guards::{ClaimedKey, Guards, KeyClaim};
pub use headers::{strip_hop_by_hop, strip_internal};
pub use http_server::{ServerLimits, serve_http};
pub use key_index::KeyIndex;
pub use quotas::{QuotaCounts, QuotaEvent, QuotaToken, Quotas, SentToken, boot_time};
pub use random::random_u32;
pub use recorder::{CallEnd, CallRecord, EvidenceRecorder, MoveAssignment};
pub use refusal::{failure_response, read_failure, read_retry_after, set_retry_after};
pub use route_index::RouteIndex;
pub use serve_peer::serve_peer;
pub use server_report::ServerReport;
pub use service_counts::{RouteCounts, ServiceCounts};
pub use view::{IndexedConfig, NodeView, RolloutPools};
pub use workspace_counts::{WorkspaceCounts, WorkspaceSeries, WorkspaceSeriesChooser};
