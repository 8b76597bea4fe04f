//! Records calls whose caller disconnects before the head of the response.

use std::sync::Arc;

use trefoillock_node::{CallEnd, CallLine, NodeContext};

use crate::call::Call;

/// A call without a response. Dropping it before [`end`](Self::end) records that its caller disconnected.
#[derive(Debug)]
pub(crate) struct PendingCall {
    cx: Arc<NodeContext>,
    call: Option<Arc<Call>>,
}

impl PendingCall {
    pub(crate) const fn new(cx: Arc<NodeContext>, call: Arc<Call>) -> Self {
        Self {
            cx,
            call: Some(call),
        }
    }

    /// Ends the wait: the call has been answered or has failed.
    pub(crate) fn end(mut self) {
        self.call = None;
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            record_abandoned(&self.cx, &call, "head");
        }
    }
}

/// Counts and logs a call whose caller disconnected while it waited for `part` of the response.
pub(crate) fn record_abandoned(cx: &NodeContext, call: &Call, part: &'static str) {
    call.record(cx, CallEnd::CallerDisconnected);
    cx.call_log()
        .write(cx.clock().now(), CallLine::Abandoned, || {
            let attempts = call.server_attempts();
            let mut fields = vec![
                ("request", call.id.clone()),
                ("route", call.route.name.to_string()),
                ("server", attempts.last_or_dash()),
                ("attempts", attempts.count().to_string()),
                ("millis", call.arrived.elapsed().as_millis().to_string()),
                ("part", part.to_owned()),
            ];
            fields.extend(call.workspace_field());
            fields
        });
}
