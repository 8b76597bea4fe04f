//! Guards against a response that loses its end because the server closed the socket while bytes of
//! the peer were unread, which resets the connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Response;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::full_body;
use trefoillock_node::{ServerLimits, serve_http};

/// More request bytes than the server reads ahead.
const UNREAD_BYTES: usize = 300 * 1024;
/// More than the socket buffer of the peer holds, so that the end of the response is still queued
/// at the server when it closes.
const RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// The delay before the peer starts to read.
const READ_DELAY: Duration = Duration::from_millis(100);

/// The number of connections; whether a reset loses bytes depends on the moment of the close.
const CONNECTIONS: usize = 12;

#[tokio::test]
async fn a_response_is_complete_despite_unread_request_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let handler = |_| async {
        let body = Bytes::from(vec![b'x'; RESPONSE_BYTES]);
        Response::new(full_body(body))
    };
    let stop = CancellationToken::new();
    let serving = serve_http(listener, ServerLimits::default, handler, stop.clone());
    let serving = tokio::spawn(serving);
    for _ in 0..CONNECTIONS {
        check_response(address).await;
    }
    stop.cancel();
    serving.await.expect("the server task ends");
}

async fn check_response(address: SocketAddr) {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut reader, mut writer) = stream.into_split();
    let writing = tokio::spawn(async move {
        let head = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        writer.write_all(head).await.expect("an open connection");
        // The server may stop reading at any byte.
        let _ = writer.write_all(&vec![b'y'; UNREAD_BYTES]).await;
        writer
    });
    sleep(READ_DELAY).await;
    let mut bytes = Vec::new();
    reader
        .read_to_end(&mut bytes)
        .await
        .expect("a complete response");
    let head = bytes.windows(4).position(|end| end == b"\r\n\r\n");
    let head = head.expect("the end of the head") + 4;
    assert_eq!(bytes.len() - head, RESPONSE_BYTES);
    drop(writing.await);
}
