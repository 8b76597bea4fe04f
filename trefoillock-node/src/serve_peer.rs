//! The port for calls of other nodes.

use std::sync::Arc;

use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, service::Service};
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trefoillock_backend::{Body, CallFailure, NotSent, box_body};
use trefoillock_core::{Outcome, RefusalReason, headers};
use trefoillock_policy::LoadHint;
use trefoillock_rpc::RpcServer;

use crate::{
    Delivery, NodeContext, ServerLimits, destination::deliver, headers::SERVER,
    load_header::write_load, refusal_answer, serve_http,
};

/// The beginning of the paths of messages between guards.
const GUARD_PREFIX: &str = "/guard/";
/// The number of concurrent calls on one connection.
const STREAMS: u32 = 4_096;

/// Takes calls of other nodes for the backend servers beside this one, until `stop` is cancelled
/// and all calls in flight have ended.
pub async fn serve_peer(listener: TcpListener, cx: Arc<NodeContext>, stop: CancellationToken) {
    let limits = ServerLimits {
        streams: STREAMS,
        ..ServerLimits::default()
    };
    let tasks = cx.tasks().clone();
    let guards = cx.guards().clone();
    let rpc = TowerToHyperService::new(guards.rpc_server());
    let stop_guard = CancellationToken::new();
    let following = {
        let (view, stop) = (cx.view().clone(), stop_guard.clone());
        tokio::spawn(async move { guards.follow(&view, stop).await })
    };
    let handler = move |req: Request<Incoming>| {
        let (cx, rpc) = (cx.clone(), rpc.clone());
        async move {
            if is_guard_message(&req) {
                return answer_rpc(rpc, req).await;
            }
            answer(cx, req).await
        }
    };
    serve_http(listener, || limits, handler, stop).await;
    tasks.close();
    tasks.wait().await;
    stop_guard.cancel();
    let _ = following.await;
}

/// Whether a request is a message between guards. Calls for backend servers, which may have any
/// path, name their backend server.
fn is_guard_message(req: &Request<Incoming>) -> bool {
    !req.headers().contains_key(SERVER) && req.uri().path().starts_with(GUARD_PREFIX)
}

/// Answers a message to the guard of this node.
async fn answer_rpc(rpc: TowerToHyperService<RpcServer>, req: Request<Incoming>) -> Response<Body> {
    let answer = rpc.call(req.map(tonic::body::Body::new)).await;
    answer.map_or_else(|never| match never {}, |resp| resp.map(box_body))
}

async fn answer(cx: Arc<NodeContext>, req: Request<Incoming>) -> Response<Body> {
    let given = req.headers().get(headers::TOKEN);
    let allowed = cx.token().allows(given.map(HeaderValue::as_bytes));
    let delivery = Delivery::read(req.headers()).filter(|_| allowed);
    let Some(delivery) = delivery else {
        let proof = NotSent::nothing_written();
        let failure = CallFailure::did_not_run(RefusalReason::BadRequest, proof);
        return refusal_answer(&failure);
    };
    let mut req = req.map(box_body);
    restore_host(&mut req);
    match deliver(&cx, delivery, req).await {
        Ok(mut resp) => {
            let answered = HeaderValue::from_static(Outcome::Answered.as_str());
            resp.headers_mut().insert(headers::OUTCOME, answered);
            if let Some(hint) = resp.extensions_mut().remove::<LoadHint>() {
                write_load(resp.headers_mut(), &hint);
            }
            resp
        }
        Err(failure) => refusal_answer(&failure),
    }
}

/// Makes the target relative, as an HTTP/1.1 backend server expects it.
fn restore_host(req: &mut Request<Body>) {
    let relative = req.uri().path_and_query().cloned().map(http::Uri::from);
    if let Some(relative) = relative {
        *req.uri_mut() = relative;
    }
    if !req.headers().contains_key(header::HOST) {
        let host = HeaderValue::from_static("localhost");
        req.headers_mut().insert(header::HOST, host);
    }
}
