//! Requests that can be sent more than once.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http::{Request, request::Parts};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use trefoillock_backend::{Body, BodyError, text_body};

/// The number of bytes of a body that are held, so that the request can be sent again.
pub(crate) const HELD_BYTES: usize = 64 * 1024;

/// A request whose body is held if it is short. A longer body is streamed and can be sent once.
#[derive(Debug)]
pub(crate) struct Replay {
    head: Request<()>,
    start: Bytes,
    rest: Rest,
}

/// What follows the held beginning of a body.
#[derive(Debug)]
enum Rest {
    /// Nothing: the whole body is held.
    None,
    /// A stream that was not used yet.
    Stream(Body),
    /// A stream that was used.
    Used,
}

impl Replay {
    /// Reads the beginning of a request's body.
    pub(crate) async fn read(parts: Parts, mut body: Body) -> Result<Self, BodyError> {
        let mut start = BytesMut::new();
        let mut rest = Rest::None;
        while !body.is_end_stream() {
            if start.len() >= HELD_BYTES {
                rest = Rest::Stream(body);
                break;
            }
            match body.frame().await {
                None => break,
                Some(Err(error)) => return Err(error),
                Some(Ok(frame)) => start.extend(frame.into_data()),
            }
        }
        let start = start.freeze();
        let head = Request::from_parts(parts, ());
        Ok(Self { head, start, rest })
    }

    /// The head.
    pub(crate) const fn head(&self) -> &Request<()> {
        &self.head
    }

    /// The held beginning of the body.
    pub(crate) fn body_start(&self) -> &[u8] {
        &self.start
    }

    /// Whether the request can be sent, again or for the first time.
    pub(crate) const fn can_send(&self) -> bool {
        !matches!(self.rest, Rest::Used)
    }

    /// Whether the request can be sent any number of times.
    pub(crate) const fn is_whole(&self) -> bool {
        matches!(self.rest, Rest::None)
    }

    /// The request for one more attempt.
    pub(crate) fn request(&mut self) -> Request<Body> {
        let body = match std::mem::replace(&mut self.rest, Rest::Used) {
            Rest::None => {
                self.rest = Rest::None;
                text_body(self.start.clone())
            }
            Rest::Stream(rest) => StartedBody {
                start: Some(self.start.clone()),
                rest,
            }
            .boxed_unsync(),
            Rest::Used => StartedBody::broken().boxed_unsync(),
        };
        self.head.clone().map(|()| body)
    }
}

/// A body whose beginning was read already.
struct StartedBody {
    start: Option<Bytes>,
    rest: Body,
}

impl StartedBody {
    /// A body that fails at once.
    fn broken() -> Self {
        let error = BodyError::Cut("the body was sent before".to_owned());
        let failing = futures::stream::once(async { Err::<Frame<Bytes>, _>(error) });
        Self {
            start: None,
            rest: http_body_util::StreamBody::new(failing).boxed_unsync(),
        }
    }
}

impl HttpBody for StartedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(start) = self.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let start = self.start.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + start);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + start);
        }
        hint
    }
}
