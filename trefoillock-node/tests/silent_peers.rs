//! Connections to a node that has become silent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::Request;
use tokio::{
    io::AsyncReadExt,
    net::TcpSocket,
    time::{Instant, sleep},
};
use trefoillock_backend::{LocalServers, empty_body};
use trefoillock_core::{Announcement, Incarnation, Member, MemberState, NodeId, ServerId};
use trefoillock_node::{Delivery, NodeContext};
use trefoillock_process::Clock;
use trefoillock_rpc::Token;

/// Smaller than the heads of the calls, so that most of them wait at the entry.
const RECEIVE_BUFFER: u32 = 4 * 1024;
const CALLS: usize = 200;
/// The length of a header of each call, in bytes. No two are the same, as they would be compressed.
const PADDING: usize = 1_000;
/// Longer than the entry waits for the answer to a ping.
const SILENCE: Duration = Duration::from_secs(5);

fn member(peer_address: SocketAddr) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_001));
    Member {
        id: ServerId {
            node: NodeId::try_from("silent").expect("a name"),
            address,
        },
        announcement: Announcement {
            address,
            service: "treaty-desk".try_into().expect("a name"),
            version: "1".try_into().expect("a name"),
            incarnation: Incarnation::new(1),
            slots: 1,
            connections: 1,
            state: MemberState::Up,
            instance: None,
        },
        peer_address,
        data_centre: "a".try_into().expect("a name"),
        node_incarnation: Incarnation::new(1),
    }
}

/// Guards against calls that arrive at a node after their entry has given up the connection.
#[tokio::test]
async fn calls_that_wait_on_a_connection_end_with_it() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .expect("a small buffer");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(any).expect("a free port");
    let listener = socket.listen(16).expect("a listener");
    let silent = member(listener.local_addr().expect("an address"));

    let clock = Clock::start();
    let local_servers = LocalServers::new(clock);
    let entry = Arc::new(NodeContext::new(
        NodeId::try_from("entry").expect("a name"),
        Incarnation::new(1),
        "a".try_into().expect("a name"),
        Token::none(),
        clock,
        Arc::new(local_servers),
    ));
    let calls = (0..CALLS).map(|number| {
        let req = Request::get(format!("/{number}"))
            .header("x-padding", format!("{number:0PADDING$}"))
            .body(empty_body())
            .expect("a request");
        let announced = &silent.announcement;
        let delivery = Delivery::new(
            &silent.id,
            announced.service.clone(),
            announced.version.clone(),
        )
        .with_limits(Instant::now() + SILENCE * 2, Duration::ZERO);
        let (entry, silent) = (entry.clone(), silent.clone());
        tokio::spawn(async move { entry.send(&silent, delivery, req).await })
    });
    let calls: Vec<_> = calls.collect();
    let (mut stream, _) = listener.accept().await.expect("a connection");
    sleep(SILENCE).await;
    for call in calls {
        assert!(call.await.expect("a task").is_err());
    }
    // The heads that the socket had taken before can still be read.
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes).await;
    assert!(
        bytes.len() < 4 * RECEIVE_BUFFER as usize,
        "{} bytes arrived after the entry had given up, {end:?}",
        bytes.len()
    );
}
