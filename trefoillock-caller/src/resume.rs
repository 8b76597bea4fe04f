//! Answers that are resumed by range after a backend server died in mid-body.

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{Stream, stream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::time::sleep;
use trefoillock_backend::{Body, BodyError, SizedBody};
use trefoillock_core::ServerId;
use trefoillock_node::{NodeContext, draw};

use crate::{call::Call, dispatch::attempt, flight::Flight, pool_state::PoolState, replay::Replay};

/// The most attempts to resume one answer.
const MAX_RESUMPTIONS: u32 = 16;
/// The pause after all backend servers were tried.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// The bytes that an answer promised: a range of a representation with a strong validator.
#[derive(Debug, Clone)]
struct Promise {
    etag: HeaderValue,
    next: u64,
    end: u64,
}

/// Continues an answer that was cut, on other backend servers of the same pool.
struct Resumption {
    cx: Arc<NodeContext>,
    call: Arc<Call>,
    pool: Arc<PoolState>,
    head: Request<()>,
    promise: Promise,
    body: Body,
    left: u32,
}

/// Makes the body of an answer resumable if its head offers that.
pub(crate) fn resumable(
    cx: &Arc<NodeContext>,
    call: &Arc<Call>,
    pool: &Arc<PoolState>,
    req: &Replay,
    resp: Response<Body>,
) -> Response<Body> {
    let is_plain_get = req.head().method() == Method::GET && req.is_whole();
    let Some(promise) = promise(&resp).filter(|_| is_plain_get) else {
        return resp;
    };
    let length = promise.end.saturating_sub(promise.next);
    resp.map(|body| {
        let resumption = Resumption {
            cx: cx.clone(),
            call: call.clone(),
            pool: pool.clone(),
            head: req.head().clone(),
            promise,
            body,
            left: MAX_RESUMPTIONS,
        };
        let body = StreamBody::new(resumption.stream()).boxed_unsync();
        SizedBody::new(body, Some(length)).boxed_unsync()
    })
}

/// What an answer promises, if it can be resumed.
fn promise(resp: &Response<Body>) -> Option<Promise> {
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
    Some(Promise {
        etag: etag.clone(),
        next,
        end,
    })
}

fn length(map: &HeaderMap) -> Option<u64> {
    let text = map.get(header::CONTENT_LENGTH)?.to_str().ok()?;
    text.parse().ok()
}

/// The first byte and the byte after the last one of a partial answer.
fn content_range(map: &HeaderMap) -> Option<(u64, u64)> {
    let text = map.get(header::CONTENT_RANGE)?.to_str().ok()?;
    let (range, _) = text.strip_prefix("bytes ")?.split_once('/')?;
    let (first, last) = range.split_once('-')?;
    let last: u64 = last.parse().ok()?;
    Some((first.parse().ok()?, last.checked_add(1)?))
}

type Step = Option<(Result<Frame<Bytes>, BodyError>, Option<Resumption>)>;

impl Resumption {
    fn stream(self) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> + Send {
        stream::unfold(Some(self), |state| async move { state?.next().await })
    }

    /// The next frame, and the state that follows it.
    fn next(mut self) -> Pin<Box<dyn Future<Output = Step> + Send>> {
        Box::pin(async move {
            loop {
                match self.body.frame().await {
                    None => return None,
                    Some(Ok(frame)) => {
                        let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                        self.promise.next += bytes;
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

    /// Asks another backend server for the rest, or the same ones again after a pause. Returns
    /// whether one of them gives exactly that.
    async fn resume(&mut self) -> bool {
        let mut tried: Vec<ServerId> = Vec::new();
        while self.left > 0 && !self.call.time_left().is_zero() {
            self.left -= 1;
            let now = self.cx.clock().now();
            let class = self.call.route.class;
            let Some(member) = self.pool.start(now, u64::from(draw()), class, &tried) else {
                tried.clear();
                sleep(RESUME_PAUSE.min(self.call.time_left())).await;
                continue;
            };
            tried.push(member.id.clone());
            let flight = Flight::new(*self.cx.clock(), self.pool.clone(), member);
            let answer = attempt(&self.cx, &self.call, flight, self.request()).await;
            if let Ok(resp) = answer
                && self.is_rest(&resp)
            {
                self.body = resp.into_body();
                return true;
            }
        }
        false
    }

    fn request(&self) -> Request<Body> {
        let Promise { etag, next, end } = &self.promise;
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

    fn is_rest(&self, resp: &Response<Body>) -> bool {
        let map = resp.headers();
        resp.status() == StatusCode::PARTIAL_CONTENT
            && map.get(header::ETAG) == Some(&self.promise.etag)
            && content_range(map) == Some((self.promise.next, self.promise.end))
    }
}
