//! Client for the guards of idempotency keys and of quotas on other nodes.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use trefoillock_core::{Guard, Map};
use trefoillock_policy::{
    ClaimAnswer, ClaimRequest, CopyAnswer, CopyRequest, FinishRequest, GuardAck, ReleaseAnswer,
    ReleaseRequest, TokenAnswer, TokenRequest,
};
use trefoillock_rpc::{RpcClient, Status, Token, TrafficCounter};

/// Path of the message that claims a key.
pub(crate) const CLAIM_PATH: &str = "/guard/claim";
/// Path of the message that reports how the call of a claim ended.
pub(crate) const FINISH_PATH: &str = "/guard/finish";
/// Path of the message that copies the records of a slot.
pub(crate) const COPY_PATH: &str = "/guard/copy";
/// Path of the message by which the leader asks for the slots in which a node is an active guard.
pub(crate) const ACKS_PATH: &str = "/guard/acks";
/// Path of the message that asks for tokens of a quota.
pub(crate) const TOKENS_PATH: &str = "/quota/tokens";
/// Path of the message that asks whether a part of a quota is released.
pub(crate) const RELEASE_PATH: &str = "/quota/release";
/// The timeout for the response of a guard.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Clients of the guards on other nodes, by address.
#[derive(Debug)]
pub(crate) struct GuardClients {
    token: Token,
    traffic: Arc<TrafficCounter>,
    clients: Mutex<Map<SocketAddr, RpcClient>>,
}

impl GuardClients {
    pub(crate) fn new(token: Token, traffic: Arc<TrafficCounter>) -> Self {
        Self {
            token,
            traffic,
            clients: Mutex::new(Map::default()),
        }
    }

    pub(crate) async fn claim(
        &self,
        guard: &Guard,
        req: ClaimRequest,
    ) -> Result<ClaimAnswer, Status> {
        self.client(guard)
            .unary(CLAIM_PATH, req, CALL_TIMEOUT)
            .await
    }

    pub(crate) async fn finish(&self, guard: &Guard, req: FinishRequest) -> Result<(), Status> {
        self.client(guard)
            .unary(FINISH_PATH, req, CALL_TIMEOUT)
            .await
    }

    pub(crate) async fn copy(
        &self,
        guard: &Guard,
        req: CopyRequest,
    ) -> Result<Option<CopyAnswer>, Status> {
        self.client(guard).unary(COPY_PATH, req, CALL_TIMEOUT).await
    }

    pub(crate) async fn tokens(
        &self,
        guard: &Guard,
        req: TokenRequest,
        timeout: Duration,
    ) -> Result<TokenAnswer, Status> {
        self.client(guard).unary(TOKENS_PATH, req, timeout).await
    }

    pub(crate) async fn release(
        &self,
        guard: &Guard,
        req: ReleaseRequest,
    ) -> Result<Option<ReleaseAnswer>, Status> {
        self.client(guard)
            .unary(RELEASE_PATH, req, CALL_TIMEOUT)
            .await
    }

    /// Drops the client of a guard that did not answer, so that the next message opens a new
    /// connection.
    pub(crate) fn forget(&self, guard: &Guard) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.remove(&guard.peer_address);
    }

    /// Drops the clients of all nodes that are not among `addresses`.
    pub(crate) fn retain(&self, addresses: &BTreeSet<SocketAddr>) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|address, _| addresses.contains(address));
    }

    fn client(&self, guard: &Guard) -> RpcClient {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let address = guard.peer_address;
        clients
            .entry(address)
            .or_insert_with(|| RpcClient::new(address, self.token.clone(), self.traffic.clone()))
            .clone()
    }
}

/// Asks a guard for the slots in which it is active.
///
/// # Errors
///
/// Returns the status of the call if the guard does not respond.
pub async fn ask_guard_acks(client: &RpcClient) -> Result<Vec<GuardAck>, Status> {
    client.unary(ACKS_PATH, (), CALL_TIMEOUT).await
}
