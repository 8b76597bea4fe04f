//! Sends calls to one local backend server within its announced slots and connections.

use std::{
    io::ErrorKind,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{HeaderValue, Request, Response};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout, timeout_at},
};
use trefoillock_core::{
    Announcement, CallRate, HealthPath, MemberState, RefusalReason, RouteClass, Timestamp,
    WorkspaceName,
};
use trefoillock_policy::{
    CompletionEstimate, Demand, Lane, LoadHint, RouteTag, WarmUpPhase, WarmUpProbe, WorkMark,
    WorkspaceId,
};
use trefoillock_process::Clock;

use crate::{
    Body, CallFailure, Crash, DefaultDialect, Dialect, LATE_BODY_TIME, NotExecuted, ResponseKind,
    ServerChange, ServerStatement, StartPermit, WarmUpTable,
    connection::Connection,
    health_probe,
    response_body::ResponseBody,
    slots::{Slot, SlotRefusal, Slots},
    statement_log::StatementLog,
};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The time that an idle connection has to finish its last request before another one is used
/// instead.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// The number of connection attempts that decide whether a process still accepts connections.
const PROBE_ATTEMPTS: u32 = 3;
/// The pause between two of these attempts.
const PROBE_PAUSE: Duration = Duration::from_millis(10);

/// The class, deadline, priority and workspace by which one call is admitted.
#[derive(Debug, Clone)]
pub struct CallLimits {
    /// The route class, which decides how the call is admitted.
    pub class: RouteClass,
    /// The time by which the response must be complete.
    pub deadline: Instant,
    /// The longest time to wait for a slot.
    pub queue_timeout: Duration,
    /// The priority of the call's route; 0 is the highest.
    pub rank: u8,
    /// The time by which the response should be complete to meet the route's target latency; `None`
    /// if only the deadline counts.
    pub objective: Option<Instant>,
    /// The workspace that sent the call; `None` if the call carried no key.
    pub workspace: Option<WorkspaceName>,
    /// The route of the call; `None` if it is not known.
    pub route: Option<RouteTag>,
    /// What must permit the call when it is sent; `None` if nothing must.
    pub permit: Option<Arc<dyn StartPermit>>,
}

/// A local backend server, in one incarnation.
///
/// The calls that run at the same time are limited to the announced slots, and the open connections
/// to the announced connections. Each connection carries one call at a time.
#[derive(Debug)]
pub struct LocalServer {
    announcement: Announcement,
    crashed: AtomicBool,
    clock: Clock,
    dialect: Arc<dyn Dialect>,
    slots: Arc<Slots>,
    idle: Mutex<Vec<Connection>>,
    /// Whether a response of the backend server has been read.
    has_stated: AtomicBool,
    /// Whether the backend server has announced or stated that it leaves.
    leaving: AtomicBool,
    /// Whether the log was last told that the backend server is cold.
    logged_cold: Mutex<bool>,
    /// When the backend server is asked whether it is cold, and the path for that.
    warm_up_probe: Mutex<WarmUpProbe>,
    health_path: Mutex<Option<HealthPath>>,
    statement_log: Arc<StatementLog>,
    /// The expected time of calls, from the pace of work that the backend server states.
    estimate: Mutex<CompletionEstimate>,
}

impl LocalServer {
    /// Creates a backend server without open connections.
    #[must_use]
    pub fn new(announcement: Announcement, clock: Clock) -> Self {
        let slots = Slots::new(clock, announcement.slots, announcement.connections);
        let is_draining = announcement.state == MemberState::Draining;
        slots.set_draining(is_draining);
        Self {
            crashed: AtomicBool::new(false),
            clock,
            dialect: Arc::new(DefaultDialect),
            slots: Arc::new(slots),
            idle: Mutex::new(Vec::new()),
            has_stated: AtomicBool::new(false),
            leaving: AtomicBool::new(is_draining),
            logged_cold: Mutex::new(false),
            warm_up_probe: Mutex::default(),
            health_path: Mutex::default(),
            statement_log: Arc::default(),
            estimate: Mutex::new(CompletionEstimate::new(clock.now())),
            announcement,
        }
    }

    /// Sets the headers that are exchanged with the backend server.
    #[must_use]
    pub fn with_dialect(mut self, dialect: Arc<dyn Dialect>) -> Self {
        self.dialect = dialect;
        self
    }

    /// Sets where the statements of the backend server are counted and logged.
    #[must_use]
    pub(crate) fn with_statement_log(mut self, statement_log: Arc<StatementLog>) -> Self {
        self.statement_log = statement_log;
        self
    }

    /// The announcement that created this value; a later one may have changed the state.
    #[must_use]
    pub const fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// The current load, counted from the calls of this node, with the expected time of a call if the
    /// backend server states its pace of work.
    #[must_use]
    pub fn load_hint(&self) -> LoadHint {
        let mut hint = self.slots.load_hint();
        hint.time = self.estimate().time_hint(self.clock.now(), &hint);
        hint
    }

    fn estimate(&self) -> MutexGuard<'_, CompletionEstimate> {
        self.estimate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether an announcement is of this run, whatever else it says.
    pub(crate) fn is_same_run(&self, next: &Announcement) -> bool {
        let held = &self.announcement;
        held.address == next.address
            && held.service == next.service
            && held.incarnation == next.incarnation
            && held.instance == next.instance
    }

    /// Whether this value can go on with an announcement: nothing but its state differs, and the
    /// process has not crashed.
    pub(crate) fn continues_with(&self, next: &Announcement) -> bool {
        let mut held = self.announcement.clone();
        held.state = next.state;
        held == *next && !self.is_crashed()
    }

    /// Takes over what the same run has stated to another value.
    pub(crate) fn inherit_statements(&self, earlier: &Self) {
        if let Some(limit) = earlier.rate_limit() {
            self.slots.set_rate_limit(Some(limit));
        }
        if earlier.is_leaving() {
            self.set_state(MemberState::Draining);
        }
        self.slots.inherit_warm_up(&earlier.slots);
        *self.lock_logged_cold() = *earlier.lock_logged_cold();
        if earlier.is_crashed() {
            // A process that refused connections and accepts them again has started.
            self.slots
                .update_warm_up(|now, warm_up| warm_up.assume_cold(now));
        }
    }

    /// Counts the second that begins at `at` as used up while the backend server is cold, because
    /// this run of the node does not know which calls were sent before.
    #[must_use]
    pub(crate) fn with_unknown_calls_before(self, at: Timestamp) -> Self {
        self.slots.assume_used(at);
        self
    }

    /// Sets the limit that the pool of the backend server states for cold ones.
    pub(crate) fn set_warm_up(&self, table: &WarmUpTable) {
        let policy = table.get(&self.announcement);
        self.slots
            .update_warm_up(|_, warm_up| warm_up.set_policy(policy));
        let mut health_path = self
            .health_path
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *health_path = table.health_path(&self.announcement);
    }

    /// Records for how long the backend server states to stay cold; `None` if it does not state it.
    /// Until the first statement, a backend server is assumed to be cold for the time that its pool
    /// states.
    pub fn record_warm_up(&self, left: Option<Duration>) {
        if left.is_some() {
            self.lock_warm_up_probe().record_statement(self.clock.now());
        }
        self.update_warm_up(|now, warm_up| warm_up.record_statement(now, left));
    }

    /// Treats the backend server as cold until it states otherwise or the time that its pool states
    /// has passed.
    pub fn assume_cold(&self) {
        self.update_warm_up(|now, warm_up| warm_up.assume_cold(now));
    }

    /// Ends the limit of a backend server that has become warm, and logs whether it is cold.
    pub(crate) fn refresh_warm_up(&self) {
        self.update_warm_up(|_, _| {});
    }

    fn update_warm_up(&self, change: impl FnOnce(Timestamp, &mut WarmUpPhase)) {
        let mut logged_cold = self.lock_logged_cold();
        let warm_up = self.slots.update_warm_up(change);
        let now = self.clock.now();
        let cold_rate = warm_up.cold_rate(now);
        if cold_rate.is_some() == std::mem::replace(&mut *logged_cold, cold_rate.is_some()) {
            return;
        }
        self.record_change(match cold_rate {
            Some(limit) => ServerChange::Cold {
                limit,
                left: warm_up.time_left(now),
            },
            None => ServerChange::Warm,
        });
    }

    /// Asks the backend server whether it is cold if it may have turned so since its last statement
    /// and gets more calls than a cold one takes.
    pub(crate) fn probe_warm_up_if_due(self: &Arc<Self>) {
        let health_path = self
            .health_path
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let Some(path) = health_path.filter(|_| self.slots.exceeds_cold_rate()) else {
            return;
        };
        if self.lock_warm_up_probe().begin(self.clock.now()) {
            tokio::spawn(self.clone().probe_warm_up(path));
        }
    }

    /// Asks the backend server at its health path whether it is cold.
    async fn probe_warm_up(self: Arc<Self>, path: HealthPath) {
        let Some(permit) = self.slots.reserve_connection() else {
            return;
        };
        let probing = health_probe::ask(&*self.dialect, &self.announcement, &path, permit);
        if let Ok(Some(left)) = timeout(CONNECT_TIMEOUT, probing).await {
            self.update_warm_up(|now, warm_up| warm_up.record_probe(now, left));
        }
    }

    fn lock_warm_up_probe(&self) -> MutexGuard<'_, WarmUpProbe> {
        self.warm_up_probe
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_logged_cold(&self) -> MutexGuard<'_, bool> {
        self.logged_cold
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the announced state. A backend server that has begun to leave stays draining.
    pub(crate) fn set_state(&self, state: MemberState) {
        if state == MemberState::Draining {
            self.leaving.store(true, Ordering::Release);
        }
        self.slots.set_draining(self.is_leaving());
    }

    /// Starts or stops refusing calls because the data centre is evacuated.
    pub(crate) fn set_evacuated(&self, evacuated: bool) {
        self.slots.set_evacuated(evacuated);
    }

    /// Refuses calls until the state is set again.
    pub(crate) fn suspend(&self) {
        self.slots.set_draining(true);
    }

    /// Whether the backend server has announced, or said in a response, that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// The limit on the rate of calls that the backend server has stated; `None` if there is none.
    #[must_use]
    pub fn rate_limit(&self) -> Option<CallRate> {
        self.slots.rate_limit()
    }

    /// Applies a limit that the backend server has stated to another run of this node, unless this
    /// run has already read a response of the backend server.
    ///
    /// The limit of the warm-up, which other nodes know as well, is not one that the backend server
    /// has stated, and this node decides about it by itself.
    pub fn inherit_limit(&self, limit: CallRate) {
        if self
            .slots
            .warm_up()
            .policy()
            .is_some_and(|policy| policy.rate == limit)
        {
            return;
        }
        if !self.has_stated.load(Ordering::Acquire) && self.rate_limit().is_none() {
            self.set_limit(Some(limit));
        }
    }

    /// Whether the process refused a connection.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.crashed.load(Ordering::Acquire)
    }

    /// Checks that new calls may be sent.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::Evacuated`] if the data centre is evacuated, and
    /// [`RefusalReason::Draining`] if the backend server drains or its process is gone.
    pub fn check_available(&self) -> Result<(), RefusalReason> {
        if self.slots.is_evacuated() {
            return Err(RefusalReason::Evacuated);
        }
        if self.slots.is_draining() {
            return Err(RefusalReason::Draining);
        }
        if self.is_crashed() {
            return Err(RefusalReason::Draining);
        }
        Ok(())
    }

    /// Sends a call and returns the response once its head has arrived; the body is streamed.
    ///
    /// Dropping the future or the body closes the connection.
    ///
    /// # Errors
    ///
    /// Returns the reason, and whether the call is proven not to have run.
    pub async fn call(
        self: &Arc<Self>,
        req: Request<Body>,
        limits: CallLimits,
    ) -> Result<Response<Body>, CallFailure> {
        self.check_available().map_err(refusal)?;
        let slot = self
            .acquire_slot(&limits)
            .await
            .map_err(|refused| refusal(refused.reason).with_retry_after(refused.retry_after))?;
        self.check_available().map_err(refusal)?;
        let identity = self.dialect.caller_identity(req.headers());
        let conn = self.acquire_connection(&limits, identity.as_ref()).await;
        let conn = conn.map_err(refusal)?;
        // An evacuation may have begun while the connection was opened.
        if self.slots.is_evacuated() {
            self.put_idle(conn);
            return Err(refusal(RefusalReason::Evacuated));
        }

        if let Some(permit) = &limits.permit
            && let Err(refused) = permit.renew().await
        {
            self.put_idle(conn);
            return Err(refusal(refused.reason).with_retry_after(refused.retry_after));
        }
        self.exchange(conn, req, &limits, slot).await
    }

    /// Waits for a slot until `limits.queue_timeout` or the deadline has passed.
    async fn acquire_slot(&self, limits: &CallLimits) -> Result<Slot, SlotRefusal> {
        let (now, instant) = (self.clock.now(), Instant::now());
        let at = |time: Instant| now + time.saturating_duration_since(instant);
        let demand = Demand {
            class: limits.class,
            rank: limits.rank,
            deadline: at(limits.deadline),
            objective: limits.objective.map(at),
            workspace: limits.workspace.as_ref().map(WorkspaceId::from),
            route: limits.route,
        };
        let acquiring = self.slots.acquire(demand, limits.queue_timeout);
        let acquired = timeout_at(limits.deadline, acquiring).await;
        acquired.unwrap_or_else(|_| Err(RefusalReason::Deadline.into()))
    }

    /// Takes an idle connection on which no call with this identity of its caller was refused, or opens
    /// a new one.
    async fn acquire_connection(
        &self,
        limits: &CallLimits,
        caller_identity: Option<&HeaderValue>,
    ) -> Result<Connection, RefusalReason> {
        while let Some(mut conn) = self.pop_idle(caller_identity) {
            let ready = timeout(READY_TIMEOUT, conn.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(conn);
            }
        }
        let permit = self.slots.reserve_connection();
        let permit = permit.ok_or(RefusalReason::Overloaded)?;
        let until = limits.deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let opening = Connection::open(self.announcement.address, permit);
        match timeout_at(until, opening).await {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                self.crashed.store(true, Ordering::Release);
                Err(RefusalReason::Draining)
            }
            Err(_) if until == limits.deadline => Err(RefusalReason::Deadline),
            Ok(Err(_)) | Err(_) => {
                self.lock_warm_up_probe().record_unreachable();
                Err(RefusalReason::Unreachable)
            }
        }
    }

    fn pop_idle(&self, caller_identity: Option<&HeaderValue>) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        idle.retain(|conn| {
            !conn.sender.is_closed() && now.duration_since(conn.idle_since) < IDLE_TIMEOUT
        });
        let is_usable = |conn: &Connection| caller_identity.is_none_or(|id| !conn.has_refused(id));
        let last_usable = idle.iter().rposition(is_usable)?;
        Some(idle.remove(last_usable))
    }

    /// Adds a connection whose response is complete to the idle connections.
    pub(crate) fn put_idle(&self, mut conn: Connection) {
        conn.idle_since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(conn);
    }

    /// Sends the request on the connection and waits for the head of the response.
    async fn exchange(
        self: &Arc<Self>,
        mut conn: Connection,
        mut req: Request<Body>,
        limits: &CallLimits,
        slot: Slot,
    ) -> Result<Response<Body>, CallFailure> {
        let left = limits.deadline.saturating_duration_since(Instant::now());
        let caller_identity = self.dialect.caller_identity(req.headers());
        let expected = self.dialect.write_request_headers(
            req.headers_mut(),
            &self.announcement,
            left,
            limits.workspace.as_ref(),
        );
        let before = conn.bytes_written();
        let sent_at = Instant::now();
        conn.start_call(limits.deadline + LATE_BODY_TIME, slot);
        let mark = self.estimate().mark(self.clock.now());
        let answer = timeout_at(limits.deadline, conn.sender.try_send_request(req)).await;
        let reason = match answer {
            Ok(Ok(resp)) => {
                conn.end_head();
                let kind = Lane::new(limits.rank, limits.class);
                self.lock_warm_up_probe()
                    .record_answer(kind, sent_at.elapsed());
                let (head, body) = resp.into_parts();
                let kind = self.dialect.classify_response(expected.as_ref(), &head);
                if kind != ResponseKind::Mismatched
                    && let Some(statement) = self.dialect.read_statement(&head)
                {
                    self.apply_statement(&statement);
                }
                if kind == ResponseKind::Answer && !head.status.is_server_error() {
                    self.record_service(mark);
                }
                return match kind {
                    ResponseKind::Answer => {
                        let body = ResponseBody::new(body, conn, self.clone()).boxed();
                        Ok(Response::from_parts(head, body))
                    }
                    ResponseKind::DidNotRun | ResponseKind::DidNotRunUnidentified => {
                        let is_identified = kind == ResponseKind::DidNotRun;
                        // A copy of a refusal that does not say which call it belongs to would be
                        // believed for the next one.
                        if conn.record_refusal(caller_identity) && is_identified {
                            // Dropping the unread body closes the connection unless the body is
                            // already complete.
                            drop(ResponseBody::new(body, conn, self.clone()));
                        } else {
                            drop(conn);
                        }
                        let proof = NotExecuted::refused_by_peer();
                        let reason = RefusalReason::RefusedByServer;
                        Err(CallFailure::did_not_run(reason, proof))
                    }
                    ResponseKind::Mismatched => {
                        conn.close().await;
                        Err(CallFailure::may_have_run(RefusalReason::SpoiledAnswer))
                    }
                };
            }
            Ok(Err(error)) if error.error().is_parse() || conn.is_head_too_long() => {
                RefusalReason::SpoiledAnswer
            }
            Ok(Err(_)) => RefusalReason::ConnectionLost,
            Err(_) => RefusalReason::Deadline,
        };
        if conn.close().await == before {
            let proof = NotExecuted::nothing_written();
            return Err(CallFailure::did_not_run(reason, proof));
        }
        let crash = match reason {
            RefusalReason::ConnectionLost => self.probe().await,
            _ => Crash::No,
        };
        Err(CallFailure::may_have_run(reason).with_crash(crash))
    }

    /// Applies what the backend server says about itself. A statement that cannot be read changes
    /// nothing.
    fn apply_statement(&self, statement: &ServerStatement) {
        match statement.limit {
            Ok(limit) => {
                self.has_stated.store(true, Ordering::Release);
                self.set_limit(limit);
            }
            Err(invalid) => self.record_change(ServerChange::Invalid(invalid)),
        }
        match statement.leaving {
            Ok(true) => {
                if !self.leaving.swap(true, Ordering::AcqRel) {
                    self.slots.set_draining(true);
                    self.record_change(ServerChange::Leaving);
                }
            }
            Ok(false) => {}
            Err(invalid) => self.record_change(ServerChange::Invalid(invalid)),
        }
        match statement.load {
            Ok(load) => {
                if let Some(pace) = load.and_then(|load| load.pace) {
                    self.estimate().record_pace(self.clock.now(), pace);
                }
            }
            Err(invalid) => self.record_change(ServerChange::Invalid(invalid)),
        }
    }

    /// Counts the service time of an answered call. A server error says nothing about the work of a call.
    fn record_service(&self, mark: WorkMark) {
        self.estimate().record_service(self.clock.now(), mark);
    }

    fn set_limit(&self, limit: Option<CallRate>) {
        let previous = self.slots.set_rate_limit(limit);
        if previous != limit {
            self.record_change(ServerChange::Limit { limit, previous });
        }
    }

    fn record_change(&self, change: ServerChange) {
        let (now, address) = (self.clock.now(), self.announcement.address);
        self.statement_log.record(now, address, change);
    }

    /// Checks whether the process still accepts connections after one was lost.
    ///
    /// A process that is terminating may still accept a connection for a moment, so several are
    /// tried.
    pub async fn probe(&self) -> Crash {
        for attempt in 0..PROBE_ATTEMPTS {
            if attempt > 0 {
                sleep(PROBE_PAUSE).await;
            }
            let opening = TcpStream::connect(self.announcement.address);
            if matches!(timeout(CONNECT_TIMEOUT, opening).await, Ok(Err(_))) {
                self.crashed.store(true, Ordering::Release);
                return Crash::Yes;
            }
        }
        Crash::No
    }
}

/// The failure of a call of which no byte was written.
const fn refusal(reason: RefusalReason) -> CallFailure {
    CallFailure::did_not_run(reason, NotExecuted::nothing_written())
}
