//! Delivery of a call to a local backend server, at the destination node.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, Request, Response, header};
use http_body_util::BodyExt;
use tokio::time::Instant;
use trefoillock_backend::{
    Body, BodyError, CallFailure, CallLimits, Crash, DeadlineBody, Execution, LocalServer,
    NotExecuted, StartPermit,
};
use trefoillock_core::{CrashReport, RefusalReason, RouteClass, ServerId, Timestamp};
use trefoillock_policy::AllowanceSpent;

use crate::{
    CallLine, Delivery, NodeContext, ServerReport, boot_time, detached_body::detach_body,
    headers::header_text, link_pacer::LinkPermit, quotas::StartCheck,
    start_conditions::StartConditions, strip_hop_by_hop, strip_internal, watched_body::WatchedBody,
};

/// The time within which a restart of a backend server counts as the cause of a lost connection.
const RESTART_WINDOW: Duration = Duration::from_secs(5);

/// Sends a call to a local backend server.
///
/// A posting that was sent runs to its end, even if the caller has disconnected. Any other call is
/// cancelled by dropping the future or the body.
pub(crate) async fn deliver(
    cx: &Arc<NodeContext>,
    delivery: Delivery,
    mut req: Request<Body>,
) -> Result<Response<Body>, CallFailure> {
    let id = cx.call_log().id(req.headers()).to_owned();
    let arrived = Instant::now();
    let server = find_server(cx, &delivery).inspect_err(|failure| {
        log_failure(cx, &id, &delivery, failure, None, arrived);
    })?;
    charge_rollout(cx, &delivery).inspect_err(|failure| {
        log_failure(cx, &id, &delivery, failure, None, arrived);
    })?;
    if let Some(known) = delivery.known_limit
        && known.incarnation == server.announcement().incarnation
    {
        server.inherit_limit(known.rate);
    }
    strip_hop_by_hop(req.headers_mut());
    strip_internal(req.headers_mut());
    req.headers_mut().remove(header::EXPECT);
    *req.version_mut() = http::Version::HTTP_11;
    if delivery.class != RouteClass::Posting || !cx.call_settings().detached_postings {
        return exchange(cx.clone(), server, id, delivery, req).await;
    }
    let tasks = cx.tasks().clone();
    let running = tasks.spawn(exchange(cx.clone(), server, id, delivery, req));
    let Ok(result) = running.await else {
        return Err(CallFailure::may_have_run(RefusalReason::ConnectionLost));
    };
    result.map(|resp| {
        let length = header_text(resp.headers(), "content-length");
        let length = length.and_then(|text| text.parse().ok());
        resp.map(|body| detach_body(body, length, &tasks))
    })
}

/// Refuses a call of another node that may not be complete when this node, which stops, cuts it.
pub(crate) fn admit_before_cut(
    cx: &NodeContext,
    headers: &HeaderMap,
    delivery: &Delivery,
) -> Result<(), CallFailure> {
    if !cx.may_cut(delivery.deadline) {
        return Ok(());
    }
    let proof = NotExecuted::nothing_written();
    let failure = CallFailure::did_not_run(RefusalReason::Draining, proof);
    let id = cx.call_log().id(headers);
    log_failure(cx, id, delivery, &failure, None, Instant::now());
    Err(failure)
}

/// Admits a call of another node to the link of this VM. `None` if its rate is not known.
pub(crate) fn admit_to_link(
    cx: &NodeContext,
    headers: &HeaderMap,
    delivery: &Delivery,
) -> Result<Option<LinkPermit>, CallFailure> {
    let Some(link) = cx.link() else {
        return Ok(None);
    };
    let admitted = link.admit(&delivery.demand(cx.clock()));
    admitted.map(Some).map_err(|retry_after| {
        let proof = NotExecuted::nothing_written();
        let failure = CallFailure::did_not_run(RefusalReason::LinkFull, proof)
            .with_retry_after(Some(retry_after));
        let id = cx.call_log().id(headers);
        log_failure(cx, id, delivery, &failure, None, Instant::now());
        failure
    })
}

/// Finds the backend server that a call is sent to. One that has lost its lease, or now belongs to
/// another service or version, counts as draining, and so do all while the node awaits its
/// configuration.
fn find_server(cx: &NodeContext, delivery: &Delivery) -> Result<Arc<LocalServer>, CallFailure> {
    let is_ready = !cx.call_settings().awaits_config || cx.view().config().is_some();
    let server = cx.local_servers().get(delivery.address);
    let server = server.filter(|_| is_ready);
    let is_current = |server: &Arc<LocalServer>| {
        let announced = server.announcement();
        announced.service == delivery.service && announced.version == delivery.version
    };
    server.filter(is_current).ok_or_else(|| {
        CallFailure::did_not_run(RefusalReason::Draining, NotExecuted::nothing_written())
    })
}

/// Counts a call against what the version of the backend server may get while it is rolled out.
fn charge_rollout(cx: &NodeContext, delivery: &Delivery) -> Result<(), CallFailure> {
    let now = cx.clock().now();
    let charged = cx.rollouts().charge(now, &delivery.version_call());
    charged.map_err(|AllowanceSpent| {
        let proof = NotExecuted::nothing_written();
        CallFailure::did_not_run(RefusalReason::AllowanceSpent, proof)
    })
}

/// Sends a call to the backend server, and reports a crash if its connection was lost.
async fn exchange(
    cx: Arc<NodeContext>,
    server: Arc<LocalServer>,
    id: String,
    delivery: Delivery,
    req: Request<Body>,
) -> Result<Response<Body>, CallFailure> {
    let limits = CallLimits {
        class: delivery.class,
        deadline: delivery.deadline,
        queue_timeout: delivery.queue_timeout,
        rank: delivery.rank,
        objective: delivery.objective,
        workspace: delivery.workspace.clone(),
        route: delivery.route,
        permit: Some(start_conditions(&cx, &delivery)),
    };
    let report = CrashReport {
        fingerprint: delivery.fingerprint,
        server: ServerId {
            node: cx.node().clone(),
            address: delivery.address,
        },
        incarnation: server.announcement().incarnation,
    };
    let (arrived, deadline) = (Instant::now(), limits.deadline);
    let cancelled = LogIfCancelled {
        cx: &cx,
        id: &id,
        delivery: &delivery,
        arrived,
        ended: false,
    };
    let result = server.call(req, limits).await;
    cancelled.end();
    match result {
        Ok(mut resp) => {
            strip_hop_by_hop(resp.headers_mut());
            strip_internal(resp.headers_mut());
            resp.extensions_mut().insert(ServerReport::from(&*server));
            let on_failure = move |error: &BodyError| {
                log_broken_body(&cx, &id, &delivery, error, arrived);
                if matches!(error, BodyError::Cut(_)) {
                    watch_crash(cx, server, report);
                }
            };
            Ok(resp.map(|body| {
                let body = DeadlineBody::new(body, deadline).boxed_unsync();
                WatchedBody::new(body, on_failure).boxed_unsync()
            }))
        }
        Err(failure) => {
            if !failure.may_have_reached_server() {
                cx.rollouts().withdraw(&delivery.version_call());
            }
            if failure.reason() == RefusalReason::Evacuated {
                cx.count_evacuation_refusal();
            }
            log_failure(&cx, &id, &delivery, &failure, Some(&server), arrived);
            if failure.crash() == Crash::Yes {
                cx.recorder().record_crash(report);
            } else if failure.reason() == RefusalReason::ConnectionLost {
                watch_restart(cx, report);
            }
            Err(failure)
        }
    }
}

/// Logs a call that is dropped before the backend server has answered, because its caller disconnected.
struct LogIfCancelled<'a> {
    cx: &'a NodeContext,
    id: &'a str,
    delivery: &'a Delivery,
    arrived: Instant,
    ended: bool,
}

impl LogIfCancelled<'_> {
    fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for LogIfCancelled<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (cx, delivery) = (self.cx, self.delivery);
        cx.call_log()
            .write(cx.clock().now(), CallLine::Abandoned, || {
                let mut fields = vec![
                    ("request", self.id.to_owned()),
                    ("server", format!("{}@{}", cx.node(), delivery.address)),
                    ("millis", self.arrived.elapsed().as_millis().to_string()),
                    ("part", "destination".to_owned()),
                ];
                fields.extend(workspace_field(delivery));
                fields
            });
    }
}

/// What must hold when the call is sent.
fn start_conditions(cx: &Arc<NodeContext>, delivery: &Delivery) -> Arc<dyn StartPermit> {
    let token = token_check(cx, delivery);
    Arc::new(StartConditions::new(cx.clone(), delivery.deadline, token))
}

/// The check of the call's token, if the call came with one.
fn token_check(cx: &NodeContext, delivery: &Delivery) -> Option<StartCheck> {
    let stated = delivery.token_expires?;
    // A later time is one on the clock of another boot of this VM.
    let latest = boot_time() + cx.quotas().token_lifetime();
    let expires = if stated > latest {
        Timestamp::EPOCH
    } else {
        stated
    };
    let workspace = delivery.workspace.clone()?;
    let (quotas, view) = (cx.quotas().clone(), cx.view().clone());
    Some(StartCheck::new(
        quotas,
        view,
        workspace,
        expires,
        delivery.deadline,
    ))
}

/// Logs a call that the local backend server did not answer, with the load that a refusal was based
/// on.
fn log_failure(
    cx: &NodeContext,
    id: &str,
    delivery: &Delivery,
    failure: &CallFailure,
    server: Option<&Arc<LocalServer>>,
    arrived: Instant,
) {
    let line = match failure.execution() {
        Execution::DidNotRun(_) => CallLine::Refused,
        Execution::Unknown => CallLine::Broken,
    };
    cx.call_log().write(cx.clock().now(), line, || {
        let mut fields = vec![
            ("request", id.to_owned()),
            ("server", format!("{}@{}", cx.node(), delivery.address)),
            ("reason", failure.reason().as_str().to_owned()),
            ("millis", arrived.elapsed().as_millis().to_string()),
        ];
        fields.extend(workspace_field(delivery));
        if let Some(server) = server.filter(|_| line == CallLine::Refused) {
            let load = server.load_hint();
            let retry_after = failure.retry_after().unwrap_or_default();
            fields.extend([
                ("rank", delivery.rank.to_string()),
                ("running", load.running.to_string()),
                ("queued", load.queued.to_string()),
                ("slots", load.slots.to_string()),
                ("pause", format!("{}ms", retry_after.as_millis())),
            ]);
            let limit = load.limit.map(|limit| limit.rate.to_string());
            fields.extend(limit.map(|limit| ("limit", limit)));
        }
        fields
    });
}

/// The field of log lines that names the workspace; `None` if there is none.
fn workspace_field(delivery: &Delivery) -> Option<(&'static str, String)> {
    let name = delivery.workspace.as_ref();
    name.map(|name| ("workspace", name.to_string()))
}

/// Logs a response whose body was broken off after its head had been forwarded.
fn log_broken_body(
    cx: &NodeContext,
    id: &str,
    delivery: &Delivery,
    error: &BodyError,
    arrived: Instant,
) {
    let reason = match error {
        BodyError::Deadline => RefusalReason::Deadline,
        BodyError::Cut(_) => RefusalReason::ConnectionLost,
    };
    cx.call_log().write(cx.clock().now(), CallLine::Broken, || {
        let mut fields = vec![
            ("request", id.to_owned()),
            ("server", format!("{}@{}", cx.node(), delivery.address)),
            ("reason", reason.as_str().to_owned()),
            ("millis", arrived.elapsed().as_millis().to_string()),
            ("part", "body".to_owned()),
        ];
        fields.extend(workspace_field(delivery));
        fields
    });
}

/// Checks in the background whether a backend server that ended a response early has crashed.
fn watch_crash(cx: Arc<NodeContext>, server: Arc<LocalServer>, report: CrashReport) {
    let tasks = cx.tasks().clone();
    tasks.spawn(async move {
        match server.probe().await {
            Crash::Yes => cx.recorder().record_crash(report),
            Crash::No => watch_restart(cx, report),
        }
    });
}

/// Reports a crash if the backend server announces a higher incarnation soon after a connection to
/// it was lost.
fn watch_restart(cx: Arc<NodeContext>, report: CrashReport) {
    tokio::spawn(async move {
        let until = Instant::now() + RESTART_WINDOW;
        let servers = cx.local_servers().clone();
        let address = report.server.address;
        if servers
            .wait_for_restart(address, report.incarnation, until)
            .await
        {
            cx.recorder().record_crash(report);
        }
    });
}
