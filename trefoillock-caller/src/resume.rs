//! Resumes responses by range requests after a backend server was lost while it sent the body.

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{Stream, stream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::time::sleep;
use trefoillock_backend::{Body, BodyError, SizedBody};
use trefoillock_core::ServerId;
use trefoillock_node::{NodeContext, QuotaToken, SentToken, random_u32};

use crate::{
    attempt_tracker::AttemptTracker,
    call::Call,
    dispatch::{lane, send_attempt, take_token},
    pool_state::PoolState,
    replayable_request::ReplayableRequest,
};

/// The largest number of attempts to resume one response.
const MAX_RESUME_ATTEMPTS: u32 = 16;
/// The pause after every backend server of the pool was tried.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// The bytes of a response that are still to be sent, `next..end`, of a representation with a
/// strong validator.
#[derive(Debug, Clone)]
struct ResumableRange {
    etag: HeaderValue,
    next: u64,
    end: u64,
}

/// A response body that continues on other backend servers of the same pool when it is cut off.
struct Resumption {
    cx: Arc<NodeContext>,
    call: Arc<Call>,
    pool: Arc<PoolState>,
    head: Request<()>,
    range: ResumableRange,
    body: Body,
    attempts_left: u32,
}

/// Makes the body of a response resumable if its head allows that: a `GET` with a strong `ETag`, no
/// content encoding, and a known range.
pub(crate) fn resumable(
    cx: &Arc<NodeContext>,
    call: &Arc<Call>,
    pool: &Arc<PoolState>,
    req: &ReplayableRequest,
    resp: Response<Body>,
) -> Response<Body> {
    let is_plain_get = req.head().method() == Method::GET && req.is_fully_buffered();
    let Some(range) = resumable_range(&resp).filter(|_| is_plain_get) else {
        return resp;
    };
    let length = range.end.saturating_sub(range.next);
    resp.map(|body| {
        let resumption = Resumption {
            cx: cx.clone(),
            call: call.clone(),
            pool: pool.clone(),
            head: req.head().clone(),
            range,
            body,
            attempts_left: MAX_RESUME_ATTEMPTS,
        };
        let body = StreamBody::new(resumption.stream()).boxed_unsync();
        SizedBody::new(body, Some(length)).boxed_unsync()
    })
}

/// The range of a response; `None` if it cannot be resumed.
fn resumable_range(resp: &Response<Body>) -> Option<ResumableRange> {
    let map = resp.headers();
    let etag = map.get(header::ETAG)?;
    if !etag.as_bytes().starts_with(b"\"") || map.contains_key(header::CONTENT_ENCODING) {
        return None;
    }
    let (next, end) = match resp.status() {
        StatusCode::OK if map.get(header::ACCEPT_RANGES)? == "bytes" => (0, length(map)?),
        StatusCode::PARTIAL_CONTENT => content_range(map)?,
        _ => return None,
    };
    Some(ResumableRange {
        etag: etag.clone(),
        next,
        end,
    })
}

fn length(map: &HeaderMap) -> Option<u64> {
    let text = map.get(header::CONTENT_LENGTH)?.to_str().ok()?;
    text.parse().ok()
}

/// The first byte of a partial response and the byte after its last one.
fn content_range(map: &HeaderMap) -> Option<(u64, u64)> {
    let text = map.get(header::CONTENT_RANGE)?.to_str().ok()?;
    let (range, _) = text.strip_prefix("bytes ")?.split_once('/')?;
    let (first, last) = range.split_once('-')?;
    let last: u64 = last.parse().ok()?;
    Some((first.parse().ok()?, last.checked_add(1)?))
}

type StreamStep = Option<(Result<Frame<Bytes>, BodyError>, Option<Resumption>)>;

impl Resumption {
    fn stream(self) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> + Send {
        stream::unfold(Some(self), |state| async move { state?.next().await })
    }

    /// Reads the next frame. Returns it with the state for the frame after it.
    fn next(mut self) -> Pin<Box<dyn Future<Output = StreamStep> + Send>> {
        Box::pin(async move {
            loop {
                match self.body.frame().await {
                    None => return None,
                    Some(Ok(frame)) => {
                        let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                        self.range.next += bytes;
                        return Some((Ok(frame), Some(self)));
                    }
                    Some(Err(BodyError::Deadline)) => {
                        return Some((Err(BodyError::Deadline), None));
                    }
                    Some(Err(error)) => {
                        if !self.resume().await {
                            return Some((Err(error), None));
                        }
                    }
                }
            }
        })
    }

    /// Requests the rest of the body from another backend server; after all were tried, it starts
    /// again after a pause. Returns whether one responded with exactly the missing range.
    async fn resume(&mut self) -> bool {
        let mut tried: Vec<ServerId> = Vec::new();
        while self.attempts_left > 0 && !self.call.time_left().is_zero() {
            self.attempts_left -= 1;
            let now = self.cx.clock().now();
            let class = self.call.route.class;
            let Ok(token) = take_token(&self.cx, &self.call).await else {
                sleep(RESUME_PAUSE.min(self.call.time_left())).await;
                continue;
            };
            let Some(member) =
                self.pool
                    .start_attempt(now, u64::from(random_u32()), class, None, &tried)
            else {
                tried.clear();
                sleep(RESUME_PAUSE.min(self.call.time_left())).await;
                continue;
            };
            tried.push(member.id.clone());
            let (clock, lane) = (*self.cx.clock(), lane(&self.call));
            let tracker = AttemptTracker::new(clock, self.pool.clone(), member, lane);
            let token = token.map(QuotaToken::send);
            let expires = token.as_ref().map(SentToken::expires);
            let answer = send_attempt(&self.cx, &self.call, tracker, self.request(), expires).await;
            if let Err(failure) = &answer
                && !failure.may_have_reached_server()
            {
                drop(token.map(SentToken::recover));
            }
            if let Ok(resp) = answer
                && self.is_remaining_range(&resp)
            {
                self.body = resp.into_body();
                return true;
            }
        }
        false
    }

    fn request(&self) -> Request<Body> {
        let ResumableRange { etag, next, end } = &self.range;
        let mut req = self
            .head
            .clone()
            .map(|()| trefoillock_backend::empty_body());
        let map = req.headers_mut();
        let range = format!("bytes={next}-{}", end.saturating_sub(1));
        if let Ok(range) = HeaderValue::try_from(range) {
            map.insert(header::RANGE, range);
        }
        map.insert(header::IF_RANGE, etag.clone());
        req
    }

    fn is_remaining_range(&self, resp: &Response<Body>) -> bool {
        let map = resp.headers();
        resp.status() == StatusCode::PARTIAL_CONTENT
            && map.get(header::ETAG) == Some(&self.range.etag)
            && content_range(map) == Some((self.range.next, self.range.end))
    }
}
