//! Postings with an idempotency key: at most one run for each key.

use std::{sync::Arc, time::Duration};

use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::BodyExt;
use tokio::time::timeout;
use trefoillock_backend::{Body, CallFailure, Execution, NotSent, text_body};
use trefoillock_core::{Outcome, RefusalReason, headers};
use trefoillock_node::{HeldKey, KeyClaim, NodeContext, detach};
use trefoillock_policy::{ClaimLoss, Finish, KeyEnd, StoredAnswer, uuid_v7_time};

use crate::{
    call::Call,
    dispatch::Dispatch,
    replay::Replay,
    request::{idempotency_key, key_hash},
    stored_body::StoredBody,
};

/// The longest time that a failure waits until the guards know of it; they are told in any case.
const TELL_TIMEOUT: Duration = Duration::from_millis(100);

/// How a posting with a key ends.
pub(crate) enum KeyedAnswer {
    /// It ran and was answered.
    Answered(Response<Body>),
    /// An earlier send ran; this is its answer, or what is known of it.
    Earlier(Response<Body>),
    /// It failed.
    Failed(CallFailure),
}

/// Runs a posting if its key is granted.
pub(crate) async fn run(dispatch: &mut Dispatch, req: &mut Replay) -> KeyedAnswer {
    let (cx, call) = (dispatch.cx.clone(), dispatch.call.clone());
    let Some(wanted) = wanted(&cx, &call, req) else {
        let proof = NotSent::nothing_written();
        let failure = CallFailure::did_not_run(RefusalReason::BadRequest, proof);
        return KeyedAnswer::Failed(failure);
    };
    let held = match cx.guards().win(cx.view(), wanted).await {
        Ok(held) => held,
        Err(loss) => return lost(loss),
    };
    match dispatch.run(req).await {
        Ok(resp) => KeyedAnswer::Answered(keep(&cx, held, resp)),
        Err(failure) => {
            let finish = match failure.execution() {
                Execution::DidNotRun(_) => Finish::Released,
                Execution::Unknown => Finish::Ended(KeyEnd::MayHaveRun),
            };
            let telling = {
                let cx = cx.clone();
                async move { cx.guards().finish(cx.view(), &held, &finish).await }
            };
            let telling = cx.tasks().spawn(telling);
            let _ = timeout(TELL_TIMEOUT, telling).await;
            KeyedAnswer::Failed(failure)
        }
    }
}

/// The claim of a request.
fn wanted(cx: &NodeContext, call: &Call, req: &Replay) -> Option<KeyClaim> {
    let head = req.head();
    let key = idempotency_key(head.headers())?;
    let (parts, ()) = head.clone().into_parts();
    let text = std::str::from_utf8(key).ok()?;
    Some(KeyClaim {
        key: key_hash(&call.route, &parts, key),
        fingerprint: call.fingerprint,
        key_time: uuid_v7_time(text),
        running_until: cx.clock().now() + call.time_left(),
    })
}

/// The answer to a request whose key was not granted.
fn lost(loss: ClaimLoss) -> KeyedAnswer {
    let (reason, outcome) = (loss.reason(), loss.outcome());
    if let ClaimLoss::Answered {
        status,
        stored: Some(stored),
    } = loss
    {
        return KeyedAnswer::Earlier(stored_answer(status, *stored));
    }
    KeyedAnswer::Failed(match outcome {
        Outcome::DidNotRun => CallFailure::did_not_run(reason, NotSent::nothing_written()),
        Outcome::Answered | Outcome::MayHaveRun => CallFailure::may_have_run(reason),
    })
}

/// The answer that was kept of an earlier send.
fn stored_answer(status: u16, stored: StoredAnswer) -> Response<Body> {
    let mut resp = Response::new(text_body(stored.body));
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let content_type = stored.content_type.map(HeaderValue::try_from);
    if let Some(Ok(value)) = content_type {
        resp.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    let reason = HeaderValue::from_static(RefusalReason::AlreadyRun.as_str());
    resp.headers_mut().insert(headers::REASON, reason);
    resp
}

/// Tells the guards the answer once it has ended.
fn keep(cx: &Arc<NodeContext>, held: HeldKey, resp: Response<Body>) -> Response<Body> {
    let status = resp.status().as_u16();
    let content_type = resp.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.map(str::to_owned);
    let length = resp.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let cx = cx.clone();
    let tasks = cx.tasks().clone();
    let tell = move |body: Option<Vec<u8>>| {
        let stored = body.map(|body| Box::new(StoredAnswer { content_type, body }));
        let finish = Finish::Ended(KeyEnd::Answered { status, stored });
        let tasks = cx.tasks().clone();
        tasks.spawn(async move { cx.guards().finish(cx.view(), &held, &finish).await });
    };
    // The answer is read to its end for the guards, also when the caller has left.
    resp.map(|body| detach(StoredBody::new(body, tell).boxed_unsync(), length, &tasks))
}
