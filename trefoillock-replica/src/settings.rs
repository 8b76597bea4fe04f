//! Settings of a replica.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use trefoillock_core::ReplicaId;
use trefoillock_rpc::Token;

use crate::{Limits, Timing};

/// The default timeout of a proposal, a membership change or a read.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The settings of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    pub(crate) system: String,
    pub(crate) id: ReplicaId,
    pub(crate) address: SocketAddr,
    pub(crate) peers: Vec<(ReplicaId, SocketAddr)>,
    pub(crate) data_folder: PathBuf,
    pub(crate) token: Token,
    pub(crate) timing: Timing,
    pub(crate) limits: Limits,
    pub(crate) answer_timeout: Duration,
}

impl ReplicaSettings {
    /// Creates settings with the default timing and limits, without a token and peers.
    ///
    /// `system` names the system; messages of other systems are ignored. `address` is the one at
    /// which other replicas reach this one.
    #[must_use]
    pub fn new(
        system: &str,
        id: ReplicaId,
        address: SocketAddr,
        data_folder: impl Into<PathBuf>,
    ) -> Self {
        Self {
            system: system.to_owned(),
            id,
            address,
            peers: Vec::new(),
            data_folder: data_folder.into(),
            token: Token::none(),
            timing: Timing::default(),
            limits: Limits::default(),
            answer_timeout: ANSWER_TIMEOUT,
        }
    }

    /// Returns the identity of the replica.
    #[must_use]
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    /// Sets the voters of a new system, which include this replica. Only
    /// [`ReplicaHandle::init_voter_folder`](crate::ReplicaHandle::init_voter_folder) uses them.
    #[must_use]
    pub fn peers(mut self, peers: Vec<(ReplicaId, SocketAddr)>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the token that authenticates calls between replicas.
    #[must_use]
    pub fn token(mut self, token: Token) -> Self {
        self.token = token;
        self
    }

    /// Sets the timing of heartbeats, elections and leases.
    #[must_use]
    pub const fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the limits of memory, messages and snapshots.
    #[must_use]
    pub const fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the timeout of a proposal, a membership change or a read.
    #[must_use]
    pub const fn answer_timeout(mut self, timeout: Duration) -> Self {
        self.answer_timeout = timeout;
        self
    }
}
