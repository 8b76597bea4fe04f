//! Messages to the guards of idempotency keys on other nodes.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use trefoillock_core::{Guard, Map};
use trefoillock_policy::{
    ClaimAnswer, ClaimRequest, CopyAnswer, CopyRequest, FinishRequest, GuardAck,
};
use trefoillock_rpc::{RpcClient, Status, Token, Traffic};

/// The call that claims a key.
pub(crate) const CLAIM: &str = "/guard/claim";
/// The call that tells how the call of a claim ended.
pub(crate) const FINISH: &str = "/guard/finish";
/// The call that copies the records of a slot.
pub(crate) const COPY: &str = "/guard/copy";
/// The call by which the leader asks in which slots a node is an active guard.
pub(crate) const ACKS: &str = "/guard/acks";
/// The longest time that a guard takes to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Clients of the guards on other nodes, by address.
#[derive(Debug)]
pub(crate) struct GuardClients {
    token: Token,
    traffic: Arc<Traffic>,
    clients: Mutex<Map<SocketAddr, RpcClient>>,
}

impl GuardClients {
    pub(crate) fn new(token: Token, traffic: Arc<Traffic>) -> Self {
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
        self.client(guard).unary(CLAIM, req, TIMEOUT).await
    }

    pub(crate) async fn finish(&self, guard: &Guard, req: FinishRequest) -> Result<(), Status> {
        self.client(guard).unary(FINISH, req, TIMEOUT).await
    }

    pub(crate) async fn copy(
        &self,
        guard: &Guard,
        req: CopyRequest,
    ) -> Result<Option<CopyAnswer>, Status> {
        self.client(guard).unary(COPY, req, TIMEOUT).await
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

/// Asks a guard in which slots it is active.
///
/// # Errors
///
/// Returns the status of the call if the guard gives no answer.
pub async fn ask_guard_acks(client: &RpcClient) -> Result<Vec<GuardAck>, Status> {
    client.unary(ACKS, (), TIMEOUT).await
}
