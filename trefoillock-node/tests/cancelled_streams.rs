//! Guards against work for callers that have reset their HTTP/2 streams, and against what such resets do
//! to other calls on the connection.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, Version};
use http_body_util::Empty;
use hyper::{
    body::Incoming,
    client::conn::http2::{SendRequest, handshake},
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::full_body;
use trefoillock_node::{ServerLimits, serve_http};

/// The time for which the server works on a request.
const WORK: Duration = Duration::from_millis(1_200);
/// The time for which a caller stays.
const STAY: Duration = Duration::from_millis(150);
/// The time after a cancellation within which the work for the caller ends.
const BOUND: Duration = Duration::from_millis(500);
/// The number of callers that leave while the process does not run.
const LEAVING: usize = 200;

#[derive(Debug, Default)]
struct Work {
    begun: AtomicUsize,
    running: AtomicUsize,
}

struct Running(Arc<Work>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn start(stop: CancellationToken) -> (SocketAddr, Arc<Work>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let work = Arc::new(Work::default());
    let handler = {
        let work = work.clone();
        move |_: Request<Incoming>| {
            let work = work.clone();
            work.begun.fetch_add(1, Ordering::AcqRel);
            work.running.fetch_add(1, Ordering::AcqRel);
            let running = Running(work);
            async move {
                let _running = running;
                sleep(WORK).await;
                Response::new(full_body(Bytes::from_static(b"done")))
            }
        }
    };
    let limits = || ServerLimits {
        streams: 4_096,
        untaken_cancellations: 4_096,
        ..ServerLimits::default()
    };
    tokio::spawn(serve_http(listener, limits, handler, stop));
    (address, work)
}

async fn connect(address: SocketAddr) -> SendRequest<Empty<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let shaking = handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, conn) = shaking.await.expect("a handshake");
    tokio::spawn(conn);
    sender
}

fn request(address: SocketAddr) -> Request<Empty<Bytes>> {
    Request::get(format!("http://{address}/"))
        .version(Version::HTTP_2)
        .body(Empty::new())
        .expect("a request")
}

#[tokio::test]
async fn a_reset_stream_ends_its_work() {
    let stop = CancellationToken::new();
    let (address, work) = start(stop.clone()).await;
    let mut sender = connect(address).await;
    let calls = (0..6).map(|_| sender.send_request(request(address)));
    let calls = futures::future::join_all(calls);
    assert!(timeout(STAY, calls).await.is_err());
    assert_eq!(work.begun.load(Ordering::Acquire), 6);
    sleep(BOUND).await;
    assert_eq!(work.running.load(Ordering::Acquire), 0);
    stop.cancel();
}

/// Guards against a connection that is closed, with the calls of others, because many callers left while
/// the process was suspended or had no processor time.
#[tokio::test]
async fn callers_that_leave_a_suspended_process_do_not_end_the_calls_of_others() {
    let stop = CancellationToken::new();
    let (address, work) = start(stop.clone()).await;
    let client = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime").block_on(async move {
            let mut sender = connect(address).await;
            let staying = tokio::spawn(sender.send_request(request(address)));
            sleep(STAY).await;
            let leaving = (0..LEAVING).map(|_| sender.send_request(request(address)));
            let leaving = futures::future::join_all(leaving);
            assert!(timeout(STAY, leaving).await.is_err());
            let answer = staying.await.expect("a task");
            answer.map(|resp| resp.status().as_u16())
        })
    });
    sleep(STAY / 2).await;
    // The only thread of the server stands still while its callers leave.
    std::thread::sleep(STAY * 4);
    sleep(WORK).await;
    let answer = client.join().expect("a client");
    assert_eq!(answer.expect("an answer"), 200);
    assert_eq!(
        work.begun.load(Ordering::Acquire),
        1,
        "calls of callers that had left were begun"
    );
    stop.cancel();
}
