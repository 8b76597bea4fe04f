//! Guards against a response whose head and first frames are lost because its body fails before the
//! server has sent them.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::{Body, BodyError};
use trefoillock_node::{ServerLimits, serve_http};

/// The time after which a connection that is to be closed counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// A body that has all its frames and then its failure ready at once.
fn failing_body(frames: &[&'static str]) -> Body {
    let frames = frames
        .iter()
        .map(|frame| Ok(Frame::data(Bytes::from_static(frame.as_bytes()))));
    let failure = Err(BodyError::Cut("the backend server was lost".to_owned()));
    let frames: Vec<_> = frames.chain([failure]).collect();
    StreamBody::new(stream::iter(frames)).boxed_unsync()
}

/// Returns everything that a caller receives of a response with a failing body.
async fn received(frames: &'static [&'static str]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let handler = move |_| async move { Response::new(failing_body(frames)) };
    let stop = CancellationToken::new();
    let serving = serve_http(listener, ServerLimits::default, handler, stop.clone());
    let serving = tokio::spawn(serving);
    let bytes = timeout(HANG_TIMEOUT, exchange(address)).await;
    stop.cancel();
    serving.await.expect("the server task ends");
    String::from_utf8(bytes.expect("the connection is closed")).expect("ASCII")
}

async fn exchange(address: SocketAddr) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(head).await.expect("an open connection");
    let mut bytes = Vec::new();
    // The server may reset the connection after the failure.
    let _ = stream.read_to_end(&mut bytes).await;
    bytes
}

#[tokio::test]
async fn the_head_of_a_response_arrives_although_its_body_fails_at_once() {
    let text = received(&[]).await;
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text:?}");
    assert!(!text.ends_with("0\r\n\r\n"), "looks complete: {text:?}");
}

#[tokio::test]
async fn the_frames_before_a_failure_arrive() {
    let text = received(&["first", "second"]).await;
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text:?}");
    assert!(
        text.contains("first") && text.contains("second"),
        "{text:?}"
    );
    assert!(!text.ends_with("0\r\n\r\n"), "looks complete: {text:?}");
}
