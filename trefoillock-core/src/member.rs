//! The backend servers that the system knows, and the requests that crashed some of them.

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc};

use trefoillock_macros::data;

use crate::{
    DataCentre, Incarnation, InstanceId, MembersVersion, NodeId, Pool, ServiceName, Timestamp,
    VersionLabel,
};

/// The identity of a backend server: its local node and the address it listens on.
///
/// The local node is the node on the same VM, which forwards calls to the backend server.
#[data]
#[derive(PartialOrd, Ord, Hash)]
pub struct ServerId {
    /// The local node of the backend server.
    pub node: NodeId,
    /// The address on which the backend server accepts calls from its local node.
    pub address: SocketAddr,
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.node, self.address)
    }
}

/// Whether a backend server accepts new calls.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It accepts new calls.
    Up,
    /// It completes the calls in progress and accepts no new ones.
    Draining,
}

/// The description that a backend server sends to its local node.
#[data]
pub struct Announcement {
    /// The address on which it accepts calls.
    pub address: SocketAddr,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The version it runs.
    pub version: VersionLabel,
    /// Its incarnation; a restart gets a higher one.
    pub incarnation: Incarnation,
    /// The number of calls it runs at once.
    pub slots: u32,
    /// The number of connections it accepts.
    pub connections: u32,
    /// Whether it accepts new calls.
    pub state: MemberState,
    /// The identity that the process of the backend server chose for itself; `None` if it chose
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
}

/// A known backend server, with the address and data centre of its local node.
#[data]
pub struct Member {
    /// The identity of the backend server.
    pub id: ServerId,
    /// The last announcement of the backend server.
    pub announcement: Announcement,
    /// The address on which the local node accepts calls from other nodes.
    pub peer_address: SocketAddr,
    /// The data centre of the local node.
    pub data_centre: DataCentre,
    /// The incarnation of the local node.
    pub node_incarnation: Incarnation,
}

impl Member {
    /// Whether the backend server belongs to a pool.
    #[must_use]
    pub fn belongs_to(&self, pool: &Pool) -> bool {
        self.announcement.service == pool.service
            && pool.versions.contains(&self.announcement.version)
    }

    /// Whether the backend server accepts new calls.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        matches!(self.announcement.state, MemberState::Up)
    }
}

/// A hash that identifies a request over all its attempts and retries.
#[data(key)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Creates a fingerprint from its hash.
    #[must_use]
    pub const fn new(hash: u64) -> Self {
        Self(hash)
    }

    /// The hash.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// A crash of a backend server while it ran a request.
#[data]
#[derive(PartialOrd, Ord, Hash)]
pub struct CrashReport {
    /// The request that was running.
    pub fingerprint: Fingerprint,
    /// The backend server that crashed.
    pub server: ServerId,
    /// The incarnation of the backend server that crashed.
    pub incarnation: Incarnation,
}

/// The member list: all known backend servers, and the quarantined requests.
#[data]
#[derive(Default)]
pub struct Members {
    /// The version of the list; a node never returns to a lower one.
    pub version: MembersVersion,
    /// The backend servers by identity.
    pub servers: BTreeMap<ServerId, Arc<Member>>,
    /// Requests that crashed backend servers more than once, each with the time until which the
    /// request is refused.
    pub quarantined: BTreeMap<Fingerprint, Timestamp>,
}

impl Members {
    /// The backend servers of a pool that accept new calls, ordered by identity.
    pub fn available_in<'a>(&'a self, pool: &'a Pool) -> impl Iterator<Item = &'a Arc<Member>> {
        self.servers
            .values()
            .filter(|member| member.is_up() && member.belongs_to(pool))
    }
}
