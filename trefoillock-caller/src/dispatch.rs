//! Runs the attempts of a call: choice of a backend server, retries and hedges.

use std::{sync::Arc, time::Duration};

use futures::future::{Either, select};
use http::{Request, Response};
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep, timeout_at};
use trefoillock_backend::{Body, CallFailure, Crash, Execution};
use trefoillock_core::{
    CrashReport, Member, RefusalReason, RouteClass, ServerId, Timestamp, Workspace,
};
use trefoillock_node::{
    CallLine, Delivery, NodeContext, QuotaToken, SentToken, ServerReport, random_u32,
};
use trefoillock_policy::{Attempt, Lane, QuotaRefusal, RetryDecision, RouteTag, SentState};

use crate::{
    ask_loads::ask_loads,
    attempt_tracker::{AttemptTracker, TrackedBody},
    call::Call,
    combine_failures::combine,
    pool_state::PoolState,
    replayable_request::ReplayableRequest,
    responses::refusal,
    route_state::RouteState,
    server_attempts::LimitedServer,
};

/// The number of backend servers of a new version that are asked whether it may get the call.
const MAX_LIMITED_ATTEMPTS: u32 = 2;

/// The attempts of one call, with the combined failure of those that have ended.
pub(crate) struct Dispatch {
    pub(crate) cx: Arc<NodeContext>,
    pub(crate) call: Arc<Call>,
    pub(crate) pool: Arc<PoolState>,
    pub(crate) route: Arc<RouteState>,
    /// The old versions, while the call may still be moved to them.
    old_versions: Option<Arc<PoolState>>,
    tried: Vec<ServerId>,
    attempts: u32,
    sends: u32,
    failure: Option<CallFailure>,
    /// The token of the workspace's quota for the next attempt.
    token: Option<QuotaToken>,
}

impl Dispatch {
    pub(crate) const fn new(
        cx: Arc<NodeContext>,
        call: Arc<Call>,
        pool: Arc<PoolState>,
        route: Arc<RouteState>,
    ) -> Self {
        Self {
            cx,
            call,
            pool,
            route,
            old_versions: None,
            tried: Vec::new(),
            attempts: 0,
            sends: 0,
            failure: None,
            token: None,
        }
    }

    /// Sets the pool that takes the call if the new version of its service may get no more calls.
    pub(crate) fn with_old_versions(mut self, old_versions: Option<Arc<PoolState>>) -> Self {
        self.old_versions = old_versions;
        self
    }

    /// Sends a call until an attempt is answered or no retry is allowed.
    pub(crate) async fn run(
        &mut self,
        req: &mut ReplayableRequest,
    ) -> Result<Response<Body>, CallFailure> {
        if !req.is_fully_buffered() {
            // It could not be sent again if the new version may get no more calls.
            self.move_to_old_versions();
        }
        loop {
            if let Some(wait) = self.refusal_wait() {
                self.record_limited_server();
                let limited = refusal(RefusalReason::RateLimited).with_retry_after(Some(wait));
                return Err(combine(self.failure.take(), limited));
            }
            if let Err(failure) = self.take_token().await {
                return Err(combine(self.failure.take(), failure));
            }
            if let Err(reason) = self.cx.check_cut(self.call.stated_deadline) {
                return Err(combine(self.failure.take(), refusal(reason)));
            }
            let Some(tracker) = self.start_attempt() else {
                if self.sends == 0 && self.move_to_old_versions() {
                    continue;
                }
                let failure = self.failure.take();
                return Err(failure.unwrap_or_else(|| refusal(self.reason_without_server())));
            };
            let hedges = self.cx.call_settings().hedges && self.attempts == 1;
            let result = if hedges && req.is_fully_buffered() {
                self.run_hedged(tracker, req).await
            } else {
                let token = self.send_token();
                let expires = token.as_ref().map(SentToken::expires);
                let sending =
                    send_attempt(&self.cx, &self.call, tracker, req.next_request(), expires);
                let result = sending.await;
                self.recover_token(token, &result);
                result
            };
            match result {
                Ok(resp) => {
                    if resp.status().is_server_error()
                        && req.can_send()
                        && self.retries_server_error()
                        && self.take_token().await.is_ok()
                    {
                        continue;
                    }
                    self.pool.deposit();
                    return Ok(resp);
                }
                Err(failure) if self.is_over_allowance(&failure) => {
                    self.log_retry(self.cx.clock().now(), &failure);
                    let has_other = self.pool.has_untried(&self.tried);
                    if self.attempts >= MAX_LIMITED_ATTEMPTS || !has_other {
                        self.move_to_old_versions();
                    }
                }
                Err(failure) => {
                    if failure.reason() == RefusalReason::Evacuated {
                        self.exclude_data_centre_of_last();
                    }
                    let retries = self.decide_retry(&failure) && req.can_send();
                    let combined = combine(self.failure.take(), failure);
                    if !retries {
                        return Err(combined);
                    }
                    if self.is_quarantined() {
                        return Err(combined);
                    }
                    self.failure = Some(combined);
                }
            }
        }
    }

    /// Takes a token of the quota of the call's workspace, if it has one, for the next attempt. A
    /// token is kept until an attempt may have reached a backend server.
    pub(crate) async fn take_token(&mut self) -> Result<(), CallFailure> {
        if self.token.as_ref().is_some_and(QuotaToken::is_valid) {
            return Ok(());
        }
        self.token = take_token(&self.cx, &self.call).await?;
        Ok(())
    }

    /// Uses the token for an attempt.
    fn send_token(&mut self) -> Option<SentToken> {
        self.token.take().map(QuotaToken::send)
    }

    /// Takes back the token of an attempt that reached no backend server.
    fn recover_token(
        &mut self,
        token: Option<SentToken>,
        result: &Result<Response<Body>, CallFailure>,
    ) {
        let is_unused = |failure: &CallFailure| !failure.may_have_reached_server();
        if result.as_ref().is_err_and(is_unused) {
            self.token = token.map(SentToken::recover);
        }
    }

    /// Whether the new version of the service may get no more calls, and the old ones can take the call.
    fn is_over_allowance(&self, failure: &CallFailure) -> bool {
        failure.reason() == RefusalReason::AllowanceSpent
            && self.sends == 0
            && self.old_versions.is_some()
    }

    /// Goes on with the old versions of the service, unless the call is there already. No backend server must have
    /// received the call.
    fn move_to_old_versions(&mut self) -> bool {
        let Some(pool) = self.old_versions.take() else {
            return false;
        };
        self.call = Arc::new(self.call.moved_to_old_versions());
        self.pool = pool;
        self.tried.clear();
        self.attempts = 0;
        self.failure = None;
        true
    }

    /// Excludes the data centre of the last backend server, which is evacuated, from further attempts.
    /// This node has not received the order yet.
    fn exclude_data_centre_of_last(&mut self) {
        if let Some(last) = self.tried.last() {
            let beside = self.pool.servers_beside(last);
            self.tried.extend(beside);
        }
    }

    /// Why the call is refused if the pool has no backend server for it.
    fn reason_without_server(&self) -> RefusalReason {
        if self.cx.view().has_evacuated_servers(&self.call.pool) {
            RefusalReason::Evacuated
        } else {
            RefusalReason::NoServer
        }
    }

    /// The time until there is room if all backend servers that were not tried are known to refuse
    /// the call because of their limits on the rate.
    fn refusal_wait(&self) -> Option<Duration> {
        let now = self.cx.clock().now();
        self.pool.refusal_wait(now, lane(&self.call), &self.tried)
    }

    /// Records for the log which limit ended the call.
    fn record_limited_server(&self) {
        let now = self.cx.clock().now();
        let next = self.pool.next_with_room(now, lane(&self.call), &self.tried);
        if let Some(member) = next
            && let Some(known) = self.cx.view().known_limit(&member)
        {
            self.call.server_attempts.record_limited(LimitedServer {
                server: member.id.clone(),
                limit: known.rate,
            });
        }
    }

    /// Chooses a backend server that was not tried, and counts the start of an attempt.
    fn start_attempt(&mut self) -> Option<AttemptTracker> {
        let now = self.cx.clock().now();
        let random = u64::from(random_u32()) << 32 | u64::from(random_u32());
        let class = self.call.route.class;
        let objective = self.call.objective;
        let objective = objective.map(|at| at.saturating_duration_since(Instant::now()));
        let pool = &self.pool;
        let member = pool.start_attempt(now, random, class, objective, &self.tried)?;
        self.call.server_attempts.record(&member.id);
        self.tried.push(member.id.clone());
        self.attempts += 1;
        if self.attempts == 1 {
            ask_loads(&self.cx, pool);
        }
        let (clock, lane) = (*self.cx.clock(), lane(&self.call));
        Some(AttemptTracker::new(clock, self.pool.clone(), member, lane))
    }

    /// Sends the first attempt, and a second one if the first is not answered within the hedge
    /// delay of the route.
    async fn run_hedged(
        &mut self,
        tracker: AttemptTracker,
        req: &mut ReplayableRequest,
    ) -> Result<Response<Body>, CallFailure> {
        let now = self.cx.clock().now();
        let delay = self.route.start_call(now, self.call.route.class);
        let (cx, call) = (self.cx.clone(), self.call.clone());
        let token = self.send_token();
        let expires = token.as_ref().map(SentToken::expires);
        let first = send_attempt(&cx, &call, tracker, req.next_request(), expires);
        let mut first = std::pin::pin!(first);
        let unhedged = match delay {
            Some(delay) => match select(first.as_mut(), std::pin::pin!(sleep(delay))).await {
                Either::Left((result, _)) => Some(result),
                Either::Right(((), _)) => None,
            },
            None => Some(first.as_mut().await),
        };
        if let Some(result) = unhedged {
            self.recover_token(token, &result);
            return self.record_unhedged(result);
        }
        let Some((second, second_token)) = self.start_hedge() else {
            let result = first.await;
            self.recover_token(token, &result);
            return self.record_unhedged(result);
        };
        let second = send_attempt(
            &cx,
            &call,
            second,
            req.next_request(),
            second_token.as_ref().map(SentToken::expires),
        );
        let second = std::pin::pin!(second);
        let result = match select(first, second).await {
            Either::Left((Err(failure), other)) => {
                other.await.map_err(|later| combine(Some(failure), later))
            }
            Either::Right((Err(failure), other)) => {
                other.await.map_err(|later| combine(Some(failure), later))
            }
            Either::Left((answer, _)) | Either::Right((answer, _)) => answer,
        };
        self.recover_token(token, &result);
        result
    }

    /// Starts a second attempt if the route's budget of hedges and the quota of the workspace allow
    /// it. It never waits for a token.
    fn start_hedge(&mut self) -> Option<(AttemptTracker, Option<SentToken>)> {
        if !self.route.withdraw_hedge() {
            return None;
        }
        let token = match limited_workspace(&self.call) {
            Some(workspace) => {
                let (quotas, view) = (self.cx.quotas(), self.cx.view());
                Some(quotas.take_held(view, &workspace.name)?)
            }
            None => None,
        };
        let tracker = self.start_attempt()?;
        Some((tracker, token.map(QuotaToken::send)))
    }

    /// Records the latency of a call that was not hedged.
    fn record_unhedged(
        &self,
        result: Result<Response<Body>, CallFailure>,
    ) -> Result<Response<Body>, CallFailure> {
        if result.is_ok() {
            let now = self.cx.clock().now();
            self.route.record_latency(now, self.call.arrived.elapsed());
        }
        result
    }

    /// Whether a call that was answered with a server error is sent to another backend server.
    ///
    /// This applies only to calls that may run twice, and only if there is another backend server.
    fn retries_server_error(&mut self) -> bool {
        let failure = CallFailure::may_have_run(RefusalReason::ServerError);
        self.cx.call_settings().repeats_errors
            && self.pool.has_untried(&self.tried)
            && self.decide_retry(&failure)
    }

    fn decide_retry(&mut self, failure: &CallFailure) -> bool {
        self.sends += u32::from(failure.may_have_reached_server());
        if failure.reason() == RefusalReason::LinkFull && !self.has_untried_beside_last() {
            return false;
        }
        let now = self.cx.clock().now();
        let left = self.call.time_left();
        let attempt = Attempt {
            class: self.call.route.class,
            sent: match failure.execution() {
                Execution::DidNotRun(_) => SentState::NotSent,
                Execution::Unknown => SentState::MayBeSent,
            },
            outcome: failure.outcome(),
            reason: failure.reason(),
            attempts: self.attempts,
            sends: self.sends,
            max_sends: self.call.route.max_attempts,
            deadline: now + left,
        };
        let retries = self.pool.decide_retry(now, &attempt) == RetryDecision::Retry;
        if retries {
            self.log_retry(now, failure);
        }
        retries
    }

    /// Whether the data centre of the last backend server has another one that was not tried.
    ///
    /// A large response that does not fit on the links of one data centre would fill those between
    /// data centres. Its caller comes back when there is room.
    fn has_untried_beside_last(&self) -> bool {
        let last = self.tried.last();
        last.is_some_and(|last| self.pool.has_untried_beside(last, &self.tried))
    }

    fn log_retry(&self, now: Timestamp, failure: &CallFailure) {
        self.cx.call_log().write(now, CallLine::Retried, || {
            let attempts = self.call.server_attempts();
            let mut fields = vec![
                ("request", self.call.id.clone()),
                ("route", self.call.route.name.to_string()),
                ("server", attempts.last_or_dash()),
                ("reason", failure.reason().as_str().to_owned()),
                ("attempts", attempts.count().to_string()),
                (
                    "millis",
                    self.call.arrived.elapsed().as_millis().to_string(),
                ),
            ];
            fields.extend(self.call.workspace_field());
            fields
        });
    }

    /// Whether the call was quarantined for crashing backend servers after it was admitted.
    fn is_quarantined(&self) -> bool {
        let now = self.cx.clock().now();
        self.cx.view().is_quarantined(now, self.call.fingerprint)
    }
}

/// Sends a call to one backend server and tracks the attempt until the body of its response ends.
pub(crate) async fn send_attempt(
    cx: &Arc<NodeContext>,
    call: &Call,
    mut tracker: AttemptTracker,
    req: Request<Body>,
    token_expires: Option<Timestamp>,
) -> Result<Response<Body>, CallFailure> {
    let member = tracker.member().clone();
    if cx.view().has_left(&member) {
        let failure = refusal(RefusalReason::Draining);
        tracker.record_failure(&failure);
        return Err(failure);
    }
    let delivery = delivery(call, &member)
        .with_known_limit(cx.view().known_limit(&member))
        .with_token(token_expires);
    match cx.send(&member, delivery, req).await {
        Ok(mut resp) => {
            let report = resp.extensions_mut().remove::<ServerReport>();
            if let Some(report) = &report {
                cx.view().record_report(&member, report);
            }
            let hint = report.map(|report| report.load);
            tracker.record_head(hint, resp.status().is_server_error());
            Ok(resp.map(|body| TrackedBody::new(body, tracker).boxed_unsync()))
        }
        Err(failure) => {
            if failure.crash() == Crash::Yes {
                let report = CrashReport {
                    fingerprint: call.fingerprint,
                    server: member.id.clone(),
                    incarnation: member.announcement.incarnation,
                };
                cx.view().record_crash(cx.clock().now(), &report);
            }
            tracker.record_failure(&failure);
            Err(failure)
        }
    }
}

/// The workspace of a call if it has a quota.
fn limited_workspace(call: &Call) -> Option<&Workspace> {
    let workspace = call.workspace.as_deref();
    workspace.filter(|workspace| workspace.quota.is_some())
}

/// Takes a token of the quota of a call's workspace; `None` if it needs none.
pub(crate) async fn take_token(
    cx: &Arc<NodeContext>,
    call: &Call,
) -> Result<Option<QuotaToken>, CallFailure> {
    let Some(workspace) = limited_workspace(call) else {
        return Ok(None);
    };
    let taking = cx.quotas().take(cx.view(), &workspace.name);
    match timeout_at(call.deadline, taking).await {
        Ok(Ok(token)) => Ok(Some(token)),
        Ok(Err(refused)) => {
            let retry_after = match refused {
                QuotaRefusal::Exceeded(wait) => Some(spread(wait)),
                QuotaRefusal::Unavailable => None,
            };
            Err(refusal(refused.reason()).with_retry_after(retry_after))
        }
        Err(_) => Err(refusal(RefusalReason::Deadline)),
    }
}

/// Lengthens a wait by up to a half, so that the callers of one workspace do not return at once.
fn spread(wait: Duration) -> Duration {
    wait + wait.mul_f64(f64::from(random_u32()) / f64::from(u32::MAX) / 2.0)
}

/// The lane in which a call waits at a destination node.
pub(crate) fn lane(call: &Call) -> Lane {
    Lane::new(call.priority(), call.route.class)
}

fn delivery(call: &Call, member: &Member) -> Delivery {
    let pool = &call.pool;
    let queue_timeout = Duration::from_millis(u64::from(pool.policy.queue_ms));
    let announced = &member.announcement;
    Delivery::new(
        &member.id,
        announced.service.clone(),
        announced.version.clone(),
    )
    .with_request(call.route.class, call.fingerprint)
    .with_limits(call.deadline, queue_timeout)
    .with_priority(call.priority(), call.objective)
    .with_rollout(call.rollout)
    .with_workspace(call.workspace_name().cloned())
    .with_route(RouteTag::from(&call.route.name))
}

/// Whether responses to calls of a class are resumed after they were cut off.
pub(crate) const fn is_resumable_class(class: RouteClass) -> bool {
    matches!(class, RouteClass::Export)
}
