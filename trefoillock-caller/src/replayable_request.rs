//! Requests that can be sent more than once because their body is buffered.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http::{Request, request::Parts};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use trefoillock_backend::{Body, BodyError, full_body};

/// The number of buffered bytes after which the rest of a body is streamed.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// A request whose body is buffered if it is short. A longer body is streamed and can be sent only
/// once.
#[derive(Debug)]
pub(crate) struct ReplayableRequest {
    head: Request<()>,
    prefix: Bytes,
    remainder: Remainder,
}

/// What follows the buffered prefix of a body.
#[derive(Debug)]
enum Remainder {
    /// Nothing: the whole body is buffered.
    None,
    /// A stream that was not sent yet.
    Stream(Body),
    /// A stream that was already sent.
    Consumed,
}

impl ReplayableRequest {
    /// Reads the prefix of a request's body.
    pub(crate) async fn read(parts: Parts, mut body: Body) -> Result<Self, BodyError> {
        let mut prefix = BytesMut::new();
        let mut remainder = Remainder::None;
        while !body.is_end_stream() {
            if prefix.len() >= MAX_BUFFERED_BYTES {
                remainder = Remainder::Stream(body);
                break;
            }
            match body.frame().await {
                None => break,
                Some(Err(error)) => return Err(error),
                Some(Ok(frame)) => prefix.extend(frame.into_data()),
            }
        }
        let prefix = prefix.freeze();
        let head = Request::from_parts(parts, ());
        Ok(Self {
            head,
            prefix,
            remainder,
        })
    }

    /// The head of the request, as it is sent with every attempt.
    pub(crate) const fn head(&self) -> &Request<()> {
        &self.head
    }

    /// The buffered prefix of the body.
    pub(crate) fn body_prefix(&self) -> &[u8] {
        &self.prefix
    }

    /// Whether the request can be sent, for the first time or again.
    pub(crate) const fn can_send(&self) -> bool {
        !matches!(self.remainder, Remainder::Consumed)
    }

    /// Whether the whole body is buffered, so that the request can be sent any number of times.
    pub(crate) const fn is_fully_buffered(&self) -> bool {
        matches!(self.remainder, Remainder::None)
    }

    /// The request for the next attempt. Its body fails if it was streamed before; see
    /// [`Self::can_send`].
    pub(crate) fn next_request(&mut self) -> Request<Body> {
        let body = match std::mem::replace(&mut self.remainder, Remainder::Consumed) {
            Remainder::None => {
                self.remainder = Remainder::None;
                full_body(self.prefix.clone())
            }
            Remainder::Stream(remainder) => PrefixedBody {
                prefix: Some(self.prefix.clone()),
                remainder,
            }
            .boxed_unsync(),
            Remainder::Consumed => PrefixedBody::failing().boxed_unsync(),
        };
        self.head.clone().map(|()| body)
    }
}

/// A buffered prefix followed by the rest of the body.
struct PrefixedBody {
    prefix: Option<Bytes>,
    remainder: Body,
}

impl PrefixedBody {
    /// A body that fails on its first read.
    fn failing() -> Self {
        let error = BodyError::Cut("the body was already sent and is not buffered".to_owned());
        let stream = futures::stream::once(async { Err::<Frame<Bytes>, _>(error) });
        Self {
            prefix: None,
            remainder: http_body_util::StreamBody::new(stream).boxed_unsync(),
        }
    }
}

impl HttpBody for PrefixedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        Pin::new(&mut self.remainder).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.remainder.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, Bytes::len) as u64;
        let remainder = self.remainder.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(remainder.lower() + prefix);
        if let Some(upper) = remainder.upper() {
            hint.set_upper(upper + prefix);
        }
        hint
    }
}
