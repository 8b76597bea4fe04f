//! Calls from node to node: what an entry node and a destination node share.
//!
//! The package stands above `trefoillock-backend`; `trefoillock-caller` takes the calls of
//! callers and sends them through it.
//!
//! - [`NodeContext`] holds what all calls of one node share.
//! - [`NodeView`] is the configuration and the list of members that the node holds.
//! - [`EvidenceRecorder`] counts how calls ended.
//! - [`serve_peer()`] takes the calls of other nodes for the backend servers beside this one.
//! - [`NodeContext::send`] sends a call to the node beside a backend server.

mod call_log;
mod context;
mod delivery;
mod destination;
mod detached_body;
mod draw;
mod guard_client;
mod guards;
mod headers;
mod http_server;
mod in_flight;
mod lingering_stream;
mod load_header;
mod peer_clients;
mod recorder;
mod refusal;
mod route_index;
mod serve_peer;
mod service_counts;
mod view;
mod watched_body;

pub use call_log::{CallFields, CallLine, CallLog};
pub use context::NodeContext;
pub use delivery::Delivery;
pub use detached_body::detach;
pub use draw::draw;
pub use guard_client::ask_guard_acks;
pub use guards::{Guards, HeldKey, KeyClaim};
pub use headers::{strip_hop_by_hop, strip_internal};
pub use http_server::{ServerLimits, serve_http};
pub use recorder::{CallRecord, EvidenceRecorder, MoveCall, Seen};
pub use refusal::{read_pause, read_refusal, refusal_answer};
pub use route_index::RouteIndex;
pub use serve_peer::serve_peer;
pub use service_counts::{RouteCounts, ServiceCounts};
pub use view::{HeldConfig, NodeView, RolloutSides};
