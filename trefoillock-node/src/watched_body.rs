//! Bodies that report when they are cut off.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use trefoillock_backend::{Body, BodyError};

/// A body that calls `on_cut` once if it fails with [`BodyError::Cut`].
pub(crate) struct WatchedBody<F> {
    inner: Body,
    on_cut: Option<F>,
}

impl<F: FnOnce()> WatchedBody<F> {
    pub(crate) const fn new(inner: Body, on_cut: F) -> Self {
        Self {
            inner,
            on_cut: Some(on_cut),
        }
    }
}

impl<F: FnOnce() + Unpin> HttpBody for WatchedBody<F> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if let Poll::Ready(Some(Err(BodyError::Cut(_)))) = &polled
            && let Some(on_cut) = self.on_cut.take()
        {
            on_cut();
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
