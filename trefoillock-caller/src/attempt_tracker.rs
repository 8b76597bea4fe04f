//! Reports each attempt of a call, and its result, to the state of the pool.

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
use trefoillock_policy::{CallResult, Lane, LoadHint};
use trefoillock_process::Clock;

use crate::pool_state::PoolState;

/// An attempt that is counted by the balancer until this value is dropped. Without a recorded
/// result it counts as cancelled.
#[derive(Debug)]
pub(crate) struct AttemptTracker {
    clock: Clock,
    pool: Arc<PoolState>,
    member: Arc<Member>,
    lane: Lane,
    started: Instant,
    result: CallResult,
}

impl AttemptTracker {
    pub(crate) fn new(clock: Clock, pool: Arc<PoolState>, member: Arc<Member>, lane: Lane) -> Self {
        Self {
            clock,
            pool,
            member,
            lane,
            started: Instant::now(),
            result: CallResult::Cancelled,
        }
    }

    /// The backend server that the attempt is sent to.
    pub(crate) const fn member(&self) -> &Arc<Member> {
        &self.member
    }

    /// The time since the attempt started.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records that the head of a response has arrived.
    pub(crate) fn record_head(&mut self, hint: Option<LoadHint>, server_error: bool) {
        if let Some(hint) = hint {
            let now = self.clock.now();
            self.pool.record_hint(now, &self.member.id, hint);
        }
        self.result = if server_error {
            CallResult::Failed
        } else {
            CallResult::Answered(self.elapsed())
        };
    }

    /// Records that the response was cut off.
    const fn record_cut(&mut self) {
        self.result = CallResult::Failed;
    }

    /// Records a failure and ends the attempt.
    pub(crate) fn record_failure(mut self, failure: &CallFailure) {
        self.result = match (failure.reason(), failure.execution()) {
            (RefusalReason::RateLimited, _) => CallResult::RateLimited {
                lane: self.lane,
                wait: failure.retry_after().unwrap_or_default(),
            },
            // The link says nothing about calls with small responses, and the rollout and the
            // evacuation nothing about the backend server.
            (
                RefusalReason::LinkFull | RefusalReason::AllowanceSpent | RefusalReason::Evacuated,
                _,
            ) => CallResult::Cancelled,
            (RefusalReason::Overloaded | RefusalReason::RefusedByServer, _)
            | (RefusalReason::Deadline, Execution::DidNotRun(_)) => CallResult::Overloaded,
            _ => CallResult::Failed,
        };
    }
}

impl Drop for AttemptTracker {
    fn drop(&mut self) {
        let now = self.clock.now();
        let id = &self.member.id;
        self.pool.end_attempt(now, id, self.result);
    }
}

/// The body of a response; its attempt ends with the body.
pub(crate) struct TrackedBody {
    inner: Body,
    tracker: Option<AttemptTracker>,
}

impl TrackedBody {
    pub(crate) const fn new(inner: Body, tracker: AttemptTracker) -> Self {
        Self {
            inner,
            tracker: Some(tracker),
        }
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.tracker = None,
            Poll::Ready(Some(Err(_))) => {
                if let Some(mut tracker) = self.tracker.take() {
                    tracker.record_cut();
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
