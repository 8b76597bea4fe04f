//! The attempts of a call: choice of a backend server, retries and hedges.

use std::{sync::Arc, time::Duration};

use futures::future::{Either, select};
use http::{Request, Response};
use http_body_util::BodyExt;
use tokio::time::sleep;
use trefoillock_backend::{Body, CallFailure, Crash, Execution};
use trefoillock_core::{CrashReport, Member, RefusalReason, RouteClass, ServerId, Timestamp};
use trefoillock_node::{CallLine, Delivery, NodeContext, draw};
use trefoillock_policy::{Attempt, LoadHint, RetryDecision, SentState};

use crate::{
    answer::refuse,
    call::Call,
    failures::join,
    flight::{Flight, FlightBody},
    pool_state::PoolState,
    replay::Replay,
    route_state::RouteState,
};

/// The attempts of one call.
pub(crate) struct Dispatch {
    pub(crate) cx: Arc<NodeContext>,
    pub(crate) call: Arc<Call>,
    pub(crate) pool: Arc<PoolState>,
    pub(crate) route: Arc<RouteState>,
    tried: Vec<ServerId>,
    attempts: u32,
    sends: u32,
    failure: Option<CallFailure>,
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
            tried: Vec::new(),
            attempts: 0,
            sends: 0,
            failure: None,
        }
    }

    /// Sends a call until it is answered or given up.
    pub(crate) async fn run(&mut self, req: &mut Replay) -> Result<Response<Body>, CallFailure> {
        loop {
            let Some(flight) = self.start() else {
                let none = || refuse(RefusalReason::NoServer);
                return Err(self.failure.take().unwrap_or_else(none));
            };
            let hedges = self.cx.calls().hedges && self.attempts == 1;
            let result = if hedges && req.is_whole() {
                self.hedged(flight, req).await
            } else {
                attempt(&self.cx, &self.call, flight, req.request()).await
            };
            match result {
                Ok(resp) => {
                    if resp.status().is_server_error() && req.can_send() && self.is_repeated() {
                        continue;
                    }
                    self.pool.deposit();
                    return Ok(resp);
                }
                Err(failure) => {
                    let again = self.is_retried(&failure) && req.can_send();
                    let joined = join(self.failure.take(), failure);
                    if !again {
                        return Err(joined);
                    }
                    if self.is_quarantined() {
                        return Err(joined);
                    }
                    self.failure = Some(joined);
                }
            }
        }
    }

    /// Chooses a backend server that was not tried and counts the start of an attempt.
    fn start(&mut self) -> Option<Flight> {
        let now = self.cx.clock().now();
        let draw = u64::from(draw()) << 32 | u64::from(draw());
        let class = self.call.route.class;
        let member = self.pool.start(now, draw, class, &self.tried)?;
        self.call.shared_tried.choose(&member.id);
        self.tried.push(member.id.clone());
        self.attempts += 1;
        Some(Flight::new(*self.cx.clock(), self.pool.clone(), member))
    }

    /// Sends the first attempt, and a second one if the first takes longer than most.
    async fn hedged(
        &mut self,
        flight: Flight,
        req: &mut Replay,
    ) -> Result<Response<Body>, CallFailure> {
        let now = self.cx.clock().now();
        let delay = self.route.start(now, self.call.route.class);
        let (cx, call) = (self.cx.clone(), self.call.clone());
        let first = std::pin::pin!(attempt(&cx, &call, flight, req.request()));
        let first = match delay {
            Some(delay) => match select(first, std::pin::pin!(sleep(delay))).await {
                Either::Left((result, _)) => return self.unhedged(result),
                Either::Right(((), first)) => first,
            },
            None => return self.unhedged(first.await),
        };
        let second = if self.route.withdraw() {
            self.start()
        } else {
            None
        };
        let Some(second) = second else {
            return self.unhedged(first.await);
        };
        let second = std::pin::pin!(attempt(&cx, &call, second, req.request()));
        match select(first, second).await {
            Either::Left((Err(failure), other)) => {
                other.await.map_err(|later| join(Some(failure), later))
            }
            Either::Right((Err(failure), other)) => {
                other.await.map_err(|later| join(Some(failure), later))
            }
            Either::Left((answer, _)) | Either::Right((answer, _)) => answer,
        }
    }

    /// Counts the latency of a call that was not hedged.
    fn unhedged(
        &self,
        result: Result<Response<Body>, CallFailure>,
    ) -> Result<Response<Body>, CallFailure> {
        if result.is_ok() {
            let now = self.cx.clock().now();
            self.route.answered(now, self.call.arrived.elapsed());
        }
        result
    }

    /// Whether a call that a backend server answered with an error is sent to another one.
    ///
    /// Only a call that may run twice is, and only if there is another backend server.
    fn is_repeated(&mut self) -> bool {
        let failure = CallFailure::may_have_run(RefusalReason::ServerError);
        self.cx.calls().repeats_errors
            && self.pool.has_other(&self.tried)
            && self.is_retried(&failure)
    }

    fn is_retried(&mut self, failure: &CallFailure) -> bool {
        self.sends += u32::from(is_sent(failure));
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
        let is_retried = self.pool.retry(now, &attempt) == RetryDecision::Retry;
        if is_retried {
            self.log_retry(now, failure);
        }
        is_retried
    }

    fn log_retry(&self, now: Timestamp, failure: &CallFailure) {
        self.cx.call_log().write(now, CallLine::Retried, || {
            let tried = self.call.tried();
            vec![
                ("request", self.call.id.clone()),
                ("route", self.call.route.name.to_string()),
                ("server", tried.last()),
                ("reason", failure.reason().as_str().to_owned()),
                ("attempts", tried.count().to_string()),
                (
                    "millis",
                    self.call.arrived.elapsed().as_millis().to_string(),
                ),
            ]
        });
    }

    /// Whether the call was found to crash backend servers since it was admitted.
    fn is_quarantined(&self) -> bool {
        let now = self.cx.clock().now();
        self.cx.view().refuses(now, self.call.fingerprint)
    }
}

/// Sends a call to one backend server.
pub(crate) async fn attempt(
    cx: &Arc<NodeContext>,
    call: &Call,
    mut flight: Flight,
    req: Request<Body>,
) -> Result<Response<Body>, CallFailure> {
    let member = flight.member().clone();
    match cx.send(&member, delivery(call, &member), req).await {
        Ok(mut resp) => {
            let hint = resp.extensions_mut().remove::<LoadHint>();
            flight.head(hint, resp.status().is_server_error());
            Ok(resp.map(|body| FlightBody::new(body, flight).boxed_unsync()))
        }
        Err(failure) => {
            if failure.crash() == Crash::Yes {
                let report = CrashReport {
                    fingerprint: call.fingerprint,
                    server: member.id.clone(),
                    incarnation: member.announcement.incarnation,
                };
                cx.view().saw_crash(cx.clock().now(), &report);
            }
            flight.fail(&failure);
            Err(failure)
        }
    }
}

/// Whether a backend server received the call, or may have.
const fn is_sent(failure: &CallFailure) -> bool {
    matches!(failure.execution(), Execution::Unknown)
        || matches!(failure.reason(), RefusalReason::RefusedByServer)
}

fn delivery(call: &Call, member: &Member) -> Delivery {
    let pool = &call.pool;
    let queue = Duration::from_millis(u64::from(pool.policy.queue_ms));
    let announced = &member.announcement;
    Delivery::new(
        &member.id,
        announced.service.clone(),
        announced.version.clone(),
    )
    .request(call.route.class, call.fingerprint)
    .limits(call.deadline, queue)
    .urgency(call.route.priority, call.objective)
}

/// Whether calls of a class are resumed after their answer was cut.
pub(crate) const fn is_resumed(class: RouteClass) -> bool {
    matches!(class, RouteClass::Export)
}
