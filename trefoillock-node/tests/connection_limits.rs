//! Guards against limits of a configuration that end every connection before its first request is read.

use std::{net::SocketAddr, time::Duration};

use http::Response;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::empty_body;
use trefoillock_node::{ServerLimits, serve_http};

/// Between the connection and its request; the request of a caller is on its way that long.
const REQUEST_DELAY: Duration = Duration::from_millis(30);

/// Sends a request whose head has this many bytes, and returns the status of the response.
async fn send(address: SocketAddr, head_bytes: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    sleep(REQUEST_DELAY).await;
    let start = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Padding: ";
    let padding = "x".repeat(head_bytes - start.len() - 4);
    let head = format!("{start}{padding}\r\n\r\n");
    assert_eq!(head.len(), head_bytes);
    // A server that rejects the head may stop reading it.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    let response = String::from_utf8_lossy(&response);
    let status = response.strip_prefix("HTTP/1.1 ")?.get(..3)?;
    status.parse().ok()
}

/// Serves with these limits and returns the status for a head of each size.
async fn statuses(limits: ServerLimits, heads: &[usize]) -> Vec<Option<u16>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let stop = CancellationToken::new();
    let handler = |_| async { Response::new(empty_body()) };
    let serving = tokio::spawn(serve_http(listener, move || limits, handler, stop.clone()));
    let mut statuses = Vec::new();
    for head_bytes in heads {
        statuses.push(send(address, *head_bytes).await);
    }
    stop.cancel();
    serving.await.expect("no panic");
    statuses
}

/// Guards against nodes that close each connection unread because heads are limited to less than the
/// read buffer of the HTTP library.
#[tokio::test]
async fn heads_are_limited_to_less_than_a_read_buffer() {
    for header_bytes in [150, 4_096, 8_191, 8_192, 16_384] {
        let limits = ServerLimits {
            header_bytes,
            ..ServerLimits::default()
        };
        let limit = usize::try_from(header_bytes).expect("a small number");
        let statuses = statuses(limits, &[100, limit, 2 * limit + 1_024]).await;
        assert_eq!(
            statuses,
            [Some(200), Some(200), Some(431)],
            "{header_bytes}"
        );
    }
}

/// Guards against nodes that close each connection unread because connections may not be idle.
#[tokio::test]
async fn a_connection_outlives_the_way_of_its_first_request() {
    for millis in [0, 1] {
        let limits = ServerLimits {
            head_timeout: Duration::from_millis(millis),
            ..ServerLimits::default()
        };
        assert_eq!(statuses(limits, &[100]).await, [Some(200)], "{millis} ms");
    }
}
