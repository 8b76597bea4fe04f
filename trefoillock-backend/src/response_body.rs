//! The streamed body of a backend server's response.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{Body, BodyError, LocalServer, connection::Connection};

/// A body that keeps the connection of its call, which keeps the slot.
///
/// When the body is complete, the connection becomes idle. If the body is dropped earlier, or
/// fails, the connection is closed.
pub(crate) struct ResponseBody {
    inner: Incoming,
    conn: Option<Connection>,
    server: Arc<LocalServer>,
}

impl ResponseBody {
    pub(crate) fn new(inner: Incoming, conn: Connection, server: Arc<LocalServer>) -> Self {
        let mut body = Self {
            inner,
            conn: Some(conn),
            server,
        };
        if body.inner.is_end_stream() {
            body.finish();
        }
        body
    }

    pub(crate) fn boxed(self) -> Body {
        self.boxed_unsync()
    }

    /// Makes the connection idle before it releases the slot, so that the next admitted call can
    /// reuse the connection.
    fn finish(&mut self) {
        if let Some(conn) = self.conn.take()
            && let Some(mut slot) = conn.end_call()
        {
            self.server.put_idle(conn);
            slot.finish();
        }
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                self.conn = None;
                Poll::Ready(Some(Err(BodyError::Cut(error.to_string()))))
            }
            Poll::Ready(Some(Ok(frame))) => {
                if self.inner.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
