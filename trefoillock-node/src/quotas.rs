//! The quotas of workspaces: runs [`QuotaKeeper`] for the parts of quotas that this node keeps as a
//! guard, and [`TokenHolding`](trefoillock_policy::TokenHolding) for the workspaces whose calls enter or run at this node.

mod counts;
mod event;
mod held_quota;
mod peer_clock;
mod start_check;
mod token;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::{StreamExt, future::join_all, stream::FuturesUnordered};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use trefoillock_core::{
    Config, ConfigVersion, DataCentre, Guard, Incarnation, Map, NodeId, QuotaBound, Timestamp,
    WorkspaceName, stable_hash,
};
use trefoillock_policy::{
    QuotaKeeper, QuotaRefusal, ReleaseAnswer, ReleaseRequest, Take, TokenAnswer, TokenAsk,
    TokenRequest, TokenRound, quota_slot,
};
use trefoillock_process::BootInstant;
use trefoillock_rpc::{RpcServer, Token, TrafficCounter};

use self::held_quota::{HeldQuota, WaitingCall};
pub use self::{
    counts::QuotaCounts,
    event::QuotaEvent,
    token::{QuotaToken, SentToken},
};
pub(crate) use self::{peer_clock::PeerClock, start_check::StartCheck};
use crate::{
    NodeView,
    guard_client::{GuardClients, RELEASE_PATH, TOKENS_PATH},
    quotas::event::QuotaEvents,
    random_u32,
};

/// The number of keepers that the slots of a node are divided among, each under its own lock.
const KEEPER_SHARDS: u16 = 4;
/// The number of maps that the held quotas are divided among, each under its own lock.
const HOLDING_SHARDS: usize = 8;
/// The interval at which a newer configuration is applied and releases are asked for.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// The number of these intervals after which unused state is dropped.
const INTERVALS_PER_SWEEP: u32 = 100;
/// The time for which a guard may be silent before the next one is asked as well.
const PATIENCE: Duration = Duration::from_millis(60);
/// The timeout for the response of a guard. A VM with little CPU time may be stopped for 100 ms.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(250);
/// The time for which a guard that did not answer is not asked.
const UNREACHABLE_MEMORY: Duration = Duration::from_secs(1);

/// The present time on the clock since boot, by which tokens and leases are counted. It also counts
/// the time for which the VM is suspended.
#[must_use]
pub fn boot_time() -> Timestamp {
    timestamp(BootInstant::now())
}

fn timestamp(instant: BootInstant) -> Timestamp {
    Timestamp::EPOCH + instant.since_boot()
}

/// The parts of quotas that this node keeps, and the tokens that it holds for calls.
#[derive(Debug)]
pub struct Quotas {
    node: NodeId,
    incarnation: Incarnation,
    data_centre: DataCentre,
    bound: QuotaBound,
    token: Token,
    traffic: Arc<TrafficCounter>,
    clients: GuardClients,
    keepers: Vec<Mutex<QuotaKeeper>>,
    held: Vec<Mutex<Map<WorkspaceName, Arc<HeldQuota>>>>,
    unreachable: Mutex<Map<Guard, Timestamp>>,
    events: QuotaEvents,
    messages: AtomicU64,
}

impl Quotas {
    /// Creates the quotas of one incarnation of a node, which keeps no part and holds no token.
    #[must_use]
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        data_centre: DataCentre,
        token: Token,
        bound: QuotaBound,
    ) -> Self {
        let traffic = Arc::new(TrafficCounter::new());
        let keeper = |shard| {
            let keeper = QuotaKeeper::new(node.clone(), incarnation, bound);
            Mutex::new(keeper.for_shard(shard, KEEPER_SHARDS))
        };
        Self {
            keepers: (0..KEEPER_SHARDS).map(keeper).collect(),
            held: (0..HOLDING_SHARDS).map(|_| Mutex::default()).collect(),
            node,
            incarnation,
            data_centre,
            bound,
            clients: GuardClients::new(token.clone(), traffic.clone()),
            token,
            traffic,
            unreachable: Mutex::default(),
            events: QuotaEvents::default(),
            messages: AtomicU64::new(0),
        }
    }

    /// The bytes of messages between entry nodes and guards of quotas, sent and received.
    #[must_use]
    pub const fn traffic(&self) -> &Arc<TrafficCounter> {
        &self.traffic
    }

    /// The time for which a token is valid.
    pub(crate) fn token_lifetime(&self) -> Duration {
        self.bound.token_lifetime()
    }

    /// The number of requests for tokens that were sent to other nodes.
    #[must_use]
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }

    /// The handlers of messages from other nodes.
    pub(crate) fn rpc_server(self: &Arc<Self>) -> RpcServer {
        let (tokens, releases) = (self.clone(), self.clone());
        RpcServer::new(self.token.clone(), self.traffic.clone())
            .unary(TOKENS_PATH, move |req: TokenRequest| {
                let answer = tokens.answer_tokens(&req);
                async move { Ok(answer) }
            })
            .unary(RELEASE_PATH, move |req: ReleaseRequest| {
                let answer = releases.answer_release(&req);
                async move { Ok(answer) }
            })
    }

    /// Applies a newer configuration at once.
    pub fn apply_config(&self, config: &Config) {
        for keeper in &self.keepers {
            lock(keeper).sync(boot_time(), config);
        }
    }

    /// Records that a live leader has confirmed a version of the configuration as its newest one, in
    /// answer to a question that was asked after `asked_at`.
    pub fn confirm(&self, version: ConfigVersion, asked_at: BootInstant) {
        for keeper in &self.keepers {
            lock(keeper).confirm(version, timestamp(asked_at));
        }
    }

    /// Applies each new configuration, asks for the release of parts and drops unused state, until
    /// `stop` is cancelled.
    pub(crate) async fn follow_config(&self, view: &NodeView, stop: CancellationToken) {
        let mut synced = ConfigVersion::ZERO;
        let mut intervals = 0;
        loop {
            if let Some(config) = view.config().filter(|config| config.version() > synced) {
                self.apply_config(&config);
                synced = config.version();
            }
            self.request_releases().await;
            intervals += 1;
            if intervals % INTERVALS_PER_SWEEP == 0 {
                self.drop_unused(view);
            }
            let pause = stop.run_until_cancelled(sleep(SYNC_INTERVAL));
            if pause.await.is_none() {
                return;
            }
        }
    }

    async fn request_releases(&self) {
        let now = boot_time();
        let requests: Vec<_> = self
            .keepers
            .iter()
            .flat_map(|keeper| lock(keeper).release_requests(now))
            .collect();
        let releases = requests.into_iter().map(|(guard, req)| async move {
            let answer = if self.is_self(&guard) {
                self.answer_release(&req)
            } else {
                self.clients.release(&guard, req).await.ok().flatten()
            };
            if let Some(answer) = answer {
                let keeper = self.keeper(req.slot.get());
                lock(keeper).record_release(boot_time(), &guard, &answer);
            }
        });
        join_all(releases).await;
    }

    fn drop_unused(&self, view: &NodeView) {
        let now = boot_time();
        for shard in &self.held {
            lock(shard).retain(|_, held| !held.is_idle(now));
        }
        lock(&self.unreachable).retain(|_, until| *until > now);
        let mut used: BTreeSet<SocketAddr> = BTreeSet::new();
        if let Some(config) = view.config() {
            for shard in &self.held {
                for workspace in lock(shard).keys() {
                    let set = config.guards().get(&quota_slot(workspace));
                    let guards = set.into_iter().flat_map(|set| &set.guards);
                    used.extend(guards.map(|guard| guard.peer_address));
                }
            }
        }
        self.clients.retain(&used);
    }

    /// Takes a token for a call of a workspace. Waits for the guards if none is held.
    ///
    /// # Errors
    ///
    /// Returns why the call gets no token.
    pub async fn take(
        self: &Arc<Self>,
        view: &NodeView,
        workspace: &WorkspaceName,
    ) -> Result<QuotaToken, QuotaRefusal> {
        let held = self.held_quota(workspace);
        let mut rounds = held.subscribe();
        let mut step = held.lock().take(boot_time());
        loop {
            if let Some(ask) = step.ask {
                self.start_round(view, workspace, &held, ask);
            }
            match step.take {
                Take::Token(expires) => return Ok(QuotaToken::new(held, expires)),
                Take::Refused(refusal) => {
                    held.count_refusal();
                    self.events.record_refusal(workspace, refusal);
                    return Err(refusal);
                }
                Take::Wait => {}
            }
            let waiting = WaitingCall::new(&held);
            // The sender lives as long as `held`.
            let _ = rounds.changed().await;
            step = waiting.take_again(boot_time());
        }
    }

    /// Takes a token that is held already; `None` if there is none. The guards may be asked for
    /// further ones.
    pub fn take_held(
        self: &Arc<Self>,
        view: &NodeView,
        workspace: &WorkspaceName,
    ) -> Option<QuotaToken> {
        let held = self.held_quota(workspace);
        let step = held.lock().take_held(boot_time());
        if let Some(ask) = step.ask {
            self.start_round(view, workspace, &held, ask);
        }
        match step.take {
            Take::Token(expires) => Some(QuotaToken::new(held, expires)),
            Take::Wait | Take::Refused(_) => None,
        }
    }

    fn start_round(
        self: &Arc<Self>,
        view: &NodeView,
        workspace: &WorkspaceName,
        held: &Arc<HeldQuota>,
        ask: TokenAsk,
    ) {
        let config = view.config();
        let set = config
            .as_ref()
            .and_then(|config| config.guards().get(&quota_slot(workspace)));
        let order = set.map_or_else(Vec::new, |set| {
            TokenRound::order(set, &self.data_centre, random_u32())
        });
        let now = boot_time();
        let round = {
            let unreachable = lock(&self.unreachable);
            let is_unreachable =
                |guard: &Guard| unreachable.get(guard).is_some_and(|until| *until > now);
            let workspace = workspace.clone();
            TokenRound::new(now, workspace, ask, order, &held.lock(), is_unreachable)
        };
        tokio::spawn(self.clone().run_round(held.clone(), round));
    }

    /// Asks the guards one after the other; the next one also if one is silent. Late answers still
    /// count.
    async fn run_round(self: Arc<Self>, held: Arc<HeldQuota>, mut round: TokenRound) {
        let mut answers = FuturesUnordered::new();
        loop {
            if let Some((guard, req)) = round.next_request() {
                answers.push(self.ask(guard, req));
            } else if answers.is_empty() {
                break;
            }
            tokio::select! {
                Some((guard, asked_at, answer)) = answers.next() => {
                    self.take_answer(&held, &mut round, &guard, asked_at, answer);
                }
                () = sleep(PATIENCE), if round.has_next() => {}
            }
            if round.is_satisfied() {
                break;
            }
        }
        let end = round.end();
        held.end_round(boot_time(), end);
        while let Some((guard, asked_at, answer)) = answers.next().await {
            self.take_answer(&held, &mut round, &guard, asked_at, answer);
        }
    }

    async fn ask(
        &self,
        guard: Guard,
        req: TokenRequest,
    ) -> (Guard, Timestamp, Option<TokenAnswer>) {
        let asked_at = boot_time();
        let answer = if self.is_self(&guard) {
            Some(self.answer_tokens(&req))
        } else {
            self.messages.fetch_add(1, Ordering::Relaxed);
            self.clients.tokens(&guard, req, TOKEN_TIMEOUT).await.ok()
        };
        (guard, asked_at, answer)
    }

    fn take_answer(
        &self,
        held: &HeldQuota,
        round: &mut TokenRound,
        guard: &Guard,
        asked_at: Timestamp,
        answer: Option<TokenAnswer>,
    ) {
        let now = boot_time();
        let Some(answer) = answer else {
            self.clients.forget(guard);
            lock(&self.unreachable).insert(guard.clone(), now + UNREACHABLE_MEMORY);
            return;
        };
        round.record(answer);
        match answer {
            TokenAnswer::Granted(count) => held.lock().add(now, asked_at, count),
            TokenAnswer::Empty(millis) => {
                let wait = Duration::from_millis(u64::from(millis));
                held.lock().note_empty(now, &guard.node, wait);
            }
            TokenAnswer::Inactive => {}
        }
    }

    fn answer_tokens(&self, req: &TokenRequest) -> TokenAnswer {
        let slot = quota_slot(&req.workspace);
        let mut keeper = lock(self.keeper(slot.get()));
        // The time is read under the lock, so that a wait for the lock does not extend a lease.
        keeper.answer(boot_time(), req)
    }

    fn answer_release(&self, req: &ReleaseRequest) -> Option<ReleaseAnswer> {
        lock(self.keeper(req.slot.get())).answer_release(req)
    }

    fn is_self(&self, guard: &Guard) -> bool {
        guard.node == self.node && guard.incarnation == self.incarnation
    }

    fn keeper(&self, slot: u16) -> &Mutex<QuotaKeeper> {
        &self.keepers[usize::from(slot % KEEPER_SHARDS)]
    }

    fn held_quota(&self, workspace: &WorkspaceName) -> Arc<HeldQuota> {
        let hash = stable_hash([workspace.as_str().as_bytes()]);
        let shard = usize::try_from(hash % (HOLDING_SHARDS as u128)).unwrap_or_default();
        let mut shard = lock(&self.held[shard]);
        match shard.get(workspace) {
            Some(held) => held.clone(),
            None => shard
                .entry(workspace.clone())
                .or_insert_with(|| Arc::new(HeldQuota::new(&self.bound)))
                .clone(),
        }
    }

    /// What was granted and refused since the start of the process, by workspace.
    #[must_use]
    pub fn counts(&self) -> QuotaCounts {
        let mut counts = QuotaCounts::default();
        for keeper in &self.keepers {
            for (name, usage) in lock(keeper).usage() {
                counts.add_bucket(name, usage);
            }
        }
        for shard in &self.held {
            for (name, held) in lock(shard).iter() {
                counts.add_refused_calls(name, held.refused_calls());
            }
        }
        counts
    }

    /// Removes and returns what has happened since the last call, for the log.
    pub fn take_events(&self) -> Vec<QuotaEvent> {
        let now = boot_time();
        let keepers = || self.keepers.iter().map(lock);
        let kept: usize = keepers().map(|keeper| keeper.len()).sum();
        let has_lease = keepers().all(|keeper| keeper.has_lease(now));
        self.events.take(now, kept, has_lease)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
