//! The state that all calls of one node share.

use std::sync::{
    Arc, Mutex, MutexGuard, OnceLock, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use http::{Request, Response};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use trefoillock_backend::{Body, CallFailure, LATE_BODY_TIME, LocalServers, WarmUpTable};
use trefoillock_core::{
    Config, DataCentre, Incarnation, Member, NodeId, QuotaBound, RefusalReason, Timestamp,
};
use trefoillock_policy::{RolloutLedger, VersionCalls};
use trefoillock_process::{CallSettings, Clock};
use trefoillock_rpc::Token;

use crate::{
    AskCounts, CallLog, Delivery, EvidenceRecorder, Guards, NodeView, Quotas, ServerReport,
    destination, link_pacer::LinkPacer, load_asks::LoadAsks, peer_clients::PeerClients,
};

/// The identity of a node, its configuration and members, its local backend servers, and its
/// connections to other nodes.
#[derive(Debug)]
pub struct NodeContext {
    node: NodeId,
    incarnation: Incarnation,
    data_centre: DataCentre,
    token: Token,
    clock: Clock,
    view: Arc<NodeView>,
    recorder: Arc<EvidenceRecorder>,
    local_servers: Arc<LocalServers>,
    peers: PeerClients,
    load_asks: Arc<LoadAsks>,
    guards: Arc<Guards>,
    quotas: Arc<Quotas>,
    tasks: TaskTracker,
    call_settings: CallSettings,
    call_log: CallLog,
    link: Option<Arc<LinkPacer>>,
    rollouts: Mutex<RolloutLedger>,
    /// The calls to local backend servers that were refused because the data centre is evacuated.
    evacuation_refusals: AtomicU64,
    /// The time at which the calls in flight are cut; empty while no stop has begun.
    cut_at: OnceLock<Instant>,
    refuses_calls_to_cut: AtomicBool,
}

impl NodeContext {
    /// Creates the context of a node that has received no configuration and no members.
    #[must_use]
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        data_centre: DataCentre,
        token: Token,
        clock: Clock,
        local_servers: Arc<LocalServers>,
    ) -> Self {
        let guards = Guards::new(node.clone(), incarnation, clock, token.clone());
        Self {
            guards: Arc::new(guards),
            quotas: Arc::new(Quotas::new(
                node.clone(),
                incarnation,
                data_centre.clone(),
                token.clone(),
                QuotaBound::default(),
            )),
            rollouts: Mutex::new(RolloutLedger::new(node.clone(), incarnation)),
            node,
            incarnation,
            data_centre,
            peers: PeerClients::new(token.clone()),
            load_asks: Arc::default(),
            token,
            clock,
            view: Arc::new(NodeView::new()),
            recorder: Arc::new(EvidenceRecorder::new()),
            local_servers,
            tasks: TaskTracker::new(),
            call_settings: CallSettings::default(),
            call_log: CallLog::default(),
            link: None,
            evacuation_refusals: AtomicU64::new(0),
            cut_at: OnceLock::new(),
            refuses_calls_to_cut: AtomicBool::new(false),
        }
    }

    /// Sets the call settings that apply to all routes.
    #[must_use]
    pub const fn with_call_settings(mut self, call_settings: CallSettings) -> Self {
        self.call_settings = call_settings;
        self
    }

    /// Sets the bound on the calls of a workspace. All nodes must have the same one.
    #[must_use]
    pub fn with_quota_bound(mut self, bound: QuotaBound) -> Self {
        self.quotas = Arc::new(Quotas::new(
            self.node.clone(),
            self.incarnation,
            self.data_centre.clone(),
            self.token.clone(),
            bound,
        ));
        self
    }

    /// Sets the log of single calls.
    #[must_use]
    pub fn with_call_log(mut self, call_log: CallLog) -> Self {
        self.call_log = call_log;
        self
    }

    /// Sets the rate of the link from this VM to the others, in bytes a second, so that large
    /// responses to calls of other nodes are scheduled. `None` if it is not known.
    #[must_use]
    pub fn with_link(mut self, bytes_per_s: Option<u64>) -> Self {
        self.link = bytes_per_s.map(|rate| Arc::new(LinkPacer::new(self.clock, rate)));
        self
    }

    /// The link from this VM to the others; `None` if its rate is not known.
    pub(crate) const fn link(&self) -> Option<&Arc<LinkPacer>> {
        self.link.as_ref()
    }

    /// Notes that the process stops and that the calls in flight are cut at `cut_at`.
    pub fn begin_stop(&self, cut_at: Instant) {
        // Only the first stop counts.
        let _ = self.cut_at.set(cut_at);
    }

    /// Refuses calls from now on that the stop may cut. Their callers learn that they did not run, and can
    /// send them to another node.
    pub fn refuse_calls_to_cut(&self) {
        self.refuses_calls_to_cut.store(true, Ordering::Release);
    }

    /// Checks that a call with this deadline, which its caller or route states, may still be sent to a
    /// backend server.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::Draining`] if the stop of this node may cut it.
    pub fn check_cut(&self, deadline: Instant) -> Result<(), RefusalReason> {
        let is_refused =
            self.refuses_calls_to_cut.load(Ordering::Acquire) && self.may_cut(deadline);
        if is_refused {
            return Err(RefusalReason::Draining);
        }
        Ok(())
    }

    /// The latest deadline of a call that is taken now; `None` if nothing will cut it.
    ///
    /// A call of a node that stops must be complete before it is cut. The backend servers and the
    /// links of other nodes learn so from its deadline.
    #[must_use]
    pub fn latest_deadline(&self) -> Option<Instant> {
        self.cut_at.get()?.checked_sub(LATE_BODY_TIME)
    }

    /// Whether a call of another node with this deadline may be cut by the stop of this node. Unlike a
    /// caller, the other node can still send it to another backend server.
    pub(crate) fn may_cut(&self, deadline: Instant) -> bool {
        self.cut_at.get().is_some_and(|cut_at| deadline > *cut_at)
    }

    /// The log of single calls.
    #[must_use]
    pub const fn call_log(&self) -> &CallLog {
        &self.call_log
    }

    /// The call settings that apply to all routes.
    #[must_use]
    pub const fn call_settings(&self) -> &CallSettings {
        &self.call_settings
    }

    /// Replaces the configuration unless `config` is the same version or an older one. The local backend
    /// servers get calls only while the data centre of this node is not evacuated. Returns the calls of the local
    /// backend servers whose rollouts have taken a step; `None` if the configuration was not replaced.
    pub fn apply_config(&self, config: &Arc<Config>) -> Option<Vec<VersionCalls>> {
        let is_newer = self.view.set_config(config.clone());
        if is_newer {
            let is_evacuated = config.evacuations().contains_key(&self.data_centre);
            self.local_servers.set_evacuated(is_evacuated);
            let warm_ups = WarmUpTable::from(config.tables());
            self.local_servers.set_warm_ups(warm_ups);
        }
        self.quotas.apply_config(config);
        is_newer.then(|| self.rollouts().observe(self.clock.now(), config.rollouts()))
    }

    /// The calls that the local backend servers got of the new versions of rollouts.
    pub(crate) fn rollouts(&self) -> MutexGuard<'_, RolloutLedger> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call to a local backend server that was refused because the data centre is evacuated.
    pub(crate) fn count_evacuation_refusal(&self) {
        self.evacuation_refusals.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of calls to local backend servers that were refused because the data centre is
    /// evacuated.
    #[must_use]
    pub fn evacuation_refusals(&self) -> u64 {
        self.evacuation_refusals.load(Ordering::Relaxed)
    }

    /// The identifier of this node.
    #[must_use]
    pub const fn node(&self) -> &NodeId {
        &self.node
    }

    /// The incarnation of this run of the node.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The data centre of this node.
    #[must_use]
    pub const fn data_centre(&self) -> &DataCentre {
        &self.data_centre
    }

    /// The token that nodes send with calls to each other.
    #[must_use]
    pub const fn token(&self) -> &Token {
        &self.token
    }

    /// The clock of this process.
    #[must_use]
    pub const fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The configuration and the list of members that this node has received.
    #[must_use]
    pub const fn view(&self) -> &Arc<NodeView> {
        &self.view
    }

    /// The counts of how calls ended at this node.
    #[must_use]
    pub const fn recorder(&self) -> &Arc<EvidenceRecorder> {
        &self.recorder
    }

    /// The local backend servers of this node.
    #[must_use]
    pub const fn local_servers(&self) -> &Arc<LocalServers> {
        &self.local_servers
    }

    /// The duplicate guard for idempotency keys.
    #[must_use]
    pub const fn guards(&self) -> &Arc<Guards> {
        &self.guards
    }

    /// The quotas of workspaces.
    #[must_use]
    pub const fn quotas(&self) -> &Arc<Quotas> {
        &self.quotas
    }

    /// Tracks the tasks that continue after the caller has disconnected, such as postings that were
    /// sent.
    #[must_use]
    pub const fn tasks(&self) -> &TaskTracker {
        &self.tasks
    }

    /// The counts of the asks for the load of backend servers beside other nodes.
    #[must_use]
    pub fn ask_counts(&self) -> AskCounts {
        self.load_asks.counts()
    }

    /// Whether the limit on all asks of this node allows another one now.
    #[must_use]
    pub fn may_ask_load(&self, now: Timestamp) -> bool {
        self.load_asks.has_room(now)
    }

    /// The report on a local backend server of this node; `None` if it is beside another node.
    #[must_use]
    pub fn local_report(&self, member: &Member) -> Option<ServerReport> {
        if member.id.node != self.node {
            return None;
        }
        let server = self.local_servers.get(member.id.address)?;
        Some(ServerReport::from(&*server))
    }

    /// Starts to ask the node of a backend server for its load; the request is sent when the future is
    /// polled. `None` if the limits on asks forbid it, no connection to that node is open, or it is this
    /// node.
    pub fn start_ask(
        &self,
        now: Timestamp,
        member: &Member,
    ) -> Option<impl Future<Output = Option<ServerReport>> + Send + use<>> {
        if member.id.node == self.node {
            return None;
        }
        let asking = self.peers.ask(member)?;
        let permit = self.load_asks.try_start(now, &member.id)?;
        Some(async move {
            let report = asking.await;
            permit.end(report.is_some());
            report
        })
    }

    /// Sends a call to a backend server: directly if it is local to this node, otherwise through
    /// its own node.
    ///
    /// # Errors
    ///
    /// Returns the reason, and whether the call is proven not to have run.
    pub async fn send(
        self: &Arc<Self>,
        member: &Member,
        delivery: Delivery,
        req: Request<Body>,
    ) -> Result<Response<Body>, CallFailure> {
        if member.id.node == self.node {
            return destination::deliver(self, delivery, req).await;
        }
        self.peers.send(member.peer_address, delivery, req).await
    }
}
