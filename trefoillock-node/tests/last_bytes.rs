//! An answer reaches a peer whole although the peer has sent more than was read.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Response;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::text_body;
use trefoillock_node::{ServerLimits, serve_http};

/// More than the server reads ahead.
const UNREAD_BYTES: usize = 300 * 1024;
/// More than the peer's socket holds, so that the end still waits on the side of the server.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// The time after which the peer reads.
const READ_DELAY: Duration = Duration::from_millis(100);

/// The number of connections: whether an end is lost depends on the moment of the close.
const CONNECTIONS: usize = 12;

#[tokio::test]
async fn an_answer_outlives_the_end_of_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = |_| async {
        let body = Bytes::from(vec![b'x'; ANSWER_BYTES]);
        Response::new(text_body(body))
    };
    let stop = CancellationToken::new();
    let serving = serve_http(listener, ServerLimits::default, handler, stop.clone());
    let serving = tokio::spawn(serving);
    for _ in 0..CONNECTIONS {
        call(address).await;
    }
    stop.cancel();
    serving.await.expect("a task");
}

async fn call(address: SocketAddr) {
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
        .expect("a whole answer");
    let head = bytes.windows(4).position(|end| end == b"\r\n\r\n");
    let head = head.expect("the end of the head") + 4;
    assert_eq!(bytes.len() - head, ANSWER_BYTES);
    drop(writing.await);
}
