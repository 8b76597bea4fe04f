//! Settings of a replica.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use trefoillock_core::ReplicaId;
use trefoillock_rpc::Token;

use crate::{Limits, Timing};

/// The longest time that a proposal, a change of members or a read waits for its answer.
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
    /// Creates settings with the default times and limits, without a token and peers.
    ///
    /// `system` names the system; replicas of other systems are not listened to. `address` is
    /// the one at which other replicas reach this one.
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

    /// The identity of the replica.
    #[must_use]
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    /// Sets the voters of a new system, with this replica. Only a bootstrap uses them.
    #[must_use]
    pub fn peers(mut self, peers: Vec<(ReplicaId, SocketAddr)>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the secret that calls between replicas carry.
    #[must_use]
    pub fn token(mut self, token: Token) -> Self {
        self.token = token;
        self
    }

    /// Sets the times of elections and leases.
    #[must_use]
    pub const fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the bounds of memory and messages.
    #[must_use]
    pub const fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the longest time that a proposal, a change of members or a read waits.
    #[must_use]
    pub const fn answer_timeout(mut self, timeout: Duration) -> Self {
        self.answer_timeout = timeout;
        self
    }
}
