//! Messages between a node and its parent, which is the leader or another node.

use std::net::SocketAddr;

use trefoillock_core::{
    Announcement, ConfigVersion, DataCentre, Incarnation, MembersVersion, NodeId, data,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{AckSummary, ConfigMark, EvidenceBatch, Payload};

/// What the leader knows of a node.
#[data]
pub struct NodeRecord {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The number of the attachment within the run; a later attachment replaces an older one.
    pub attachment: u64,
    /// The number of this record within the run.
    pub revision: u64,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The address on which it takes calls from other nodes.
    pub peer_address: SocketAddr,
    /// The address on which it takes children.
    pub mesh_address: SocketAddr,
    /// The relay that it is attached to; `None` if that is the leader.
    pub parent: Option<NodeId>,
    /// The backend servers beside it.
    pub announcements: Vec<Announcement>,
}

impl NodeRecord {
    /// The order of records of one node.
    #[must_use]
    pub const fn order(&self) -> RecordOrder {
        RecordOrder {
            incarnation: self.incarnation,
            attachment: self.attachment,
            revision: self.revision,
        }
    }
}

/// The order of records of one node.
#[data(key)]
pub struct RecordOrder {
    /// The run of the node.
    pub incarnation: Incarnation,
    /// The attachment within the run.
    pub attachment: u64,
    /// The record within the run.
    pub revision: u64,
}

/// A node that was lost at an attachment.
#[data]
pub struct LostNode {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The attachment that ended.
    pub attachment: u64,
    /// Whether it was a relay above the node that was lost, and not the node itself.
    pub is_orphan: bool,
}

impl LostNode {
    /// The loss of a node at the attachment of a record.
    #[must_use]
    pub fn new(record: &NodeRecord, is_orphan: bool) -> Self {
        Self {
            node: record.node.clone(),
            incarnation: record.incarnation,
            attachment: record.attachment,
            is_orphan,
        }
    }

    /// Whether the node is still at the attachment that ended.
    #[must_use]
    pub fn is_of(&self, record: &NodeRecord) -> bool {
        self.incarnation == record.incarnation && self.attachment == record.attachment
    }
}

/// A number that tells whether two processes know the same of a part of the tree.
#[data(key)]
#[derive(Default)]
pub struct SubtreeDigest(u64);

impl SubtreeDigest {
    /// The digest of records, in any order.
    #[must_use]
    pub fn of<'a>(records: impl Iterator<Item = &'a NodeRecord>) -> Self {
        let mut digest = 0;
        for record in records {
            let RecordOrder {
                incarnation,
                attachment,
                revision,
            } = record.order();
            let numbers = [incarnation.get(), attachment, revision].map(u64::to_le_bytes);
            let seed = xxh3_64(record.node.as_str().as_bytes());
            digest ^= xxh3_64_with_seed(numbers.as_flattened(), seed);
        }
        Self(digest)
    }
}

/// A change of the part of the tree below a relay.
#[data]
pub enum SubtreeChange {
    /// A node attached or its record changed.
    Joined(NodeRecord),
    /// A node was lost, and with it the path to the nodes below it.
    Left(LostNode),
}

/// The versions that a node holds.
#[data(key)]
#[derive(Default)]
pub struct Held {
    /// The configuration.
    pub config: ConfigMark,
    /// The list of members.
    pub members: MembersVersion,
}

/// What a child needs after an update that did not fit.
#[data(key)]
#[derive(Default)]
pub enum Repair {
    /// Nothing.
    #[default]
    None,
    /// The updates that start at what it holds.
    Resend,
    /// The configuration as a whole.
    Snapshot,
}

/// The state of a child as a whole.
#[data]
pub struct Hello {
    /// The child itself.
    pub record: NodeRecord,
    /// Whether the child only asks for a better parent, and stays where it is if there is none.
    pub is_probe: bool,
    /// The relay that failed the child before.
    pub avoid: Option<SocketAddr>,
    /// The nodes below the child.
    pub subtree: Vec<NodeRecord>,
    /// The first report.
    pub report: Report,
}

/// What a child holds and what the nodes below it serve.
#[data]
#[derive(Default)]
pub struct ChildState {
    /// What the child holds.
    pub held: Held,
    /// The number of backend servers in the list of members that the child holds.
    pub servers_known: u32,
    /// The versions that the child and the nodes below it serve.
    pub acks: AckSummary,
    /// What the child knows of the nodes below it.
    pub below: SubtreeDigest,
}

/// What a child reports at every interval. The names on the wire are short, since this is
/// nearly all that is sent while nothing changes.
#[data]
pub struct Report {
    /// The number of the message within the attachment.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// The number of the question for the leader's versions.
    #[serde(rename = "r")]
    pub round: u64,
    /// Whether the child or a node below it serves nothing until that question is answered.
    #[serde(rename = "u", default, skip_serializing_if = "is_default")]
    pub is_urgent: bool,
    /// What the child needs after an update that did not fit.
    #[serde(rename = "n", default, skip_serializing_if = "is_default")]
    pub repair: Repair,
    /// The child's state after the changes, if it differs from the one reported before.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub state: Option<ChildState>,
    /// Changes below the child since the report before.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<SubtreeChange>,
    /// Evidence of the child and the nodes below it.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub evidence: Option<EvidenceBatch>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A message from a child to its parent.
#[data]
pub enum UpMessage {
    /// The child's state as a whole; the first message of an attachment.
    Hello(Box<Hello>),
    /// What changed.
    Report(Box<Report>),
}

/// The leader's versions at a time after a question was asked.
#[data(key)]
#[derive(Default)]
pub struct Floor {
    /// The configuration.
    #[serde(rename = "c")]
    pub config: ConfigVersion,
    /// The list of members.
    #[serde(rename = "m")]
    pub members: MembersVersion,
}

/// The way from a child to the leader.
#[data]
#[derive(Default)]
pub struct Route {
    /// The relays above the child, from the top down.
    pub path: Vec<NodeId>,
    /// Other relays that can serve as parent when this one is lost and the leader is out.
    pub alternates: Vec<SocketAddr>,
    /// The mesh addresses of the control replicas, as the leader knows them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub control: Vec<SocketAddr>,
}

/// A parent's answer to a report.
#[data]
pub struct Beat {
    /// The highest question of the child that a live leader answered.
    #[serde(rename = "r")]
    pub confirmed_round: u64,
    /// The answer.
    #[serde(rename = "f")]
    pub floor: Floor,
    /// The last batch of evidence that was taken.
    #[serde(rename = "e", default, skip_serializing_if = "is_default")]
    pub evidence_taken: u64,
    /// Whether a report of the child was lost, so that it must send its state as a whole.
    #[serde(rename = "w", default, skip_serializing_if = "is_default")]
    pub wants_hello: bool,
    /// The way to the leader, if it changed or was not sent for a while.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub route: Option<Route>,
}

/// New versions.
#[data]
pub struct Update {
    /// Updates of the configuration, in order.
    pub config: Vec<Payload>,
    /// Updates of the list of members, in order.
    pub members: Vec<Payload>,
}

/// What kind of parent stands at an address.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum ParentKind {
    /// A control replica.
    Control,
    /// A node.
    Relay,
}

/// The address of a parent.
#[data(key)]
pub struct ParentAddress {
    /// The address.
    pub address: SocketAddr,
    /// What stands there.
    pub kind: ParentKind,
}

impl ParentAddress {
    /// The address of a control replica.
    #[must_use]
    pub const fn control(address: SocketAddr) -> Self {
        Self {
            address,
            kind: ParentKind::Control,
        }
    }

    /// The address of a relay.
    #[must_use]
    pub const fn relay(address: SocketAddr) -> Self {
        Self {
            address,
            kind: ParentKind::Relay,
        }
    }

    /// Whether a relay stands at the address.
    #[must_use]
    pub const fn is_relay(self) -> bool {
        matches!(self.kind, ParentKind::Relay)
    }
}

/// A message from a parent to a child.
#[data]
pub enum DownMessage {
    /// The child is accepted.
    Welcome,
    /// The child shall attach to another parent.
    Redirect(ParentAddress),
    /// The child shall ask again after some time.
    Retry {
        /// The time, in milliseconds.
        after_ms: u64,
    },
    /// The parent lives and answers a report.
    Beat(Box<Beat>),
    /// New versions.
    Update(Update),
}
