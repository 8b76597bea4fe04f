//! Guards against work for callers that have closed their connection.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::full_body;
use trefoillock_node::{ServerLimits, serve_http};

const REQUEST: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
/// The time from the first request to the close of its connection.
const STAY: Duration = Duration::from_millis(150);
/// The time after a close within which the work for the caller ends.
const BOUND: Duration = Duration::from_millis(500);
/// More requests than are read ahead. All fit into the buffers of the sockets, as the close behind them
/// would not arrive otherwise.
const MANY_REQUESTS: usize = 4_500;

/// Counts the requests that were begun and those whose work was not dropped before its end.
#[derive(Debug, Default)]
struct Work {
    begun: AtomicUsize,
    running: AtomicUsize,
}

impl Work {
    fn counts(&self) -> (usize, usize) {
        (
            self.begun.load(Ordering::Acquire),
            self.running.load(Ordering::Acquire),
        )
    }
}

struct Running(Arc<Work>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A server whose requests take a time, and that can be stopped.
struct Server {
    address: SocketAddr,
    work: Arc<Work>,
    stop: CancellationToken,
    serving: JoinHandle<()>,
}

impl Server {
    async fn start(work_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let work = Arc::new(Work::default());
        let handler = {
            let work = work.clone();
            move |req: Request<Incoming>| {
                let work = work.clone();
                work.begun.fetch_add(1, Ordering::AcqRel);
                work.running.fetch_add(1, Ordering::AcqRel);
                let running = Running(work);
                async move {
                    let _running = running;
                    let _ = req.into_body().collect().await;
                    sleep(work_time).await;
                    Response::new(full_body(Bytes::from_static(b"done")))
                }
            }
        };
        let stop = CancellationToken::new();
        let serving = serve_http(listener, ServerLimits::default, handler, stop.clone());
        Self {
            address,
            work,
            stop,
            serving: tokio::spawn(serving),
        }
    }

    async fn stop(self) {
        self.stop.cancel();
        self.serving.await.expect("the server task ends");
    }
}

/// Sends bytes, leaves after [`STAY`], and returns how many requests the server began and how many of
/// them still run [`BOUND`] after that.
async fn leave_after(bytes: &str, resets: bool) -> (usize, usize) {
    let server = Server::start(Duration::from_millis(1_200)).await;
    let mut stream = TcpStream::connect(server.address)
        .await
        .expect("a connection");
    if resets {
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).expect("a socket");
    }
    let writing = stream.write_all(bytes.as_bytes());
    // A server that bounds what it reads ahead need not take all.
    let _ = tokio::time::timeout(STAY, writing).await;
    sleep(STAY).await;
    drop(stream);
    sleep(BOUND).await;
    let counts = server.work.counts();
    // Nothing begins later either.
    sleep(Duration::from_millis(1_500)).await;
    let later = server.work.counts();
    assert_eq!(later.0, counts.0, "requests were begun after the close");
    server.stop().await;
    counts
}

#[tokio::test]
async fn no_request_behind_another_is_begun_after_its_caller_has_left() {
    for count in [1, 2, 6] {
        assert_eq!(
            leave_after(&REQUEST.repeat(count), false).await,
            (1, 0),
            "{count} requests"
        );
    }
}

#[tokio::test]
async fn half_a_head_behind_a_request_does_not_hide_that_its_caller_has_left() {
    let bytes = format!("{REQUEST}GET / HT");
    assert_eq!(leave_after(&bytes, false).await, (1, 0));
}

#[tokio::test]
async fn a_reset_connection_ends_the_work_for_its_requests() {
    assert_eq!(leave_after(&REQUEST.repeat(6), true).await, (1, 0));
}

#[tokio::test]
async fn a_caller_that_leaves_with_more_requests_than_are_read_ahead_is_noticed() {
    assert_eq!(
        leave_after(&REQUEST.repeat(MANY_REQUESTS), false).await,
        (1, 0)
    );
}

#[tokio::test]
async fn a_caller_that_leaves_in_the_middle_of_a_body_is_noticed() {
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n";
    assert_eq!(leave_after(&format!("{head}bytes"), false).await, (1, 0));
}

/// Guards against a request that is begun because it is read before the close that came with it.
#[tokio::test]
async fn a_request_that_arrives_together_with_the_close_is_not_begun() {
    let server = Server::start(Duration::from_millis(100)).await;
    let stream = std::net::TcpStream::connect(server.address).expect("a connection");
    // The server runs on this thread and reads nothing before the next await.
    std::io::Write::write_all(&mut &stream, REQUEST.as_bytes()).expect("an open connection");
    drop(stream);
    std::thread::sleep(Duration::from_millis(50));
    sleep(BOUND).await;
    assert_eq!(server.work.counts(), (0, 0));
    server.stop().await;
}

/// Guards against taking a caller that only waits for one that has left.
#[tokio::test]
async fn a_silent_caller_gets_all_responses_in_order() {
    let server = Server::start(Duration::from_millis(300)).await;
    let mut stream = TcpStream::connect(server.address)
        .await
        .expect("a connection");
    let bytes = REQUEST.repeat(2) + "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream
        .write_all(bytes.as_bytes())
        .await
        .expect("an open connection");
    let mut answers = String::new();
    stream
        .read_to_string(&mut answers)
        .await
        .expect("whole responses");
    assert_eq!(answers.matches("done").count(), 3);
    assert_eq!(server.work.counts(), (3, 0));
    server.stop().await;
}

/// Guards against bytes that are lost or changed between what is read ahead and the request.
#[tokio::test]
async fn a_body_that_follows_a_pending_request_arrives_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let handler = |req: Request<Incoming>| async move {
        let body = req.into_body().collect().await.expect("a whole body");
        sleep(Duration::from_millis(50)).await;
        Response::new(full_body(body.to_bytes()))
    };
    let stop = CancellationToken::new();
    let serving = serve_http(listener, ServerLimits::default, handler, stop.clone());
    let serving = tokio::spawn(serving);
    let body: String = (0..60_000_u32)
        .filter_map(|number| char::from_digit(number * 7 / 3 % 10, 10))
        .cycle()
        .take(360_000)
        .collect();
    let length = body.len();
    let bytes = format!(
        "{REQUEST}POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    );
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut reader, mut writer) = stream.into_split();
    let writing = tokio::spawn(async move {
        writer
            .write_all(bytes.as_bytes())
            .await
            .expect("an open connection");
        writer
    });
    let mut answers = String::new();
    reader
        .read_to_string(&mut answers)
        .await
        .expect("whole responses");
    assert!(answers.ends_with(&body), "{} bytes", answers.len());
    drop(writing.await);
    stop.cancel();
    serving.await.expect("the server task ends");
}
