//! Distribution of the configuration and of the list of members from the control replicas to
//! the nodes, and the way back of acknowledgements, announcements and evidence.
//!
//! The package stands above `trefoillock-rpc` and below the daemon. Nodes form a tree: few
//! nodes of each data centre attach to the leader, the others to a relay, which is a node too.
//! [`DistributionSource`] runs on every control replica, [`NodeAgent`] on every node. Both are
//! thin shells around [`SourceMachine`] and [`NodeMachine`], which do no I/O and read no clock.

mod ack_summary;
mod admission;
mod agent;
mod backoff;
mod child;
mod child_server;
mod clock;
mod config_holder;
mod distributor;
mod evidence_sum;
mod flap_damper;
mod fleet_status;
mod history;
mod member_table;
mod members_delta;
mod members_holder;
mod message;
mod node_machine;
mod payload;
mod rounds;
mod source;
mod source_machine;
pub mod timing;
mod tree_plan;
mod uplink;

pub use ack_summary::AckSummary;
pub use admission::Admission;
pub use agent::{LocalEvidence, NodeAgent, NodeInputs, NodeOutputs};
pub use backoff::Backoff;
pub use config_holder::{ConfigHolder, ConfigMark};
pub use distributor::{ChildKey, Distributor};
pub use evidence_sum::{EvidenceBatch, EvidenceOutbox};
pub use fleet_status::FleetStatus;
pub use history::History;
pub use member_table::MemberTable;
pub use members_delta::MembersDelta;
pub use members_holder::MembersHolder;
pub use message::{
    Beat, ChildState, DownMessage, Floor, Held, Hello, LostNode, NodeRecord, ParentAddress,
    ParentKind, RecordOrder, Repair, Report, Route, SubtreeChange, SubtreeDigest, UpMessage,
    Update,
};
pub use node_machine::{NodeEffect, NodeIdentity, NodeMachine};
pub use payload::{ConfigUpdate, MembersUpdate, Payload};
pub use source::{DistributionSource, SourceInputs, SourceOutputs};
pub use source_machine::{SourceEffect, SourceMachine, SourceRole, SourceState};
pub use tree_plan::{Placement, TreePlan};
pub use uplink::{LinkAction, LinkId, Uplink};
