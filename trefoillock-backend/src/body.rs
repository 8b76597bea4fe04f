//! The streamed body type, and wrappers that limit its time or state its length.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use displaydoc::Display;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use tokio::time::{Instant, Sleep};

/// Why a body failed before it was complete.
#[derive(Debug, Clone, Display)]
pub enum BodyError {
    /// the deadline of the call passed before the body was complete
    Deadline,
    /// the body was cut: {0}
    Cut(String),
}

impl std::error::Error for BodyError {}

/// A body that is streamed and never buffered as a whole.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Turns any body into a [`Body`].
pub fn box_body<B>(body: B) -> Body
where
    B: HttpBody<Data = Bytes> + Send + 'static,
    B::Error: std::fmt::Display,
{
    body.map_err(|error| BodyError::Cut(error.to_string()))
        .boxed_unsync()
}

/// An empty body.
#[must_use]
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body of bytes that are already in memory.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The time after its deadline for which a body may go on as long as it has frames ready.
pub const LATE_BODY_TIME: Duration = Duration::from_millis(200);

/// A body that fails with [`BodyError::Deadline`] if it waits for a frame when the deadline has
/// passed, and [`LATE_BODY_TIME`] later at the latest, since a faulty peer may send frames without end.
pub struct DeadlineBody {
    inner: Body,
    deadline: Pin<Box<Sleep>>,
    end: Instant,
}

impl DeadlineBody {
    /// Limits a body to a deadline.
    #[must_use]
    pub fn new(inner: Body, deadline: Instant) -> Self {
        Self {
            inner,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            end: deadline + LATE_BODY_TIME,
        }
    }
}

impl HttpBody for DeadlineBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(_)) if Instant::now() >= self.end => {
                return Poll::Ready(Some(Err(BodyError::Deadline)));
            }
            Poll::Ready(frame) => return Poll::Ready(frame),
            Poll::Pending => {}
        }
        match self.deadline.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Some(Err(BodyError::Deadline))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A body of a stated length, which has ended once that many bytes were read.
pub struct SizedBody {
    inner: Body,
    left: Option<u64>,
}

impl SizedBody {
    /// States the length of `inner` in bytes; `None` if it is unknown.
    #[must_use]
    pub const fn new(inner: Body, length: Option<u64>) -> Self {
        Self {
            inner,
            left: length,
        }
    }
}

impl HttpBody for SizedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
            self.left = self.left.map(|left| left.saturating_sub(bytes));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0) || self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}
