//! Counts the requests of a connection whose response is not complete.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use trefoillock_backend::{Body, BodyError};

/// A request that is counted until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightRequest(Arc<AtomicUsize>);

impl InFlightRequest {
    /// Increments `count` until the value is dropped.
    pub(crate) fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }

    /// Keeps counting the request until the body of its response is dropped.
    pub(crate) fn until_body_ends(self, body: Body) -> Body {
        let body = CountedBody {
            inner: body,
            _in_flight: self,
        };
        body.boxed_unsync()
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A body that keeps its request counted.
struct CountedBody {
    inner: Body,
    _in_flight: InFlightRequest,
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
