//! The listener for calls and guard messages from other nodes.

use std::sync::Arc;

use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::{body::Incoming, service::Service};
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trefoillock_backend::{Body, CallFailure, NotExecuted, box_body, empty_body};
use trefoillock_core::{Outcome, RefusalReason, headers};
use trefoillock_rpc::RpcServer;

use crate::{
    Delivery, NodeContext, ServerLimits, ServerReport, boot_time,
    destination::{admit_before_cut, admit_to_link, deliver},
    failure_response,
    headers::{ASK, CLOCK_MS, SERVER, header_text},
    paced_body::PacedBody,
    serve_http,
};

/// The prefix of the paths of messages between guards.
const GUARD_PATH_PREFIX: &str = "/guard/";
/// The prefix of the paths of messages to guards of quotas.
const QUOTA_PATH_PREFIX: &str = "/quota/";
/// The largest number of concurrent calls on one connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 4_096;

/// Serves calls from other nodes to the local backend servers, and messages between guards, until
/// `stop` is cancelled and all calls in flight have ended.
pub async fn serve_peer(listener: TcpListener, cx: Arc<NodeContext>, stop: CancellationToken) {
    let limits = ServerLimits {
        streams: MAX_STREAMS_PER_CONNECTION,
        // One connection carries the calls of many callers, who may leave while this process is suspended.
        untaken_cancellations: MAX_STREAMS_PER_CONNECTION as usize,
        ..ServerLimits::default()
    };
    let tasks = cx.tasks().clone();
    let guards = cx.guards().clone();
    let quotas = cx.quotas().clone();
    let rpc = TowerToHyperService::new(guards.rpc_server());
    let quota_rpc = TowerToHyperService::new(quotas.rpc_server());
    let stop_guards = CancellationToken::new();
    let following = {
        let (view, stop) = (cx.view().clone(), stop_guards.clone());
        tokio::spawn(async move { guards.follow_guard_table(&view, stop).await })
    };
    let following_quotas = {
        let (view, stop) = (cx.view().clone(), stop_guards.clone());
        tokio::spawn(async move { quotas.follow_config(&view, stop).await })
    };
    let pacing = cx.link().cloned().map(|link| {
        let stop = stop_guards.clone();
        tokio::spawn(async move { stop.run_until_cancelled(link.run()).await })
    });
    let handler = move |req: Request<Incoming>| {
        let (cx, rpc, quota_rpc) = (cx.clone(), rpc.clone(), quota_rpc.clone());
        async move {
            if is_message(&req, GUARD_PATH_PREFIX) {
                return handle_message(rpc, req).await;
            }
            if is_message(&req, QUOTA_PATH_PREFIX) {
                return handle_message(quota_rpc, req).await;
            }
            if req.headers().contains_key(ASK) {
                return handle_ask(&cx, &req);
            }
            handle_call(cx, req).await
        }
    };
    serve_http(listener, || limits, handler, stop).await;
    tasks.close();
    tasks.wait().await;
    stop_guards.cancel();
    let _ = following.await;
    let _ = following_quotas.await;
    if let Some(pacing) = pacing {
        let _ = pacing.await;
    }
}

/// Whether a request is a message to this node itself. Calls to backend servers may have any path,
/// but they always name their backend server in a header.
fn is_message(req: &Request<Incoming>, prefix: &str) -> bool {
    !req.headers().contains_key(SERVER) && req.uri().path().starts_with(prefix)
}

/// Handles a message to this node itself.
async fn handle_message(
    rpc: TowerToHyperService<RpcServer>,
    req: Request<Incoming>,
) -> Response<Body> {
    let answer = rpc.call(req.map(tonic::body::Body::new)).await;
    answer.map_or_else(|never| match never {}, |resp| resp.map(box_body))
}

/// Answers an ask for the load of a local backend server.
fn handle_ask(cx: &NodeContext, req: &Request<Incoming>) -> Response<Body> {
    let mut resp = Response::new(empty_body());
    if !is_allowed(cx, req) {
        *resp.status_mut() = StatusCode::FORBIDDEN;
        return resp;
    }
    let address = header_text(req.headers(), ASK).and_then(|text| text.parse().ok());
    match address.and_then(|address| cx.local_servers().get(address)) {
        Some(server) => ServerReport::from(&*server).write(resp.headers_mut()),
        None => *resp.status_mut() = StatusCode::NOT_FOUND,
    }
    resp
}

/// Whether a request carries the token of the nodes.
fn is_allowed(cx: &NodeContext, req: &Request<Incoming>) -> bool {
    let token = req.headers().get(headers::TOKEN);
    cx.token().allows(token.map(HeaderValue::as_bytes))
}

async fn handle_call(cx: Arc<NodeContext>, req: Request<Incoming>) -> Response<Body> {
    let allowed = is_allowed(&cx, &req);
    let delivery = Delivery::read(req.headers()).filter(|_| allowed);
    let Some(delivery) = delivery else {
        let proof = NotExecuted::nothing_written();
        let failure = CallFailure::did_not_run(RefusalReason::BadRequest, proof);
        return failure_response(&failure);
    };
    let admitted = admit_before_cut(&cx, req.headers(), &delivery);
    let permit = match admitted.and_then(|()| admit_to_link(&cx, req.headers(), &delivery)) {
        Ok(permit) => permit,
        Err(failure) => return failure_response(&failure),
    };
    let mut req = req.map(box_body);
    set_origin_form(&mut req);
    let states_clock = delivery.token_expires.is_some();
    let mut resp = match deliver(&cx, delivery, req).await {
        Ok(resp) => {
            let mut resp = match permit {
                Some(permit) => resp.map(|body| PacedBody::new(body, permit).boxed_unsync()),
                None => resp,
            };
            let answered = HeaderValue::from_static(Outcome::Answered.as_str());
            resp.headers_mut().insert(headers::OUTCOME, answered);
            if let Some(report) = resp.extensions_mut().remove::<ServerReport>() {
                report.write(resp.headers_mut());
            }
            resp
        }
        Err(failure) => failure_response(&failure),
    };
    if states_clock {
        let millis = boot_time().as_millis();
        resp.headers_mut()
            .insert(CLOCK_MS, HeaderValue::from(millis));
    }
    resp
}

/// Changes the request target to origin form and sets `host`, as HTTP/1.1 requires.
fn set_origin_form(req: &mut Request<Body>) {
    let relative = req.uri().path_and_query().cloned().map(http::Uri::from);
    if let Some(relative) = relative {
        *req.uri_mut() = relative;
    }
    if !req.headers().contains_key(header::HOST) {
        let host = HeaderValue::from_static("localhost");
        req.headers_mut().insert(header::HOST, host);
    }
}
