//! The body of an answer on its way to the caller.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use trefoillock_backend::{Body, BodyError};
use trefoillock_node::{NodeContext, Seen};

use crate::call::Call;

/// A body that counts its call once it has ended, was cut, or was left by the caller.
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

    fn record(&mut self, seen: Seen) {
        if !self.recorded {
            self.recorded = true;
            self.call.record(&self.cx, seen);
        }
    }

    fn record_end(&mut self) {
        if !self.recorded && !self.server_error {
            self.cx.view().saw_answer(self.call.fingerprint);
        }
        self.record(Seen::Answer {
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
            Poll::Ready(Some(Err(_))) => self.record(Seen::Aborted),
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
        } else {
            self.record(Seen::Left);
        }
    }
}
