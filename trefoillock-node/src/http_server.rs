//! Serves HTTP/1.1 and HTTP/2 on a listening socket, with limits and a graceful stop.

use std::{
    convert::Infallible,
    future::{Future, poll_fn},
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    task::Poll,
    time::Duration,
};

use futures::future::{Either, ready};
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use http_body_util::BodyExt;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::yield_now,
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use trefoillock_backend::{Body, empty_body};

use crate::{
    flushed_body::FlushedBody,
    in_flight::InFlightRequest,
    lingering_stream::{LingeringStream, StreamActivity},
    listener_close::{HANDSHAKE_TIME, close_listener, hold_off_connections},
    read_ahead::ReadAheadStream,
};

/// The time for which an idle HTTP/1.1 connection is kept after a stop, so that a request that was
/// already sent is still answered.
const STOP_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// The pause after `accept` has failed, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The response on a connection that exceeds [`ServerLimits::connections`].
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    trefoillock-outcome: did-not-run\r\ntrefoillock-reason: overloaded\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// The smallest read buffer that the HTTP/1.1 library takes, in bytes.
const MIN_READ_BUFFER: u32 = 8 * 1024;
/// The shortest time for which a connection waits for the head of a request. A head that was sent with
/// the connection may still be on its way.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits that protect a server from malicious or faulty clients.
///
/// With any values the server takes connections and answers requests within the limits.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// The largest number of open connections.
    pub connections: usize,
    /// The largest size of a request's head, in bytes.
    pub header_bytes: u32,
    /// The longest time that a connection may be idle, and that a request's head may take to
    /// arrive; a second at least.
    pub head_timeout: Duration,
    /// The largest number of concurrent calls on one HTTP/2 connection.
    pub streams: u32,
    /// The largest number of calls on one HTTP/2 connection that are cancelled before the server has taken them.
    /// A connection that exceeds it is closed, with all calls.
    pub untaken_cancellations: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_bytes: 32 * 1024,
            head_timeout: Duration::from_secs(15),
            streams: 256,
            untaken_cancellations: 20,
        }
    }
}

/// The number of checks in a row after which a connection that is being closed counts as idle.
const IDLE_CHECKS: u32 = 5;

// The HTTP version of a connection, known after its first request.
const NO_REQUEST: u8 = 0;
const HTTP_1: u8 = 1;
const HTTP_2: u8 = 2;

/// Serves a listening socket until `stop` is cancelled and all calls in flight have ended.
pub async fn serve_http<L, H, F>(
    listener: TcpListener,
    limits: L,
    handler: H,
    stop: CancellationToken,
) where
    L: Fn() -> ServerLimits,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let connection_permits = Arc::new(Semaphore::new(limits().connections));
    let tasks = TaskTracker::new();
    let start = |stream: TcpStream| {
        let Ok(permit) = connection_permits.clone().try_acquire_owned() else {
            tasks.spawn(reject_connection(stream));
            return;
        };
        let handler = handler.clone();
        let stop = stop.clone();
        let mut limits = limits();
        limits.head_timeout = limits.head_timeout.max(MIN_HEAD_TIMEOUT);
        tasks.spawn(async move {
            serve_connection(stream, limits, handler, stop).await;
            drop(permit);
        });
    };
    let accept = async || match listener.accept().await {
        Ok((stream, _)) => start(stream),
        Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
    };
    while stop.run_until_cancelled(accept()).await.is_some() {}
    hold_off_connections(&listener);
    let handshakes = sleep(HANDSHAKE_TIME);
    let mut handshakes = std::pin::pin!(handshakes);
    loop {
        tokio::select! {
            () = accept() => {}
            () = &mut handshakes => break,
        }
    }
    for stream in close_listener(listener) {
        start(stream);
    }
    tasks.close();
    tasks.wait().await;
}

async fn reject_connection(mut stream: TcpStream) {
    let _ = stream.write_all(TOO_MANY_CONNECTIONS).await;
    let _ = stream.shutdown().await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ServerLimits,
    handler: H,
    stop: CancellationToken,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    // The runtime learns only in its next turn that the peer of a new socket has already closed it.
    yield_now().await;
    let version = Arc::new(AtomicU8::new(NO_REQUEST));
    let in_flight = Arc::new(AtomicUsize::new(0));
    let service = {
        let in_flight = in_flight.clone();
        let version = version.clone();
        let stop = stop.clone();
        service_fn(move |req: Request<Incoming>| {
            let is_http_2 = req.version() == Version::HTTP_2;
            version.store(if is_http_2 { HTTP_2 } else { HTTP_1 }, Ordering::Relaxed);
            let request = InFlightRequest::new(in_flight.clone());
            let (handler, stop) = (handler.clone(), stop.clone());
            async move {
                if is_http_2 {
                    poll_again().await;
                }
                let answer = if head_bytes(&req) > limits.header_bytes as usize {
                    Either::Left(ready(head_too_large()))
                } else {
                    Either::Right(handler(req))
                };
                let mut resp = answer.await.map(|body| {
                    let body = FlushedBody::new(body).boxed_unsync();
                    request.until_body_ends(body)
                });
                if !is_http_2 && stop.is_cancelled() {
                    let close = HeaderValue::from_static("close");
                    resp.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(resp)
            }
        })
    };
    let builder = builder(limits);
    let activity = Arc::new(StreamActivity::default());
    let socket = ReadAheadStream::new(stream);
    let departed = || departure(&socket, &version);
    let stream = LingeringStream::new(socket.clone(), activity.clone());
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    // The close is looked for first, so that no request of a caller that has left is begun.
    tokio::select! {
        biased;
        () = departed() => return,
        _ = conn.as_mut() => return,
        () = first_request_timeout(&version, limits.head_timeout) => return,
        () = stop.cancelled() => {}
    }
    if version.load(Ordering::Relaxed) != HTTP_2 {
        tokio::select! {
            biased;
            () = departed() => return,
            _ = conn.as_mut() => return,
            () = sleep(STOP_GRACE_PERIOD) => {}
        }
    }
    let bytes_read = activity.bytes_read();
    conn.as_mut().graceful_shutdown();
    let is_idle = || {
        // A peer of an HTTP/2 connection that answers is there, and the connection ends by itself
        // when it has sent everything, however long the peer withholds the window for it.
        let answers =
            version.load(Ordering::Relaxed) == HTTP_2 && activity.bytes_read() > bytes_read;
        in_flight.load(Ordering::Acquire) == 0 && !activity.is_sending() && !answers
    };
    tokio::select! {
        biased;
        () = departed() => {}
        _ = conn => {}
        () = wait_until_idle(is_idle) => {}
    }
}

/// Completes when it is polled for the second time. In between, the HTTP/2 library drops a request whose
/// stream the peer has already reset.
async fn poll_again() {
    let mut is_polled = false;
    poll_fn(|cx| {
        if is_polled {
            return Poll::Ready(());
        }
        is_polled = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Completes once the peer has left. An HTTP/2 connection is always read and notices that by itself.
async fn departure(socket: &ReadAheadStream, version: &AtomicU8) {
    poll_fn(|cx| match version.load(Ordering::Relaxed) {
        HTTP_2 => Poll::Pending,
        _ => socket.poll_departure(cx),
    })
    .await;
}

/// The smallest number of bytes in which the head of a request can be written in HTTP/1.1.
fn head_bytes<B>(req: &Request<B>) -> usize {
    let target = req.uri().path_and_query().map_or(0, |p| p.as_str().len());
    let request_line = req.method().as_str().len() + target + "  HTTP/1.1\r\n".len();
    let headers = req.headers().iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + ":\r\n".len())
        .sum();
    request_line + headers + "\r\n".len()
}

/// The response to a request whose head is too large; the rest of the connection is not read.
fn head_too_large() -> Response<Body> {
    let mut resp = Response::new(empty_body());
    *resp.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let close = HeaderValue::from_static("close");
    resp.headers_mut().insert(header::CONNECTION, close);
    resp
}

/// Waits until a connection has been idle for [`STOP_GRACE_PERIOD`]. A peer that vanished without
/// closing its connection would otherwise delay the stop.
async fn wait_until_idle(is_idle: impl Fn() -> bool) {
    let mut idle_checks = 0;
    while idle_checks < IDLE_CHECKS {
        sleep(STOP_GRACE_PERIOD / IDLE_CHECKS).await;
        idle_checks = if is_idle() { idle_checks + 1 } else { 0 };
    }
}

/// Completes if no request has arrived on a new connection within `limit`; otherwise never.
async fn first_request_timeout(version: &AtomicU8, limit: Duration) {
    sleep(limit).await;
    if version.load(Ordering::Relaxed) != NO_REQUEST {
        std::future::pending::<()>().await;
    }
}

/// Creates the settings of a connection. A head that fits into the read buffer may still be larger than
/// `header_bytes`, so each request is checked as well.
fn builder(limits: ServerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER) as usize)
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.header_bytes)
        .max_concurrent_streams(limits.streams)
        .max_pending_accept_reset_streams(limits.untaken_cancellations)
        .keep_alive_interval(limits.head_timeout)
        .keep_alive_timeout(limits.head_timeout);
    builder
}
