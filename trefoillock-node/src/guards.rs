//! The duplicate guard: runs [`GuardKeeper`] for the slots that this node guards, and [`Claim`] for
//! the keys that it claims at the guards of all nodes.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::{StreamExt, future::join_all, stream::FuturesUnordered};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use trefoillock_core::{
    Config, ConfigVersion, Fingerprint, Guard, GuardSet, GuardSlot, Incarnation, Map, NodeId,
    Timestamp,
};
use trefoillock_policy::{
    Claim, ClaimAnswer, ClaimId, ClaimLoss, ClaimRequest, ClaimState, CopyAnswer, CopyRequest,
    Finish, FinishRequest, GuardAck, GuardKeeper, KeyHash,
};
use trefoillock_process::Clock;
use trefoillock_rpc::{RpcServer, Token, TrafficCounter};

use crate::{
    NodeView,
    guard_client::{ACKS_PATH, CLAIM_PATH, COPY_PATH, FINISH_PATH, GuardClients},
};

/// The number of keepers that the guard slots of a node are divided among, each under its own lock.
const SHARD_COUNT: u16 = 8;
/// The interval at which a newer guard table is applied and missing records are copied.
const SYNC_INTERVAL: Duration = Duration::from_millis(50);
/// The pause before a request to a guard is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The number of failed requests after which a guard counts as unreachable for a claim.
const MAX_CLAIM_ATTEMPTS: u32 = 3;
/// The number of attempts to tell a guard how a call ended.
const MAX_FINISH_ATTEMPTS: u32 = 5;

/// The longest time to wait until the release of a lost claim was sent to the guards.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(200);

/// The claim of an idempotency key for one request.
#[derive(Debug, Clone, Copy)]
pub struct KeyClaim {
    /// The hash of the key and its scope.
    pub key: KeyHash,
    /// The fingerprint of the request that carries the key.
    pub fingerprint: Fingerprint,
    /// The creation time that is embedded in the key; `None` if the key has none.
    pub key_time: Option<Timestamp>,
    /// The time by which the call has ended in any case.
    pub running_until: Timestamp,
}

/// The claim of an idempotency key, and the guard slot of the key.
#[derive(Debug)]
pub struct ClaimedKey {
    claim: Claim,
    slot: GuardSlot,
}

/// The guard of this node, and the client of the guards of all nodes.
#[derive(Debug)]
pub struct Guards {
    node: NodeId,
    incarnation: Incarnation,
    clock: Clock,
    token: Token,
    traffic: Arc<TrafficCounter>,
    keepers: Vec<Mutex<GuardKeeper>>,
    clients: GuardClients,
    process_id: u64,
    next_sequence: AtomicU64,
}

impl Guards {
    /// Creates a guard without records, for one incarnation of a node.
    #[must_use]
    pub fn new(node: NodeId, incarnation: Incarnation, clock: Clock, token: Token) -> Self {
        let traffic = Arc::new(TrafficCounter::new());
        let keeper = |shard| {
            Mutex::new(GuardKeeper::new(node.clone(), incarnation).for_shard(shard, SHARD_COUNT))
        };
        Self {
            keepers: (0..SHARD_COUNT).map(keeper).collect(),
            node,
            incarnation,
            clock,
            clients: GuardClients::new(token.clone(), traffic.clone()),
            token,
            traffic,
            process_id: rand::random(),
            next_sequence: AtomicU64::new(0),
        }
    }

    /// The acknowledgements of the slots in which this node is an active guard, for the leader.
    #[must_use]
    pub fn acks(&self) -> Vec<GuardAck> {
        let keepers = self.keepers.iter();
        keepers.flat_map(|keeper| lock(keeper).acks()).collect()
    }

    /// The number of keys that this node has records of.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.keepers.iter().map(|keeper| lock(keeper).len()).sum()
    }

    /// The bytes of messages between guards, sent and received.
    #[must_use]
    pub const fn traffic(&self) -> &Arc<TrafficCounter> {
        &self.traffic
    }

    /// The handlers of messages from other nodes.
    pub(crate) fn rpc_server(self: &Arc<Self>) -> RpcServer {
        let (claims, finishes, copies) = (self.clone(), self.clone(), self.clone());
        let acks = self.clone();
        RpcServer::new(self.token.clone(), self.traffic.clone())
            .unary(CLAIM_PATH, move |req: ClaimRequest| {
                let answer = claims.answer_claim(&req);
                async move { Ok(answer) }
            })
            .unary(FINISH_PATH, move |req: FinishRequest| {
                finishes.apply_finish(&req);
                async move { Ok(()) }
            })
            .unary(COPY_PATH, move |req: CopyRequest| {
                let answer = copies.answer_copy(&req);
                async move { Ok(answer) }
            })
            .unary(ACKS_PATH, move |()| {
                let answer = acks.acks();
                async move { Ok(answer) }
            })
    }

    /// Applies each new guard table of the configuration and copies missing records, until `stop`
    /// is cancelled.
    pub(crate) async fn follow_guard_table(&self, view: &NodeView, stop: CancellationToken) {
        let mut synced = ConfigVersion::ZERO;
        loop {
            if let Some(config) = view.config().filter(|config| config.version() > synced) {
                self.sync_keepers(&config);
                synced = config.version();
            }
            self.copy_records().await;
            let pause = stop.run_until_cancelled(sleep(SYNC_INTERVAL));
            if pause.await.is_none() {
                return;
            }
        }
    }

    fn sync_keepers(&self, config: &Config) {
        for keeper in &self.keepers {
            lock(keeper).sync(config.guards());
        }
    }

    /// Copies the records of the slots that this node has become a guard of.
    async fn copy_records(&self) {
        let requests: Vec<_> = self
            .keepers
            .iter()
            .flat_map(|keeper| lock(keeper).copy_requests())
            .collect();
        let copies = requests.into_iter().map(|(guard, req)| async move {
            let answer = if self.is_self(&guard) {
                self.answer_copy(&req)
            } else {
                self.clients.copy(&guard, req).await.ok().flatten()
            };
            if let Some(answer) = answer {
                lock(self.keeper(req.slot)).apply_copy(&guard, answer);
            }
        });
        join_all(copies).await;
    }

    /// Claims a key. The call may run only if the claim is won.
    ///
    /// # Errors
    ///
    /// Returns why the claim was lost. The claim is released at the guards first.
    pub async fn claim_key(
        &self,
        view: &NodeView,
        key_claim: KeyClaim,
    ) -> Result<ClaimedKey, ClaimLoss> {
        let slot = key_claim.key.slot();
        let Some(set) = guard_set(view, slot) else {
            return Err(ClaimLoss::Unknown);
        };
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        let mut claim = Claim::new(
            self.clock.now(),
            ClaimId::new(self.process_id, sequence),
            key_claim.key,
            key_claim.fingerprint,
            key_claim.key_time,
            key_claim.running_until,
            &set,
        );
        let mut failures: Map<NodeId, u32> = Map::default();
        loop {
            match claim.expire(self.clock.now()).clone() {
                ClaimState::Won => return Ok(ClaimedKey { claim, slot }),
                ClaimState::Lost(loss) => {
                    let lost_key = ClaimedKey { claim, slot };
                    let releasing = self.finish(view, &lost_key, &Finish::Released);
                    let _ = timeout(RELEASE_TIMEOUT, releasing).await;
                    return Err(loss);
                }
                ClaimState::Stale { .. } => {
                    if let Some(set) = guard_set(view, slot) {
                        claim.restart(&set);
                    }
                }
                ClaimState::Asking => self.ask(&mut claim, &mut failures).await,
            }
            if matches!(claim.state(), ClaimState::Asking | ClaimState::Stale { .. }) {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Asks all guards that have not voted, until the claim is decided or each of them has answered
    /// or failed.
    async fn ask(&self, claim: &mut Claim, failures: &mut Map<NodeId, u32>) {
        let requests = claim.requests().into_iter();
        let mut asking: FuturesUnordered<_> = requests
            .map(|(guard, req)| async move {
                let answer = self.ask_guard(&guard, req).await;
                (guard, answer)
            })
            .collect();
        while let Some((guard, answer)) = asking.next().await {
            let now = self.clock.now();
            if let Some(answer) = answer {
                claim.record_vote(now, &guard, answer);
            } else {
                let failed = failures.entry(guard.node.clone()).or_default();
                *failed += 1;
                if *failed >= MAX_CLAIM_ATTEMPTS {
                    claim.mark_unreachable(&guard);
                }
            }
            if claim.state() != &ClaimState::Asking {
                return;
            }
        }
    }

    async fn ask_guard(&self, guard: &Guard, req: ClaimRequest) -> Option<ClaimAnswer> {
        if self.is_self(guard) {
            return Some(self.answer_claim(&req));
        }
        self.clients.claim(guard, req).await.ok()
    }

    /// Sends all guards how the call of a claim ended.
    pub async fn finish(&self, view: &NodeView, claimed: &ClaimedKey, finish: &Finish) {
        let newest = guard_set(view, claimed.slot);
        let messages = claimed
            .claim
            .finish_requests(newest.as_ref(), finish)
            .into_iter();
        join_all(messages.map(|(guard, req)| self.send_finish(guard, req))).await;
    }

    async fn send_finish(&self, guard: Guard, req: FinishRequest) {
        if self.is_self(&guard) {
            self.apply_finish(&req);
            return;
        }
        for _ in 0..MAX_FINISH_ATTEMPTS {
            if self.clients.finish(&guard, req.clone()).await.is_ok() {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    fn answer_claim(&self, req: &ClaimRequest) -> ClaimAnswer {
        let now = self.clock.now();
        lock(self.keeper(req.key.slot())).claim(now, req)
    }

    fn apply_finish(&self, req: &FinishRequest) {
        let now = self.clock.now();
        lock(self.keeper(req.key.slot())).finish(now, req);
    }

    fn answer_copy(&self, req: &CopyRequest) -> Option<CopyAnswer> {
        let now = self.clock.now();
        lock(self.keeper(req.slot)).answer_copy_request(now, req)
    }

    fn is_self(&self, guard: &Guard) -> bool {
        guard.node == self.node && guard.incarnation == self.incarnation
    }

    fn keeper(&self, slot: GuardSlot) -> &Mutex<GuardKeeper> {
        &self.keepers[usize::from(slot.get() % SHARD_COUNT)]
    }
}

fn guard_set(view: &NodeView, slot: GuardSlot) -> Option<GuardSet> {
    let config = view.config()?;
    config.guards().get(&slot).cloned()
}

fn lock(keeper: &Mutex<GuardKeeper>) -> MutexGuard<'_, GuardKeeper> {
    keeper.lock().unwrap_or_else(PoisonError::into_inner)
}
