//! Bodies that are read to their end even if the receiver drops them.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;
use trefoillock_backend::{Body, BodyError, SizedBody};

/// The number of frames that are buffered between the reading task and the receiver.
const CHANNEL_FRAMES: usize = 2;

/// Reads a body in a separate task. The returned body streams its frames; after it is dropped, the
/// rest is read and discarded, so that the response still completes. `length` is the stated length
/// of the body, in bytes.
#[must_use]
pub fn detach_body(mut body: Body, length: Option<u64>, tasks: &TaskTracker) -> Body {
    if body.is_end_stream() {
        return body;
    }
    let (tx, rx) = mpsc::channel(CHANNEL_FRAMES);
    tasks.spawn(async move {
        while let Some(frame) = body.frame().await {
            let failed = frame.is_err();
            if frame.as_ref().is_ok_and(is_empty_data) {
                continue;
            }
            let _ = tx.send(frame).await;
            if failed {
                return;
            }
        }
        let _ = tx.send(Ok(Frame::data(Bytes::new()))).await;
        drop(tx);
    });
    let body = DetachedBody { rx, ended: false }.boxed_unsync();
    SizedBody::new(body, length).boxed_unsync()
}

fn is_empty_data(frame: &Frame<Bytes>) -> bool {
    frame.data_ref().is_some_and(Bytes::is_empty)
}

/// The receiving half of a detached body. An empty data frame marks the end, so that a reading task
/// that panics or is aborted never looks like a complete body.
struct DetachedBody {
    rx: mpsc::Receiver<Result<Frame<Bytes>, BodyError>>,
    ended: bool,
}

impl HttpBody for DetachedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.rx.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if is_empty_data(&frame) {
                    self.ended = true;
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.ended = true;
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(None) => {
                self.ended = true;
                let error = BodyError::Cut("the task that reads the body ended early".to_owned());
                Poll::Ready(Some(Err(error)))
            }
        }
    }
}
