//! Records how a call ended when the body of its response ends.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use trefoillock_backend::{Body, BodyError};
use trefoillock_node::{CallEnd, NodeContext};

use crate::{call::Call, pending_call::record_abandoned};

/// A body that records its call once it is complete, was cut off, or is dropped because the caller
/// disconnected.
pub(crate) struct RecordedBody {
    inner: Body,
    cx: Arc<NodeContext>,
    call: Arc<Call>,
    server_error: bool,
    recorded: bool,
}

impl RecordedBody {
    pub(crate) const fn new(
        inner: Body,
        cx: Arc<NodeContext>,
        call: Arc<Call>,
        server_error: bool,
    ) -> Self {
        Self {
            inner,
            cx,
            call,
            server_error,
            recorded: false,
        }
    }

    fn record(&mut self, end: CallEnd) {
        if !self.recorded {
            self.recorded = true;
            self.call.record(&self.cx, end);
        }
    }

    fn record_end(&mut self) {
        if !self.recorded && !self.server_error {
            self.cx.view().record_answer(self.call.fingerprint);
        }
        self.record(CallEnd::Answered {
            latency: self.call.arrived.elapsed(),
            server_error: self.server_error,
        });
    }
}

impl HttpBody for RecordedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.record_end(),
            Poll::Ready(Some(Err(_))) => self.record(CallEnd::Aborted),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => self.record_end(),
            Poll::Pending | Poll::Ready(Some(Ok(_))) => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for RecordedBody {
    fn drop(&mut self) {
        if self.inner.is_end_stream() {
            self.record_end();
        } else if !self.recorded {
            self.recorded = true;
            record_abandoned(&self.cx, &self.call, "body");
        }
    }
}
