//! Copies the body of a response to a posting, if it is short.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use trefoillock_backend::{Body, BodyError};
use trefoillock_policy::MAX_STORED_BODY_BYTES;

/// A body that passes a copy of itself to `on_end` once it has ended: the whole content if it is
/// complete and at most [`MAX_STORED_BODY_BYTES`] long, otherwise `None`.
pub(crate) struct StoredBody<F: FnOnce(Option<Vec<u8>>)> {
    inner: Body,
    copy: Option<Vec<u8>>,
    on_end: Option<F>,
}

impl<F: FnOnce(Option<Vec<u8>>)> StoredBody<F> {
    pub(crate) fn new(inner: Body, on_end: F) -> Self {
        let mut body = Self {
            inner,
            copy: Some(Vec::new()),
            on_end: Some(on_end),
        };
        if body.inner.is_end_stream() {
            body.report_end();
        }
        body
    }

    fn append(&mut self, frame: &Frame<Bytes>) {
        let Some(data) = frame.data_ref() else {
            return;
        };
        if let Some(copy) = &mut self.copy {
            copy.extend_from_slice(data);
            if copy.len() > MAX_STORED_BODY_BYTES {
                self.copy = None;
            }
        }
    }

    fn report_end(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            on_end(self.copy.take());
        }
    }
}

impl<F: FnOnce(Option<Vec<u8>>) + Unpin> HttpBody for StoredBody<F> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(None) => self.report_end(),
            Poll::Ready(Some(Ok(frame))) => {
                self.append(frame);
                if self.inner.is_end_stream() {
                    self.report_end();
                }
            }
            Poll::Ready(Some(Err(_))) => {
                self.copy = None;
                self.report_end();
            }
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

impl<F: FnOnce(Option<Vec<u8>>)> Drop for StoredBody<F> {
    fn drop(&mut self) {
        if !self.inner.is_end_stream() {
            self.copy = None;
        }
        self.report_end();
    }
}
