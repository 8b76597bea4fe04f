//! Calls over a real socket: one message, streams, and the token.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::StreamExt;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;
use trefoillock_rpc::{Code, RpcClient, RpcServer, Streaming, Token, Traffic};

const TIMEOUT: Duration = Duration::from_secs(10);

async fn serve(token: Token, stop: CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let server = RpcServer::new(token, Arc::default())
        .unary("/test/double", |n: u64| async move { Ok(n * 2) })
        .streaming("/test/echo", |messages: Streaming<String>| async move {
            Ok(messages)
        });
    tokio::spawn(server.serve(listener, stop));
    addr
}

#[tokio::test]
async fn unary_and_streaming_calls_are_answered() {
    let stop = CancellationToken::new();
    let addr = serve(Token::new("t"), stop.clone()).await;
    let traffic = Arc::new(Traffic::new());
    let client = RpcClient::new(addr, Token::new("t"), traffic.clone());
    let answer: u64 = client
        .unary("/test/double", 21_u64, TIMEOUT)
        .await
        .expect("an answer");
    assert_eq!(answer, 42);
    let words = futures::stream::iter(["a".to_owned(), "b".to_owned()]);
    let echo: Streaming<String> = client
        .streaming("/test/echo", words)
        .await
        .expect("a stream");
    let echoed: Vec<String> = echo.map(|word| word.expect("a word")).collect().await;
    assert_eq!(echoed, ["a", "b"]);
    assert!(traffic.sent() > 0 && traffic.received() > 0);
    stop.cancel();
}

#[tokio::test]
async fn a_wrong_token_is_refused() {
    let stop = CancellationToken::new();
    let addr = serve(Token::new("t"), stop.clone()).await;
    let client = RpcClient::new(addr, Token::new("other"), Arc::default());
    let answer = client.unary::<u64, u64>("/test/double", 1, TIMEOUT).await;
    assert_eq!(answer.expect_err("refused").code(), Code::Unauthenticated);
    stop.cancel();
}

/// Dials that hang: the peer's queue of new connections is full, so its packets are dropped, as a
/// VM without power drops them.
#[tokio::test]
async fn a_dial_that_hangs_is_given_up_before_the_packet_is_repeated() {
    let socket = TcpSocket::new_v4().expect("a socket");
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(local).expect("a free port");
    let listener = socket.listen(1).expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let mut queued = Vec::new();
    let short = Duration::from_millis(100);
    while let Ok(Ok(stream)) = timeout(short, TcpStream::connect(addr)).await {
        queued.push(stream);
    }
    let client = RpcClient::new(addr, Token::none(), Arc::default());
    let start = Instant::now();
    let asked = client.unary::<u64, u64>("/test/double", 21, TIMEOUT).await;
    assert!(asked.is_err());
    // The system repeats a lost opening packet after one second.
    assert!(
        start.elapsed() < Duration::from_millis(900),
        "{:?}",
        start.elapsed()
    );
}
