//! Guards against a stop that waits for a peer that has vanished without closing its connection.

use std::time::Duration;

use http::Response;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::empty_body;
use trefoillock_node::{ServerLimits, serve_http};

/// Well above the time that an idle connection is kept after a stop, and well below any keep-alive
/// timeout.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);
/// The start of an HTTP/2 connection and a request on its first stream.
const REQUEST: &[&[u8]] = &[
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    // SETTINGS without a setting.
    &[0, 0, 0, 4, 0, 0, 0, 0, 0],
    // HEADERS that end the stream: GET, http, / and the authority "a".
    &[0, 0, 6, 1, 5, 0, 0, 0, 1, 0x82, 0x86, 0x84, 0x41, 1, b'a'],
];

#[tokio::test]
async fn a_silent_peer_does_not_delay_a_stop() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let stop = CancellationToken::new();
    let handler = |_| async { Response::new(empty_body()) };
    let serving = tokio::spawn(serve_http(
        listener,
        ServerLimits::default,
        handler,
        stop.clone(),
    ));
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let bytes = REQUEST.concat();
    stream.write_all(&bytes).await.expect("an open connection");
    let mut buf = [0; 256];
    let mut seen = Vec::new();
    // The response's HEADERS frame, of type 1, ends the stream.
    while !seen.windows(2).any(|pair| pair == [1, 5]) {
        let count = stream.read(&mut buf).await.expect("a response");
        seen.extend_from_slice(&buf[..count]);
    }
    // From here on the peer neither reads nor writes, but its socket stays open.
    stop.cancel();
    let stopped = timeout(STOP_TIMEOUT, serving).await;
    stopped
        .expect("the server stops in time")
        .expect("the server task does not panic");
    drop(stream);
}
