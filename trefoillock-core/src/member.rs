//! Backend servers as the system knows them.

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc};

use trefoillock_macros::data;

use crate::{
    DataCentre, Incarnation, InstanceId, MembersVersion, NodeId, Pool, ServiceName, Timestamp,
    VersionLabel,
};

/// The identity of a backend server: the node beside it and the address it listens on.
#[data]
#[derive(PartialOrd, Ord, Hash)]
pub struct ServerId {
    /// The node beside the backend server.
    pub node: NodeId,
    /// The address on which the backend server takes calls from that node.
    pub address: SocketAddr,
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.node, self.address)
    }
}

/// Whether a backend server takes new work.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It takes new work.
    Up,
    /// It ends the work it has and takes no more.
    Draining,
}

/// What a backend server says about itself to the node beside it.
#[data]
pub struct Announcement {
    /// The address on which it takes calls.
    pub address: SocketAddr,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The version it runs.
    pub version: VersionLabel,
    /// Its run; a restart takes a higher one.
    pub incarnation: Incarnation,
    /// The number of calls it runs at once.
    pub slots: u32,
    /// The number of connections it accepts.
    pub connections: u32,
    /// Whether it takes new work.
    pub state: MemberState,
    /// The identity that the process of the backend server gives itself, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
}

/// A backend server with the place of the node beside it.
#[data]
pub struct Member {
    /// The identity.
    pub id: ServerId,
    /// What the backend server last announced.
    pub announcement: Announcement,
    /// The address on which the node takes calls from other nodes.
    pub peer_address: SocketAddr,
    /// The data centre of the node.
    pub data_centre: DataCentre,
    /// The run of the node.
    pub node_incarnation: Incarnation,
}

impl Member {
    /// Whether the backend server belongs to a pool.
    #[must_use]
    pub fn is_in(&self, pool: &Pool) -> bool {
        self.announcement.service == pool.service && pool.versions.holds(&self.announcement.version)
    }

    /// Whether the backend server takes new work.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        matches!(self.announcement.state, MemberState::Up)
    }
}

/// A hash that all sends of the same request share.
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
    /// The request that was being run.
    pub fingerprint: Fingerprint,
    /// The backend server that crashed.
    pub server: ServerId,
    /// The run of the backend server that ended.
    pub incarnation: Incarnation,
}

/// All known backend servers.
#[data]
#[derive(Default)]
pub struct Members {
    /// The version of the list; a node never goes back to a lower one.
    pub version: MembersVersion,
    /// The backend servers by identity.
    pub servers: BTreeMap<ServerId, Arc<Member>>,
    /// Requests that crashed backend servers more than once, with the time until which they
    /// are refused.
    pub quarantined: BTreeMap<Fingerprint, Timestamp>,
}

impl Members {
    /// The backend servers of a pool that take new work, ordered by identity.
    pub fn up_in<'a>(&'a self, pool: &'a Pool) -> impl Iterator<Item = &'a Arc<Member>> {
        self.servers
            .values()
            .filter(|member| member.is_up() && member.is_in(pool))
    }
}
