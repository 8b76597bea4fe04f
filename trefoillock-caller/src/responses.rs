//! Builds the responses to callers, and records and logs how their calls ended.

use std::sync::Arc;

use http::{HeaderValue, Request, Response};
use http_body_util::BodyExt;
use trefoillock_backend::{Body, CallFailure, Crash, DeadlineBody, Execution, NotExecuted};
use trefoillock_core::{Outcome, RefusalReason, headers};
use trefoillock_node::{
    CallEnd, CallLine, NodeContext, failure_response, random_u32, set_retry_after, strip_internal,
};

use crate::{call::Call, classify_error::ClassifyError, recorded_body::RecordedBody};

/// The failure of a call of which no byte was sent to a backend server.
pub(crate) const fn refusal(reason: RefusalReason) -> CallFailure {
    CallFailure::did_not_run(reason, NotExecuted::nothing_written())
}

/// Forwards a backend server's response to the caller, limited to the deadline. The call is
/// recorded when the body ends.
pub(crate) fn forward_response(
    cx: &Arc<NodeContext>,
    call: &Arc<Call>,
    mut resp: Response<Body>,
) -> Response<Body> {
    strip_internal(resp.headers_mut());
    set_answered_outcome(&mut resp);
    log_response(cx, call, &resp);
    let server_error = resp.status().is_server_error();
    let (cx, call) = (cx.clone(), call.clone());
    resp.map(|body| {
        let body = DeadlineBody::new(body, call.deadline).boxed_unsync();
        RecordedBody::new(body, cx, call, server_error).boxed_unsync()
    })
}

/// Sets the outcome header of a response to `answered`.
pub(crate) fn set_answered_outcome(resp: &mut Response<Body>) {
    let answered = HeaderValue::from_static(Outcome::Answered.as_str());
    resp.headers_mut().insert(headers::OUTCOME, answered);
}

/// Records and logs the failure of a call, and returns the response for its caller.
pub(crate) fn fail_call(cx: &NodeContext, call: &Call, failure: &CallFailure) -> Response<Body> {
    let end = match failure.execution() {
        Execution::DidNotRun(_) => CallEnd::Refused,
        Execution::Unknown if is_key_conflict(failure.reason()) => CallEnd::Refused,
        Execution::Unknown => CallEnd::Failed {
            crashed: failure.crash() == Crash::Yes,
        },
    };
    call.record(cx, end);
    log_failure(cx, call, failure);
    let mut resp = caller_response(failure);
    if let Some(delay) = call.return_delay(failure, random_u32()) {
        set_retry_after(resp.headers_mut(), delay);
    }
    resp
}

/// Whether a reason refers to an earlier send with the same idempotency key. Such a failure says
/// nothing about the version of the backend servers.
const fn is_key_conflict(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::InProgress | RefusalReason::AlreadyRun | RefusalReason::KeyUnknown
    )
}

/// The response that reports a failure to a caller. It records and logs nothing.
pub(crate) fn caller_response(failure: &CallFailure) -> Response<Body> {
    failure_response(failure)
}

/// Logs a call that no backend server answered.
fn log_failure(cx: &NodeContext, call: &Call, failure: &CallFailure) {
    cx.call_log().write(cx.clock().now(), CallLine::Failed, || {
        let members = cx.view().members().version;
        let attempts = call.server_attempts();
        let limited = attempts.limited();
        let mut fields = vec![
            ("request", call.id.clone()),
            ("route", call.route.name.to_string()),
            ("outcome", failure.outcome().as_str().to_owned()),
            ("reason", failure.reason().as_str().to_owned()),
            ("server", attempts.last_or_dash()),
            ("attempts", attempts.count().to_string()),
            ("millis", call.arrived.elapsed().as_millis().to_string()),
            ("config", config_version(cx)),
            ("members", format!("{}.{}", members.term, members.sequence)),
        ];
        fields.extend(call.workspace_field());
        if let Some(limited) = limited {
            fields.push(("limited-by", limited.server.to_string()));
            fields.push(("limit", limited.limit.to_string()));
        }
        fields
    });
}

/// Logs a call that a backend server answered.
fn log_response(cx: &NodeContext, call: &Call, resp: &Response<Body>) {
    let is_error = resp.status().is_server_error();
    let line = CallLine::Answered { is_error };
    cx.call_log().write(cx.clock().now(), line, || {
        let attempts = call.server_attempts();
        let members = cx.view().members();
        let member = attempts
            .last_server()
            .and_then(|id| members.servers.get(id));
        let version = member.map(|member| member.announcement.version.to_string());
        let mut fields = vec![
            ("request", call.id.clone()),
            ("route", call.route.name.to_string()),
            ("server", attempts.last_or_dash()),
            ("version", version.unwrap_or_else(|| "-".to_owned())),
            ("status", resp.status().as_u16().to_string()),
            ("attempts", attempts.count().to_string()),
            ("millis", call.arrived.elapsed().as_millis().to_string()),
            ("config", config_version(cx)),
        ];
        fields.extend(call.workspace_field());
        fields
    });
}

/// Logs a call that was refused when it arrived, and returns the response for its caller.
pub(crate) fn refuse_call<B>(
    cx: &NodeContext,
    req: &Request<B>,
    error: &ClassifyError,
) -> Response<Body> {
    let failure = error.failure();
    match error.refused_key() {
        None => log_unrouted(cx, req, failure),
        Some(refused) => {
            cx.recorder().record_unknown_key();
            let now = cx.clock().now();
            cx.call_log().write(now, CallLine::UnknownKey, || {
                vec![
                    ("request", cx.call_log().id(req.headers()).to_owned()),
                    ("route", refused.route.to_string()),
                    ("reason", failure.reason().as_str().to_owned()),
                    ("key", refused.presented.to_owned()),
                    ("config", config_version(cx)),
                ]
            });
        }
    }
    caller_response(failure)
}

/// Logs a call that has no route, or that arrived before the first configuration.
fn log_unrouted<B>(cx: &NodeContext, req: &Request<B>, failure: &CallFailure) {
    cx.call_log().write(cx.clock().now(), CallLine::Failed, || {
        vec![
            ("request", cx.call_log().id(req.headers()).to_owned()),
            ("outcome", failure.outcome().as_str().to_owned()),
            ("reason", failure.reason().as_str().to_owned()),
            ("config", config_version(cx)),
        ]
    });
}

/// The version of the configuration that this node uses; zero if it has none.
fn config_version(cx: &NodeContext) -> String {
    let config = cx.view().config();
    let version = config.map_or(0, |config| config.version().get());
    version.to_string()
}
