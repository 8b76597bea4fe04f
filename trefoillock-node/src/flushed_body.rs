//! Bodies that fail only after everything before the failure was sent.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use trefoillock_backend::{Body, BodyError};

/// A body that lets its server flush the head and the frames so far before it fails.
///
/// A server closes the connection at once if a body fails, and drops what it has buffered. It
/// flushes its buffer only when a body has no frame ready.
pub(crate) struct FlushedBody {
    inner: Body,
    /// The failure that is returned at the next poll.
    failure: Option<BodyError>,
    /// Whether the server has flushed its buffer since the last frame.
    is_flushed: bool,
}

impl FlushedBody {
    pub(crate) const fn new(inner: Body) -> Self {
        Self {
            inner,
            failure: None,
            is_flushed: false,
        }
    }
}

impl HttpBody for FlushedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Err(failure))) if !self.is_flushed => {
                self.failure = Some(failure);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            polled => {
                self.is_flushed = polled.is_pending();
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.failure.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
