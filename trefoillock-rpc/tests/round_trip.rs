//! Calls over a real socket: unary calls, streams, the token and the connect timeout.

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
use trefoillock_rpc::{Code, RpcClient, RpcServer, Streaming, Token, TrafficCounter};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server with a unary and a streaming handler and returns its address.
async fn start_server(token: Token, stop: CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = RpcServer::new(token, Arc::default())
        .unary("/test/double", |n: u64| async move { Ok(n * 2) })
        .streaming("/test/echo", |messages: Streaming<String>| async move {
            Ok(messages)
        });
    tokio::spawn(server.serve(listener, stop));
    address
}

#[tokio::test]
async fn unary_and_streaming_calls_are_answered() {
    let stop = CancellationToken::new();
    let address = start_server(Token::new("t"), stop.clone()).await;
    let traffic = Arc::new(TrafficCounter::new());
    let client = RpcClient::new(address, Token::new("t"), traffic.clone());
    let response: u64 = client
        .unary("/test/double", 21_u64, TIMEOUT)
        .await
        .expect("a response");
    assert_eq!(response, 42);
    let words = futures::stream::iter(["a".to_owned(), "b".to_owned()]);
    let echo: Streaming<String> = client
        .streaming("/test/echo", words)
        .await
        .expect("a stream");
    let echoed: Vec<String> = echo.map(|word| word.expect("a word")).collect().await;
    assert_eq!(echoed, ["a", "b"]);
    assert!(traffic.bytes_sent() > 0 && traffic.bytes_received() > 0);
    stop.cancel();
}

#[tokio::test]
async fn a_wrong_token_is_refused() {
    let stop = CancellationToken::new();
    let address = start_server(Token::new("t"), stop.clone()).await;
    let client = RpcClient::new(address, Token::new("other"), Arc::default());
    let result = client.unary::<u64, u64>("/test/double", 1, TIMEOUT).await;
    assert_eq!(result.expect_err("refused").code(), Code::Unauthenticated);
    stop.cancel();
}

/// Returns a listener that drops SYN packets, as a VM that is powered off does, because its accept
/// queue is full. The queue is free again once the returned connections were accepted.
async fn listener_with_full_queue() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a free port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut unaccepted = Vec::new();
    let connect_limit = Duration::from_millis(100);
    while let Ok(Ok(stream)) = timeout(connect_limit, TcpStream::connect(address)).await {
        unaccepted.push(stream);
    }
    (listener, unaccepted)
}

/// Guards against a connection attempt that waits for the retransmission of its SYN packet.
#[tokio::test]
async fn connecting_times_out_before_the_syn_packet_is_retransmitted() {
    let (listener, _unaccepted) = listener_with_full_queue().await;
    let address = listener.local_addr().expect("an address");
    let client = RpcClient::new(address, Token::none(), Arc::default());
    let start = Instant::now();
    let result = client.unary::<u64, u64>("/test/double", 21, TIMEOUT).await;
    assert!(result.is_err());
    // The operating system retransmits a lost SYN packet after one second.
    assert!(
        start.elapsed() < Duration::from_millis(900),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test]
async fn a_peer_that_begins_to_accept_while_a_client_connects_is_reached() {
    let (listener, unaccepted) = listener_with_full_queue().await;
    let address = listener.local_addr().expect("an address");
    let client = RpcClient::new(address, Token::none(), Arc::default());
    let stop = CancellationToken::new();
    let serve = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        drop(unaccepted);
        let server = RpcServer::new(Token::none(), Arc::default())
            .unary("/test/double", |n: u64| async move { Ok(n * 2) });
        server.serve(listener, stop).await
    };
    let server = tokio::spawn(serve);
    let result = client.unary::<u64, u64>("/test/double", 21, TIMEOUT).await;
    assert_eq!(result.expect("a response"), 42);
    server.abort();
}
