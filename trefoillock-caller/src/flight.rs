//! One attempt of a call on its way to a backend server and back.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::time::Instant;
use trefoillock_backend::{Body, BodyError, CallFailure, Execution};
use trefoillock_core::{Member, RefusalReason};
use trefoillock_policy::{CallResult, LoadHint};
use trefoillock_process::Clock;

use crate::pool_state::PoolState;

/// Counts an attempt at the balancer until it has ended; one that is dropped was cancelled.
#[derive(Debug)]
pub(crate) struct Flight {
    clock: Clock,
    pool: Arc<PoolState>,
    member: Arc<Member>,
    started: Instant,
    hint: Option<LoadHint>,
    result: CallResult,
}

impl Flight {
    pub(crate) fn new(clock: Clock, pool: Arc<PoolState>, member: Arc<Member>) -> Self {
        Self {
            clock,
            pool,
            member,
            started: Instant::now(),
            hint: None,
            result: CallResult::Cancelled,
        }
    }

    /// The backend server.
    pub(crate) const fn member(&self) -> &Arc<Member> {
        &self.member
    }

    /// The time since the start.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Notes the head of an answer.
    pub(crate) fn head(&mut self, hint: Option<LoadHint>, server_error: bool) {
        self.hint = hint;
        self.result = if server_error {
            CallResult::Failed
        } else {
            CallResult::Answered(self.elapsed())
        };
    }

    /// Notes that the answer was cut.
    const fn cut(&mut self) {
        self.result = CallResult::Failed;
    }

    /// Notes a failure.
    pub(crate) fn fail(mut self, failure: &CallFailure) {
        self.result = match (failure.reason(), failure.execution()) {
            (RefusalReason::Overloaded | RefusalReason::RefusedByServer, _)
            | (RefusalReason::Deadline, Execution::DidNotRun(_)) => CallResult::Overloaded,
            _ => CallResult::Failed,
        };
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.clock.now();
        let id = &self.member.id;
        self.pool.ended(now, id, self.result, self.hint);
    }
}

/// The body of an answer whose attempt goes on until the body has ended.
pub(crate) struct FlightBody {
    inner: Body,
    flight: Option<Flight>,
}

impl FlightBody {
    pub(crate) const fn new(inner: Body, flight: Flight) -> Self {
        Self {
            inner,
            flight: Some(flight),
        }
    }
}

impl HttpBody for FlightBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.flight = None,
            Poll::Ready(Some(Err(_))) => {
                if let Some(mut flight) = self.flight.take() {
                    flight.cut();
                }
            }
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
