//! Messages between a node and its parent, which is the leader or a relay.
//!
//! A child opens an attachment with [`Hello`], its full state, and then sends a [`Report`] at every
//! interval. The parent answers each report with a [`ReportReply`] and sends an [`Update`] when
//! the child lacks a version.

use std::net::SocketAddr;

use trefoillock_core::{
    Announcement, ConfigVersion, DataCentre, Incarnation, MembersVersion, NodeId, data,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{AckSummary, ConfigId, EvidenceBatch, Payload};

/// The state of a node that is propagated to the leader.
#[data]
pub struct NodeRecord {
    /// The identifier of the node.
    pub node: NodeId,
    /// The incarnation of the node; it rises with each start of its process.
    pub incarnation: Incarnation,
    /// The number of the attachment within the incarnation; a later attachment replaces an older
    /// one.
    pub attachment: u64,
    /// The number of this record within the incarnation.
    pub revision: u64,
    /// The data centre of the node.
    pub data_centre: DataCentre,
    /// The address on which the node accepts calls from other nodes.
    pub peer_address: SocketAddr,
    /// The address on which the node accepts children.
    pub mesh_address: SocketAddr,
    /// The relay that the node is attached to; `None` if it is attached to the leader.
    pub parent: Option<NodeId>,
    /// The announcements of the backend servers on the node's VM.
    pub announcements: Vec<Announcement>,
}

impl NodeRecord {
    /// Returns the key that orders the records of one node.
    #[must_use]
    pub const fn order(&self) -> RecordOrder {
        RecordOrder {
            incarnation: self.incarnation,
            attachment: self.attachment,
            revision: self.revision,
        }
    }
}

/// The key that orders the records of one node; the greatest is the newest.
#[data(key)]
pub struct RecordOrder {
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The number of the attachment within the incarnation.
    pub attachment: u64,
    /// The number of the record within the incarnation.
    pub revision: u64,
}

/// The loss of a node, valid for one attachment of it.
#[data]
pub struct LostNode {
    /// The identifier of the lost node.
    pub node: NodeId,
    /// The incarnation of the lost node.
    pub incarnation: Incarnation,
    /// The number of the attachment that ended.
    pub attachment: u64,
    /// Whether the node lost its path to the leader because a relay above it was lost.
    pub is_orphan: bool,
}

impl LostNode {
    /// Creates the loss of a node at the attachment in its record.
    #[must_use]
    pub fn new(record: &NodeRecord, is_orphan: bool) -> Self {
        Self {
            node: record.node.clone(),
            incarnation: record.incarnation,
            attachment: record.attachment,
            is_orphan,
        }
    }

    /// Returns whether a record belongs to the attachment that ended.
    #[must_use]
    pub fn matches(&self, record: &NodeRecord) -> bool {
        self.incarnation == record.incarnation && self.attachment == record.attachment
    }
}

/// A hash of the records of a subtree, by which a parent and a child detect that their views of
/// the subtree differ.
#[data(key)]
#[derive(Default)]
pub struct SubtreeDigest(u64);

impl SubtreeDigest {
    /// Computes the digest of a set of records; their order does not matter.
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

/// A change of the subtree below a relay.
#[data]
pub enum SubtreeChange {
    /// A node attached or its record changed.
    Joined(NodeRecord),
    /// A node was lost, and with it the path of the nodes below it to the leader.
    Left(LostNode),
}

/// The versions that a node holds.
#[data(key)]
#[derive(Default)]
pub struct HeldVersions {
    /// The identity of the held configuration.
    pub config: ConfigId,
    /// The version of the held member list.
    pub members: MembersVersion,
}

/// The repair that a child asks for after an update that it could not apply.
#[data(key)]
#[derive(Default)]
pub enum Repair {
    /// No repair is needed.
    #[default]
    None,
    /// Send updates that start at the versions that the child holds.
    Resend,
    /// Send a snapshot of the configuration.
    Snapshot,
}

/// The full state of a child.
#[data]
pub struct Hello {
    /// The record of the child itself.
    pub record: NodeRecord,
    /// Whether the child only asks for a better parent, and keeps its present one if there is none.
    pub is_probe: bool,
    /// The relay on which the child's last attachment failed; the child is not sent there again.
    pub avoid: Option<SocketAddr>,
    /// The records of all nodes below the child.
    pub subtree: Vec<NodeRecord>,
    /// A report with the complete [`ChildState`].
    pub report: Report,
}

/// The versions that a child holds and that the nodes below it serve.
#[data]
#[derive(Default)]
pub struct ChildState {
    /// The versions that the child holds.
    pub held: HeldVersions,
    /// The number of backend servers in the member list that the child holds.
    pub servers_known: u32,
    /// The number of nodes by served version, for the child and all nodes below it.
    pub acks: AckSummary,
    /// The digest of the child's records of the nodes below it.
    pub below: SubtreeDigest,
}

/// The regular report of a child.
///
/// The field names on the wire are short, because reports are nearly all of the traffic while
/// nothing changes.
#[data]
pub struct Report {
    /// The sequence number of the report within the attachment.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// The number of the child's confirmation round: each report asks the leader anew which
    /// versions it has.
    #[serde(rename = "r")]
    pub round: u64,
    /// Whether the child or a node below it serves nothing until the round is confirmed.
    #[serde(rename = "u", default, skip_serializing_if = "is_default")]
    pub awaits_confirmation: bool,
    /// The repair that the child asks for after an update that it could not apply.
    #[serde(rename = "n", default, skip_serializing_if = "is_default")]
    pub repair: Repair,
    /// The child's state after the changes; `None` if it is the same as last reported.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub state: Option<ChildState>,
    /// Changes of the child's record and of the nodes below it since the last report.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<SubtreeChange>,
    /// The outstanding evidence batch of the child and the nodes below it.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub evidence: Option<EvidenceBatch>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A message from a child to its parent.
#[data]
pub enum UpMessage {
    /// The child's full state: the first message of an attachment, or an answer to
    /// [`ReportReply::needs_hello`].
    Hello(Box<Hello>),
    /// A regular report.
    Report(Box<Report>),
}

/// The lowest versions that a node may serve: those that the leader had when it confirmed a round.
#[data(key)]
#[derive(Default)]
pub struct MinVersions {
    /// The lowest configuration version.
    #[serde(rename = "c")]
    pub config: ConfigVersion,
    /// The lowest version of the member list.
    #[serde(rename = "m")]
    pub members: MembersVersion,
}

/// The path from the leader to a child, and the parents that the child may try after a failure.
#[data]
#[derive(Default)]
pub struct Route {
    /// The relays above the child, starting at the leader's own child.
    pub path: Vec<NodeId>,
    /// The mesh addresses of other relays to try when this parent is lost and no control replica
    /// answers.
    pub alternates: Vec<SocketAddr>,
    /// The mesh addresses of the control replicas, as the leader knows them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub control: Vec<SocketAddr>,
}

/// A parent's reply to a report.
#[data]
pub struct ReportReply {
    /// The highest round of the child that a live leader has confirmed.
    #[serde(rename = "r")]
    pub confirmed_round: u64,
    /// The leader's versions for that round.
    #[serde(rename = "f")]
    pub min_versions: MinVersions,
    /// The sequence number of the last evidence batch that the parent accepted.
    #[serde(rename = "e", default, skip_serializing_if = "is_default")]
    pub acknowledged_evidence: u64,
    /// Whether the child must send its full state, because a report was lost or the views of the
    /// subtree differ.
    #[serde(rename = "w", default, skip_serializing_if = "is_default")]
    pub needs_hello: bool,
    /// For how long the parent, or a relay above it, has searched for a parent, in milliseconds; zero
    /// if the path to the leader is complete.
    #[serde(rename = "d", default, skip_serializing_if = "is_default")]
    pub searching_ms: u64,
    /// The route to the leader; `None` if it did not change and was sent recently.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub route: Option<Route>,
}

/// New versions of the configuration and the member list.
#[data]
pub struct Update {
    /// Encoded updates of the configuration, in the order in which to apply them.
    pub config: Vec<Payload>,
    /// Encoded updates of the member list, in the order in which to apply them.
    pub members: Vec<Payload>,
}

/// The kind of process that a parent address belongs to.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum ParentKind {
    /// A control replica.
    Control,
    /// A node that relays for others.
    Relay,
}

/// The address of a possible parent and its kind.
#[data(key)]
pub struct ParentAddress {
    /// The mesh address.
    pub address: SocketAddr,
    /// The kind of process at the address.
    pub kind: ParentKind,
}

impl ParentAddress {
    /// Creates the address of a control replica.
    #[must_use]
    pub const fn control(address: SocketAddr) -> Self {
        Self {
            address,
            kind: ParentKind::Control,
        }
    }

    /// Creates the address of a relay.
    #[must_use]
    pub const fn relay(address: SocketAddr) -> Self {
        Self {
            address,
            kind: ParentKind::Relay,
        }
    }

    /// Returns whether the address belongs to a relay.
    #[must_use]
    pub const fn is_relay(self) -> bool {
        matches!(self.kind, ParentKind::Relay)
    }
}

/// A message from a parent to a child.
#[data]
pub enum DownMessage {
    /// The parent accepts the child.
    Welcome,
    /// The child must attach to another parent.
    Redirect(ParentAddress),
    /// The child must ask again after some time.
    Retry {
        /// The time to wait, in milliseconds.
        after_ms: u64,
    },
    /// The reply to a report, which also shows that the parent is alive.
    #[serde(rename = "Beat")]
    ReportReply(Box<ReportReply>),
    /// New versions for the child to apply.
    Update(Update),
}
