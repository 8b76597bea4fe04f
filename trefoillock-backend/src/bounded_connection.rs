//! The task of a connection to a backend server, which ends when its call is over time.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use tokio::time::{Instant, Sleep};

use crate::call_bounds::CallBounds;

/// Runs a connection until it ends, or until the call that it carries must have ended. Dropping the
/// connection closes its socket.
pub(crate) struct BoundedConnection<C> {
    conn: Option<Pin<Box<C>>>,
    bounds: Arc<CallBounds>,
    timer: Pin<Box<Sleep>>,
    /// The time for which the timer is set; `None` if it is not in use.
    timer_end: Option<Instant>,
}

impl<C: Future> BoundedConnection<C> {
    pub(crate) fn new(conn: C, bounds: Arc<CallBounds>) -> Self {
        Self {
            conn: Some(Box::pin(conn)),
            bounds,
            timer: Box::pin(tokio::time::sleep_until(Instant::now())),
            timer_end: None,
        }
    }

    /// Whether the call is over time. If not, the task is woken when it will be.
    fn is_over_time(&mut self, cx: &mut Context<'_>) -> bool {
        let end = self.bounds.end();
        if end != self.timer_end {
            self.timer_end = end;
            if let Some(end) = end {
                self.timer.as_mut().reset(end);
            }
        }
        end.is_some() && self.timer.as_mut().poll(cx).is_ready()
    }
}

impl<C: Future> Future for BoundedConnection<C> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_over_time(cx) {
            self.conn = None;
            drop(self.bounds.end_call());
            return Poll::Ready(());
        }
        match &mut self.conn {
            Some(conn) => conn.as_mut().poll(cx).map(|_| ()),
            None => Poll::Ready(()),
        }
    }
}
