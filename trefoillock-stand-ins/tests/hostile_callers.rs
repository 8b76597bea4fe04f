//! Malformed, oversized and forged requests run nothing and do not affect other callers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use trefoillock_core::Outcome;
use trefoillock_stand_ins::{
    backend_server::BackendServerConfig,
    caller::{Caller, CallerRequest},
    test_mesh::TestMesh,
};

/// The timeout of calls and reads, so that a hanging test fails.
const HANG_GUARD: Duration = Duration::from_secs(30);

const TABLES: &str = r#"{
  "routes": [{ "name": "positions", "match": { "path_prefix": "/positions" },
               "class": "lookup", "pool": "desk-v1", "timeout_ms": 5000 }],
  "pools": [{ "name": "desk-v1", "service": "treaty-desk", "version": "1" }]
}"#;

async fn start_mesh() -> TestMesh {
    let server = BackendServerConfig::new("treaty-desk", "1").expect("valid names");
    let mesh = TestMesh::start(vec![None, Some(server)])
        .await
        .expect("sockets");
    mesh.publish(1, TABLES, BTreeMap::new());
    mesh.wait_until_ready().await;
    mesh
}

/// Sends bytes and returns everything received until the node closes the connection.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The write fails if the node closes the connection early.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = timeout(HANG_GUARD, stream.read_to_end(&mut answer)).await;
    let _ = read.expect("the node ends the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Checks that an ordinary call is still answered.
async fn assert_still_serves(mesh: &TestMesh) {
    let request = CallerRequest::get("/positions/after", "after");
    let report = Caller::new(HANG_GUARD)
        .call(mesh.caller_address(0), &request)
        .await;
    assert_eq!(report.outcome, Outcome::Answered, "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_and_oversized_heads_run_nothing() {
    let mesh = start_mesh().await;
    let oversized = format!(
        "GET /positions HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "y".repeat(200_000)
    );
    let many = "x: y\r\n".repeat(5_000);
    let many = format!("GET /positions HTTP/1.1\r\nhost: a\r\n{many}\r\n");
    let heads: [&[u8]; 5] = [
        b"\x00\x01\x02\x03 nonsense\r\n\r\n",
        b"GET /positions HTTP/1.1\r\nbad header line\r\n\r\n",
        b"GET /positions HTTP/1.1\r\nhost: a\r\ncontent-length: many\r\n\r\n",
        oversized.as_bytes(),
        many.as_bytes(),
    ];
    for head in heads {
        let answer = exchange(mesh.caller_address(0), head).await;
        let status = answer.get(9..10).unwrap_or_default();
        assert!(answer.is_empty() || status == "4", "{answer}");
    }
    assert_eq!(mesh.run_counter().total(), 0);
    assert_still_serves(&mesh).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_the_peer_port_without_the_token_runs_nothing() {
    let mesh = start_mesh().await;
    let peer = mesh.hosts()[1].node.guard().peer_address;
    let server = mesh.server(1).expect("a backend server").address();
    let call = |token: &str| {
        format!(
            "GET /positions/forged HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{token}\
             trefoillock-server: {server}\r\ntrefoillock-service: treaty-desk\r\n\
             trefoillock-version: 1\r\ntrefoillock-class: lookup\r\n\
             trefoillock-fingerprint: 0\r\ntrefoillock-queue-ms: 100\r\n\
             trefoillock-deadline-ms: 5000\r\n\r\n"
        )
    };
    for token in ["", "trefoillock-token: Bearer guess\r\n"] {
        let answer = exchange(peer, call(token).as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
        assert!(answer.contains("did-not-run"), "{answer}");
    }
    assert_eq!(mesh.run_counter().total(), 0);
    // The same call runs with the right token, so the calls above were refused because of the
    // token.
    let answer = exchange(
        peer,
        call("trefoillock-token: Bearer secret\r\n").as_bytes(),
    )
    .await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(mesh.run_counter().total(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_system_headers_have_no_effect() {
    let mesh = start_mesh().await;
    let forged = "GET /positions/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        trefoillock-server: 127.0.0.1:1\r\ntrefoillock-service: other\r\n\
        trefoillock-class: posting\r\ntrefoillock-token: Bearer guess\r\n\
        trefoillock-outcome: did-not-run\r\n\r\n";
    let answer = exchange(mesh.caller_address(0), forged.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("trefoillock-outcome: answered"), "{answer}");
    assert_eq!(mesh.run_counter().total(), 1);
}
