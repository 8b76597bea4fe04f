//! Answers to callers.

use std::sync::Arc;

use http::{HeaderValue, Request, Response};
use http_body_util::BodyExt;
use trefoillock_backend::{Body, CallFailure, Crash, DeadlineBody, Execution, NotSent};
use trefoillock_core::{Outcome, RefusalReason, headers};
use trefoillock_node::{NodeContext, Seen, refusal_answer, strip_internal};

use crate::{call::Call, recorded_body::RecordedBody};

/// A refusal of which nothing was sent to a backend server.
pub(crate) const fn refuse(reason: RefusalReason) -> CallFailure {
    CallFailure::did_not_run(reason, NotSent::nothing_written())
}

/// Passes a backend server's answer on.
pub(crate) fn pass_on(
    cx: &Arc<NodeContext>,
    call: &Arc<Call>,
    mut resp: Response<Body>,
) -> Response<Body> {
    strip_internal(resp.headers_mut());
    tell_answered(&mut resp);
    let server_error = resp.status().is_server_error();
    let (cx, call) = (cx.clone(), call.clone());
    resp.map(|body| {
        let body = DeadlineBody::new(body, call.deadline).boxed_unsync();
        RecordedBody::new(body, cx, call, server_error).boxed_unsync()
    })
}

/// Adds the outcome to the head of an answer.
pub(crate) fn tell_answered(resp: &mut Response<Body>) {
    let answered = HeaderValue::from_static(Outcome::Answered.as_str());
    resp.headers_mut().insert(headers::OUTCOME, answered);
}

/// Tells a failure to the caller, and counts it.
pub(crate) fn tell(cx: &NodeContext, call: &Call, failure: &CallFailure) -> Response<Body> {
    let seen = match failure.execution() {
        Execution::DidNotRun(_) => Seen::Refused,
        Execution::Unknown if is_of_key(failure.reason()) => Seen::Refused,
        Execution::Unknown => Seen::Failed {
            crashed: failure.crash() == Crash::Yes,
        },
    };
    call.record(cx, seen);
    log_failure(cx, call, failure);
    tell_unrouted(failure)
}

/// Whether a reason speaks of an earlier send with the same key, not of the version.
const fn is_of_key(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::InProgress | RefusalReason::AlreadyRun | RefusalReason::KeyUnknown
    )
}

/// Tells a failure of a call that has no route.
pub(crate) fn tell_unrouted(failure: &CallFailure) -> Response<Body> {
    refusal_answer(failure)
}

/// Writes a line about a call that no backend server answered.
fn log_failure(cx: &NodeContext, call: &Call, failure: &CallFailure) {
    let config = cx
        .view()
        .config()
        .map_or(0, |config| config.version().get());
    let members = cx.view().members().version;
    let members = format!("{}.{}", members.term, members.sequence);
    let elapsed = call.arrived.elapsed().as_millis();
    let tried = call.tried();
    let fields: [(&str, &dyn std::fmt::Display); 9] = [
        ("request", &call.id),
        ("route", &call.route.name),
        ("outcome", &failure.outcome().as_str()),
        ("reason", &failure.reason().as_str()),
        ("server", &tried.last()),
        ("attempts", &tried.count()),
        ("millis", &elapsed),
        ("config", &config),
        ("members", &members),
    ];
    cx.call_log().failed(cx.clock().now(), &fields);
}

/// Writes a line about a call that has no route or found no configuration.
pub(crate) fn log_unrouted<B>(cx: &NodeContext, req: &Request<B>, failure: &CallFailure) {
    let config = cx
        .view()
        .config()
        .map_or(0, |config| config.version().get());
    let fields: [(&str, &dyn std::fmt::Display); 4] = [
        ("request", &cx.call_log().id(req.headers())),
        ("outcome", &failure.outcome().as_str()),
        ("reason", &failure.reason().as_str()),
        ("config", &config),
    ];
    cx.call_log().failed(cx.clock().now(), &fields);
}
