//! Bodies that report when they fail.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use trefoillock_backend::{Body, BodyError};

/// A body that calls `on_failure` once if it fails.
pub(crate) struct WatchedBody<F> {
    inner: Body,
    on_failure: Option<F>,
}

impl<F: FnOnce(&BodyError)> WatchedBody<F> {
    pub(crate) const fn new(inner: Body, on_failure: F) -> Self {
        Self {
            inner,
            on_failure: Some(on_failure),
        }
    }
}

impl<F: FnOnce(&BodyError) + Unpin> HttpBody for WatchedBody<F> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if let Poll::Ready(Some(Err(error))) = &polled
            && let Some(on_failure) = self.on_failure.take()
        {
            on_failure(error);
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
