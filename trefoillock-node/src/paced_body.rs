//! Bodies that leave the VM at the pace of its link.

use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use trefoillock_backend::{Body, BodyError};

use crate::link_pacer::LinkPermit;

/// The number of bytes that one body holds until it is its turn.
///
/// A body that is read in full gives the slot of the backend server back, so that short calls find
/// one while long bodies wait for the link.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// How a body has ended.
#[derive(Debug)]
enum End {
    Complete,
    Failed(BodyError),
}

/// A body that reads ahead and passes its bytes on when the link has room for them.
pub(crate) struct PacedBody {
    inner: Body,
    permit: LinkPermit,
    held: VecDeque<Frame<Bytes>>,
    held_bytes: usize,
    end: Option<End>,
}

impl PacedBody {
    pub(crate) fn new(inner: Body, permit: LinkPermit) -> Self {
        permit.record_length(inner.size_hint().exact());
        Self {
            inner,
            permit,
            held: VecDeque::new(),
            held_bytes: 0,
            end: None,
        }
    }

    /// Reads the frames that are ready, up to the limit.
    fn read_ahead(&mut self, cx: &mut Context<'_>) {
        while self.end.is_none() && self.held_bytes < MAX_HELD_BYTES {
            match Pin::new(&mut self.inner).poll_frame(cx) {
                Poll::Pending => return,
                Poll::Ready(None) => self.end = Some(End::Complete),
                Poll::Ready(Some(Err(error))) => self.end = Some(End::Failed(error)),
                Poll::Ready(Some(Ok(frame))) => {
                    self.held_bytes += frame.data_ref().map_or(0, Bytes::len);
                    self.held.push_back(frame);
                    if self.inner.is_end_stream() {
                        self.end = Some(End::Complete);
                    }
                }
            }
        }
    }

    /// Takes the next chunk of the first frame that is held.
    fn pop_chunk(&mut self, cx: &Context<'_>) -> Poll<Option<Frame<Bytes>>> {
        let Some(first) = self.held.front_mut() else {
            return Poll::Ready(None);
        };
        let Some(data) = first.data_mut() else {
            return Poll::Ready(self.held.pop_front());
        };
        let count = data.len().min(self.permit.chunk_bytes());
        if !self.permit.try_send(count, cx.waker()) {
            return Poll::Pending;
        }
        let chunk = data.split_to(count);
        if data.is_empty() {
            self.held.pop_front();
        }
        self.held_bytes -= count;
        Poll::Ready(Some(Frame::data(chunk)))
    }
}

impl HttpBody for PacedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.read_ahead(cx);
        if let Some(frame) = std::task::ready!(self.pop_chunk(cx)) {
            if self.is_end_stream() {
                self.permit.complete();
            }
            return Poll::Ready(Some(Ok(frame)));
        }
        match &self.end {
            None => Poll::Pending,
            Some(End::Complete) => {
                self.permit.complete();
                Poll::Ready(None)
            }
            Some(End::Failed(error)) => Poll::Ready(Some(Err(error.clone()))),
        }
    }

    fn is_end_stream(&self) -> bool {
        let is_read = matches!(self.end, Some(End::Complete)) || self.inner.is_end_stream();
        is_read && self.held.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held_bytes as u64;
        let inner = self.inner.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(inner.lower() + held);
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + held);
        }
        hint
    }
}
