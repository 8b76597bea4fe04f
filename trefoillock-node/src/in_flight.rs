//! Requests of a connection that are not answered to the end.

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

/// Counts a request until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    /// Counts one more request.
    pub(crate) fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }

    /// Counts the request until the body of its answer has ended.
    pub(crate) fn hold(self, body: Body) -> Body {
        let body = HeldBody {
            inner: body,
            _in_flight: self,
        };
        body.boxed_unsync()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A body with the request that it answers.
struct HeldBody {
    inner: Body,
    _in_flight: InFlight,
}

impl HttpBody for HeldBody {
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
