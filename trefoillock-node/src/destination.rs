//! The destination of a call: the node beside the backend server.

use std::{sync::Arc, time::Duration};

use http::{Request, Response, header};
use http_body_util::BodyExt;
use tokio::time::Instant;
use trefoillock_backend::{
    Body, CallFailure, CallLimits, Crash, DeadlineBody, Execution, LocalServer, NotSent,
};
use trefoillock_core::{CrashReport, RefusalReason, RouteClass, ServerId};

use crate::{
    CallLine, Delivery, NodeContext, detached_body::detach, headers::header_text, strip_hop_by_hop,
    strip_internal, watched_body::WatchedBody,
};

/// The time within which a restart of a backend server is taken for the cause of a lost
/// connection.
const RESTART_WINDOW: Duration = Duration::from_secs(5);

/// Sends a call to a backend server beside this node.
///
/// A posting runs to its end once it was sent, also when the caller has left. Any other call is
/// cancelled by dropping the future or the body.
pub(crate) async fn deliver(
    cx: &Arc<NodeContext>,
    delivery: Delivery,
    mut req: Request<Body>,
) -> Result<Response<Body>, CallFailure> {
    let id = cx.call_log().id(req.headers()).to_owned();
    let arrived = Instant::now();
    let server = find(cx, &delivery).inspect_err(|failure| {
        log_failure(cx, &id, &delivery, failure, None, arrived);
    })?;
    strip_hop_by_hop(req.headers_mut());
    strip_internal(req.headers_mut());
    req.headers_mut().remove(header::EXPECT);
    *req.version_mut() = http::Version::HTTP_11;
    if delivery.class != RouteClass::Posting || !cx.calls().detached_postings {
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
        resp.map(|body| detach(body, length, &tasks))
    })
}

/// Finds the backend server that a call is meant for. One that no longer holds its lease, or
/// runs another version by now, has left.
fn find(cx: &NodeContext, delivery: &Delivery) -> Result<Arc<LocalServer>, CallFailure> {
    let server = cx.servers().get(delivery.address);
    let fits = |server: &Arc<LocalServer>| {
        let announced = server.announcement();
        announced.service == delivery.service && announced.version == delivery.version
    };
    server.filter(fits).ok_or_else(|| {
        CallFailure::did_not_run(RefusalReason::Draining, NotSent::nothing_written())
    })
}

/// Exchanges a call with the backend server and watches for its crash.
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
        queue: delivery.queue,
        rank: delivery.rank,
        objective: delivery.objective,
    };
    let report = CrashReport {
        fingerprint: delivery.fingerprint,
        server: ServerId {
            node: cx.node().clone(),
            address: delivery.address,
        },
        incarnation: server.announcement().incarnation,
    };
    let arrived = Instant::now();
    match server.call(req, limits).await {
        Ok(mut resp) => {
            strip_hop_by_hop(resp.headers_mut());
            strip_internal(resp.headers_mut());
            resp.extensions_mut().insert(server.hint());
            let on_cut = move || watch_crash(cx, server, report);
            Ok(resp.map(|body| {
                let body = DeadlineBody::new(body, limits.deadline).boxed_unsync();
                WatchedBody::new(body, on_cut).boxed_unsync()
            }))
        }
        Err(failure) => {
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

/// Writes a line about a call that the backend server beside this node did not answer, with what
/// decided it.
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
        if let Some(server) = server.filter(|_| line == CallLine::Refused) {
            let load = server.hint();
            let pause = failure.pause().unwrap_or_default();
            fields.extend([
                ("rank", delivery.rank.to_string()),
                ("running", load.running.to_string()),
                ("queued", load.queued.to_string()),
                ("slots", load.slots.to_string()),
                ("pause", format!("{}ms", pause.as_millis())),
            ]);
        }
        fields
    });
}

/// Finds out in the background whether a backend server that cut an answer has crashed.
fn watch_crash(cx: Arc<NodeContext>, server: Arc<LocalServer>, report: CrashReport) {
    let tasks = cx.tasks().clone();
    tasks.spawn(async move {
        match server.probe().await {
            Crash::Yes => cx.recorder().record_crash(report),
            Crash::No => watch_restart(cx, report),
        }
    });
}

/// Reports a crash if the backend server announces a higher incarnation soon after it lost a
/// connection.
fn watch_restart(cx: Arc<NodeContext>, report: CrashReport) {
    tokio::spawn(async move {
        let until = Instant::now() + RESTART_WINDOW;
        let servers = cx.servers().clone();
        let address = report.server.address;
        if servers.restarted(address, report.incarnation, until).await {
            cx.recorder().record_crash(report);
        }
    });
}
