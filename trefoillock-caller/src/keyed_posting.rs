//! Runs postings with an idempotency key: at most once for each key.

use std::{sync::Arc, time::Duration};

use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::BodyExt;
use tokio::time::timeout;
use trefoillock_backend::{Body, CallFailure, Execution, NotExecuted, full_body};
use trefoillock_core::{Outcome, RefusalReason, headers};
use trefoillock_node::{ClaimedKey, KeyClaim, NodeContext, detach_body};
use trefoillock_policy::{ClaimLoss, Finish, KeyEnd, StoredAnswer, uuid_v7_time};

use crate::{
    call::Call,
    dispatch::Dispatch,
    replayable_request::ReplayableRequest,
    request::{idempotency_key, key_hash},
    stored_body::StoredBody,
};

/// The longest time that a failure response is delayed until the guards were told how the call
/// ended. The report to the guards continues after that.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);

/// The result of a posting with an idempotency key.
pub(crate) enum KeyedResult {
    /// The posting ran now and was answered.
    Answered(Response<Body>),
    /// An earlier send ran; this is its stored response.
    StoredAnswer(Response<Body>),
    /// The posting was refused or failed.
    Failed(CallFailure),
}

/// Runs a posting if the guards grant its key.
pub(crate) async fn run(dispatch: &mut Dispatch, req: &mut ReplayableRequest) -> KeyedResult {
    let (cx, call) = (dispatch.cx.clone(), dispatch.call.clone());
    let Some(claim) = key_claim(&cx, &call, req) else {
        let proof = NotExecuted::nothing_written();
        let failure = CallFailure::did_not_run(RefusalReason::BadRequest, proof);
        return KeyedResult::Failed(failure);
    };
    // A refused posting leaves no claim behind.
    if let Err(failure) = dispatch.take_token().await {
        return KeyedResult::Failed(failure);
    }
    let claimed = match cx.guards().claim_key(cx.view(), claim).await {
        Ok(claimed) => claimed,
        Err(loss) => return lost_claim_result(loss),
    };
    match dispatch.run(req).await {
        Ok(resp) => KeyedResult::Answered(store_on_end(&cx, claimed, resp)),
        Err(failure) => {
            let finish = match failure.execution() {
                Execution::DidNotRun(_) => Finish::Released,
                Execution::Unknown => Finish::Ended(KeyEnd::MayHaveRun),
            };
            let reporting = {
                let cx = cx.clone();
                async move { cx.guards().finish(cx.view(), &claimed, &finish).await }
            };
            let reporting = cx.tasks().spawn(reporting);
            let _ = timeout(REPORT_TIMEOUT, reporting).await;
            KeyedResult::Failed(failure)
        }
    }
}

/// The claim of the key of a request; `None` if the key is missing or not UTF-8.
fn key_claim(cx: &NodeContext, call: &Call, req: &ReplayableRequest) -> Option<KeyClaim> {
    let head = req.head();
    let key = idempotency_key(head.headers())?;
    let (parts, ()) = head.clone().into_parts();
    let text = std::str::from_utf8(key).ok()?;
    Some(KeyClaim {
        key: key_hash(&call.route, call.workspace_name(), &parts, key),
        fingerprint: call.fingerprint,
        key_time: uuid_v7_time(text),
        running_until: cx.clock().now() + call.time_left(),
    })
}

/// The result for a request whose key was not granted.
fn lost_claim_result(loss: ClaimLoss) -> KeyedResult {
    let (reason, outcome) = (loss.reason(), loss.outcome());
    if let ClaimLoss::Answered {
        status,
        stored: Some(stored),
    } = loss
    {
        return KeyedResult::StoredAnswer(stored_response(status, *stored));
    }
    KeyedResult::Failed(match outcome {
        Outcome::DidNotRun => CallFailure::did_not_run(reason, NotExecuted::nothing_written()),
        Outcome::Answered | Outcome::MayHaveRun => CallFailure::may_have_run(reason),
    })
}

/// The stored response of an earlier send.
fn stored_response(status: u16, stored: StoredAnswer) -> Response<Body> {
    let mut resp = Response::new(full_body(stored.body));
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let content_type = stored.content_type.map(HeaderValue::try_from);
    if let Some(Ok(value)) = content_type {
        resp.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    let reason = HeaderValue::from_static(RefusalReason::AlreadyRun.as_str());
    resp.headers_mut().insert(headers::REASON, reason);
    resp
}

/// Sends the response to the guards once it is complete.
fn store_on_end(
    cx: &Arc<NodeContext>,
    claimed: ClaimedKey,
    resp: Response<Body>,
) -> Response<Body> {
    let status = resp.status().as_u16();
    let content_type = resp.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.map(str::to_owned);
    let length = resp.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let cx = cx.clone();
    let tasks = cx.tasks().clone();
    let report = move |body: Option<Vec<u8>>| {
        let stored = body.map(|body| Box::new(StoredAnswer { content_type, body }));
        let finish = Finish::Ended(KeyEnd::Answered { status, stored });
        let tasks = cx.tasks().clone();
        tasks.spawn(async move { cx.guards().finish(cx.view(), &claimed, &finish).await });
    };
    // The response is read to its end for the guards, even if the caller has disconnected.
    resp.map(|body| detach_body(StoredBody::new(body, report).boxed_unsync(), length, &tasks))
}
