//! Guards against a response that loses its end because the server stops while the peer reads slowly.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::full_body;
use trefoillock_node::{ServerLimits, serve_http};

/// More than the socket buffers and the flow-control window of the peer hold.
const RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// The time for which the peer reads nothing, as behind a link on which packets wait.
const READ_PAUSE: Duration = Duration::from_millis(1_500);
/// The time after which the response has begun.
const RESPONSE_DELAY: Duration = Duration::from_millis(100);

async fn start_server(stop: CancellationToken) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let handler = |_| async {
        let body = Bytes::from(vec![b'x'; RESPONSE_BYTES]);
        Response::new(full_body(body))
    };
    let serving = serve_http(listener, ServerLimits::default, handler, stop);
    (address, tokio::spawn(serving))
}

#[tokio::test]
async fn a_response_that_is_read_slowly_is_complete_although_the_server_stops() {
    let stop = CancellationToken::new();
    let (address, serving) = start_server(stop.clone()).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(head).await.expect("an open connection");
    sleep(RESPONSE_DELAY).await;
    stop.cancel();
    sleep(READ_PAUSE).await;
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;
    read.expect("a complete response");
    assert!(bytes.len() > RESPONSE_BYTES, "{} bytes", bytes.len());
    serving.await.expect("the server task ends");
}

#[tokio::test]
async fn an_http2_response_that_is_read_slowly_is_complete_although_the_server_stops() {
    let stop = CancellationToken::new();
    let (address, serving) = start_server(stop.clone()).await;
    let stream = TcpStream::connect(address).await.expect("a connection");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, conn) = handshake.await.expect("a handshake");
    tokio::spawn(conn);
    let req = Request::get(format!("http://{address}/")).body(Empty::<Bytes>::new());
    let resp = sender.send_request(req.expect("a request")).await;
    stop.cancel();
    sleep(READ_PAUSE).await;
    let body = resp.expect("a response").into_body().collect().await;
    let bytes = body.expect("a complete response").to_bytes();
    assert_eq!(bytes.len(), RESPONSE_BYTES);
    drop(sender);
    serving.await.expect("the server task ends");
}
