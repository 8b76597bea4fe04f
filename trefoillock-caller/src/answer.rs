//! Answers to callers.

use std::sync::Arc;

use http::{HeaderValue, Request, Response};
use http_body_util::BodyExt;
use trefoillock_backend::{Body, CallFailure, Crash, DeadlineBody, Execution, NotSent};
use trefoillock_core::{Outcome, RefusalReason, headers};
use trefoillock_node::{CallLine, NodeContext, Seen, refusal_answer, strip_internal};

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
    log_answer(cx, call, &resp);
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
    cx.call_log().write(cx.clock().now(), CallLine::Failed, || {
        let members = cx.view().members().version;
        let tried = call.tried();
        vec![
            ("request", call.id.clone()),
            ("route", call.route.name.to_string()),
            ("outcome", failure.outcome().as_str().to_owned()),
            ("reason", failure.reason().as_str().to_owned()),
            ("server", tried.last()),
            ("attempts", tried.count().to_string()),
            ("millis", call.arrived.elapsed().as_millis().to_string()),
            ("config", config_version(cx)),
            ("members", format!("{}.{}", members.term, members.sequence)),
        ]
    });
}

/// Writes a line about a call that a backend server answered.
fn log_answer(cx: &NodeContext, call: &Call, resp: &Response<Body>) {
    let is_error = resp.status().is_server_error();
    let line = CallLine::Answered { is_error };
    cx.call_log().write(cx.clock().now(), line, || {
        let tried = call.tried();
        let members = cx.view().members();
        let member = tried.server().and_then(|id| members.servers.get(id));
        let version = member.map(|member| member.announcement.version.to_string());
        vec![
            ("request", call.id.clone()),
            ("route", call.route.name.to_string()),
            ("server", tried.last()),
            ("version", version.unwrap_or_else(|| "-".to_owned())),
            ("status", resp.status().as_u16().to_string()),
            ("attempts", tried.count().to_string()),
            ("millis", call.arrived.elapsed().as_millis().to_string()),
            ("config", config_version(cx)),
        ]
    });
}

/// Writes a line about a call that has no route or found no configuration.
pub(crate) fn log_unrouted<B>(cx: &NodeContext, req: &Request<B>, failure: &CallFailure) {
    cx.call_log().write(cx.clock().now(), CallLine::Failed, || {
        vec![
            ("request", cx.call_log().id(req.headers()).to_owned()),
            ("outcome", failure.outcome().as_str().to_owned()),
            ("reason", failure.reason().as_str().to_owned()),
            ("config", config_version(cx)),
        ]
    });
}

/// The version of the configuration that this node serves; zero for none.
fn config_version(cx: &NodeContext) -> String {
    let config = cx.view().config();
    let version = config.map_or(0, |config| config.version().get());
    version.to_string()
}
