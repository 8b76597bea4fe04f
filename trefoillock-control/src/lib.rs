//! Distribution of the configuration and of the member list from the control replicas to the nodes,
//! and transport of acknowledgements, announcements and evidence from the nodes to the leader.
//!
//! The package depends on `trefoillock-rpc` and is used by the daemon. The nodes form a tree: a few
//! nodes of each data centre attach to the leader, and every other node attaches to a relay, which
//! is itself a node. [`ControlAgent`] runs on every control replica, [`NodeAgent`] on every node.
//! Both only add I/O and a clock to the state machines [`ControlMachine`] and [`NodeMachine`], which
//! use neither.

mod ack_summary;
mod agent;
mod attach_limiter;
mod backoff;
mod child;
mod child_server;
mod clock;
mod config_holder;
mod confirmation_rounds;
mod control_agent;
mod control_machine;
mod delta_history;
mod departures;
mod distributor;
mod evidence_outbox;
mod flap_damper;
mod fleet_status;
mod members_delta;
mod members_holder;
mod message;
mod node_machine;
mod node_table;
mod parent_event;
mod payload;
mod round_times;
pub mod timing;
mod tree_planner;
mod uplink;

pub use ack_summary::AckSummary;
pub use agent::{LocalEvidence, NodeAgent, NodeInputs, NodeOutputs};
pub use attach_limiter::AttachLimiter;
pub use backoff::Backoff;
pub use config_holder::{ConfigHolder, ConfigId};
pub use control_agent::{ControlAgent, ControlInputs, ControlOutputs};
pub use control_machine::{ControlEffect, ControlMachine, ControlState, LeadershipRole};
pub use delta_history::DeltaHistory;
pub use departures::{DepartureRecorder, NotRecorded, RecordAnswer, add_record_call};
pub use distributor::{ChildKey, Distributor};
pub use evidence_outbox::{EvidenceBatch, EvidenceOutbox};
pub use fleet_status::FleetStatus;
pub use members_delta::MembersDelta;
pub use members_holder::MembersHolder;
pub use message::{
    ChildState, DownMessage, HeldVersions, Hello, LostNode, MinVersions, NodeRecord, ParentAddress,
    ParentKind, RecordOrder, Repair, Report, ReportReply, Route, SubtreeChange, SubtreeDigest,
    UpMessage, Update,
};
pub use node_machine::{NodeEffect, NodeIdentity, NodeMachine};
pub use node_table::NodeTable;
pub use parent_event::{LinkEnd, ParentEvent};
pub use payload::{ConfigUpdate, MembersUpdate, Payload};
pub use round_times::Confirmation;
pub use tree_planner::{Placement, TreePlanner};
pub use uplink::{LinkAction, LinkId, Uplink};
