//! Backend servers that send bytes without end, in place of a head or in a body: the caller gets
//! an error in time, the connection is closed, and the nodes buffer a bounded number of bytes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use trefoillock_core::{
    Announcement, Config, ConfigVersion, Incarnation, MemberState, RawTables, ServiceName, Tables,
    VersionLabel,
};
use trefoillock_rpc::Token;
use trefoillock_stand_ins::mesh_node::{MeshNode, members, publish};

/// The timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(600);
/// The time after the timeout of a route within which its calls have ended.
const END_LIMIT: Duration = Duration::from_millis(500);
/// The timeout of reads and of connections that are to be closed, so that a hanging test fails.
const HANG_GUARD: Duration = Duration::from_secs(20);
/// The number of bytes that two nodes and the sockets between them may hold of one answer.
const MAX_BUFFERED_BYTES: u64 = 32 * 1024 * 1024;
/// The time after which all buffers between a backend server and a caller that does not read are
/// full.
const FILL_TIME: Duration = Duration::from_millis(400);

const TABLES: &str = r#"{
  "routes": [
    { "name": "positions", "match": { "path_prefix": "/positions" },
      "class": "lookup", "pool": "desk-v1", "timeout_ms": 600 },
    { "name": "claims", "match": { "path_prefix": "/claims", "method": "POST" },
      "class": "posting", "pool": "desk-v1", "timeout_ms": 600 },
    { "name": "exports", "match": { "path_prefix": "/exports" },
      "class": "export", "pool": "desk-v1", "timeout_ms": 600 }
  ],
  "pools": [{ "name": "desk-v1", "service": "treaty-desk", "version": "1" }]
}"#;

/// What a backend server sends: a beginning, and a part that it repeats until its peer closes the
/// connection.
#[derive(Debug, Clone, Copy)]
struct Endless {
    name: &'static str,
    start: &'static str,
    repeated: &'static str,
    /// Whether the node reads a head, so that a part of the body may have been forwarded.
    has_head: bool,
}

const HEADS: [Endless; 4] = [
    Endless {
        name: "bytes that are no head",
        start: "",
        repeated: "\u{0}\u{1}nonsense",
        has_head: false,
    },
    Endless {
        name: "one header without end",
        start: "HTTP/1.1 200 OK\r\nx: ",
        repeated: "yyyyyyyyyyyyyyyy",
        has_head: false,
    },
    Endless {
        name: "headers without end",
        start: "HTTP/1.1 200 OK\r\n",
        repeated: "x-header: value\r\n",
        has_head: false,
    },
    Endless {
        name: "interim responses without end",
        start: "",
        repeated: "HTTP/1.1 100 Continue\r\n\r\n",
        has_head: false,
    },
];

const BODIES: [Endless; 5] = [
    Endless {
        name: "chunks without end",
        start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: "10\r\n0123456789abcdef\r\n",
        has_head: true,
    },
    Endless {
        name: "a chunk extension without end",
        start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10;",
        repeated: "extension=value;",
        has_head: true,
    },
    Endless {
        name: "trailers without end",
        start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        repeated: "x-trailer: value\r\n",
        has_head: true,
    },
    Endless {
        name: "a body without length and end",
        start: "HTTP/1.1 200 OK\r\n\r\n",
        repeated: "0123456789abcdef",
        has_head: true,
    },
    Endless {
        name: "a body of a length that is never reached",
        start: "HTTP/1.1 200 OK\r\ncontent-length: 9000000000000000000\r\n\r\n",
        repeated: "0123456789abcdef",
        has_head: true,
    },
];

const TARGETS: [(&str, &str); 3] = [
    ("lookup", "GET /positions/1"),
    ("posting", "POST /claims/1"),
    ("export", "GET /exports/1"),
];

/// A backend server that answers each request without end.
struct EndlessServer {
    address: SocketAddr,
    written: Arc<AtomicU64>,
    /// When the peer closed each connection that carried a request.
    closed: mpsc::UnboundedReceiver<Instant>,
}

impl EndlessServer {
    async fn start(answer: Endless) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let written = Arc::new(AtomicU64::new(0));
        let (tx, closed) = mpsc::unbounded_channel();
        let counter = written.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (counter, tx) = (counter.clone(), tx.clone());
                tokio::spawn(async move {
                    if answer_without_end(stream, answer, &counter).await {
                        // The test may have ended.
                        let _ = tx.send(Instant::now());
                    }
                });
            }
        });
        Self {
            address,
            written,
            closed,
        }
    }
}

/// Answers one request until the peer closes the connection. Returns whether there was a request.
async fn answer_without_end(mut stream: TcpStream, answer: Endless, written: &AtomicU64) -> bool {
    let mut buf = [0; 4_096];
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buf).await {
            Ok(count) if count > 0 => head.extend_from_slice(&buf[..count]),
            Ok(_) | Err(_) => return false,
        }
    }
    let mut bytes = answer.start.as_bytes().to_vec();
    let repeated = answer.repeated.repeat(64 * 1024 / answer.repeated.len());
    while stream.write_all(&bytes).await.is_ok() {
        written.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        bytes = repeated.clone().into_bytes();
    }
    true
}

/// An entry node and a destination node with a backend server beside it.
struct Mesh {
    entry: MeshNode,
    _destination: MeshNode,
}

fn start_mesh(server: SocketAddr) -> Mesh {
    let announcement = Announcement {
        address: server,
        service: ServiceName::try_from("treaty-desk").expect("a name"),
        version: VersionLabel::try_from("1").expect("a name"),
        incarnation: Incarnation::new(1),
        slots: 4,
        connections: 8,
        state: MemberState::Up,
        instance: None,
    };
    let token = Token::new("secret");
    let entry = MeshNode::start("node-a", token.clone(), 1).expect("a node");
    let destination = MeshNode::start("node-b", token, 1).expect("a node");
    let registry = destination.registry();
    registry.announce(announcement.clone()).expect("announced");
    let raw = RawTables::from_json(TABLES).expect("valid JSON");
    let tables = Tables::try_from(raw).expect("valid tables");
    let version = ConfigVersion::new(1);
    let config = Config::new(
        version,
        version,
        tables,
        std::collections::BTreeMap::new(),
        std::collections::BTreeMap::new(),
    );
    let config = Arc::new(config.expect("a valid configuration"));
    let list = Arc::new(members(1, [destination.member(announcement)]));
    publish([&entry, &destination], &config, &list);
    Mesh {
        entry,
        _destination: destination,
    }
}

async fn send_request(address: SocketAddr, target: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request =
        format!("{target} HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    let written = stream.write_all(request.as_bytes()).await;
    written.expect("a request is accepted");
    stream
}

/// Reads an answer to its end and returns its first bytes, and whether it is complete.
async fn read_answer(mut stream: TcpStream) -> (String, bool) {
    let mut buf = vec![0; 64 * 1024];
    let mut first = Vec::new();
    let mut last = Vec::new();
    let reading = async {
        loop {
            match stream.read(&mut buf).await {
                Ok(0) | Err(_) => return,
                Ok(count) => {
                    if first.len() < 2_048 {
                        first.extend_from_slice(&buf[..count.min(2_048)]);
                    }
                    last = buf[count.saturating_sub(5)..count].to_vec();
                }
            }
        }
    };
    let read = timeout(HANG_GUARD, reading).await;
    read.expect("the node ends the answer");
    let text = String::from_utf8_lossy(&first).into_owned();
    let has_last_chunk = last.ends_with(b"0\r\n\r\n");
    (text, has_last_chunk)
}

/// Calls a backend server whose answer has no end, on each class of route.
async fn check(answer: Endless) {
    for (class, target) in TARGETS {
        let case = format!("{}, {class}", answer.name);
        let mut server = EndlessServer::start(answer).await;
        let mesh = start_mesh(server.address);
        let sent_at = Instant::now();
        let stream = send_request(mesh.entry.caller_address(), target).await;
        let (text, has_last_chunk) = read_answer(stream).await;
        let waited = sent_at.elapsed();
        assert!(waited <= ROUTE_TIMEOUT + END_LIMIT, "{case}: {waited:?}");
        let status = text.get(9..12).unwrap_or_default();
        if answer.has_head {
            // What was forwarded must not look complete.
            assert!(status == "200" || status.starts_with('5'), "{case}: {text}");
            assert!(status != "200" || !has_last_chunk, "{case}: looks complete");
        } else {
            assert!(matches!(status, "502" | "504"), "{case}: {text}");
        }
        let closed = timeout(HANG_GUARD, server.closed.recv()).await;
        let closed = closed.expect("the connection is closed").expect("a call");
        let written = server.written.load(Ordering::Relaxed);
        let is_bounded = answer.has_head || written <= MAX_BUFFERED_BYTES;
        assert!(is_bounded, "{case}: {written} bytes without a head");
        let open = closed.duration_since(sent_at);
        assert!(
            open <= ROUTE_TIMEOUT + END_LIMIT,
            "{case}: open for {open:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_without_end_is_answered_with_an_error_in_time() {
    for answer in HEADS {
        check(answer).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_without_end_is_broken_off_in_time() {
    for answer in BODIES {
        check(answer).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_without_end_is_not_buffered_for_a_caller_that_does_not_read() {
    for answer in BODIES {
        for (class, target) in TARGETS {
            let mut server = EndlessServer::start(answer).await;
            let mesh = start_mesh(server.address);
            let sent_at = Instant::now();
            let stream = send_request(mesh.entry.caller_address(), target).await;
            tokio::time::sleep(FILL_TIME).await;
            let written = server.written.load(Ordering::Relaxed);
            let case = format!("{}, {class}", answer.name);
            assert!(written <= MAX_BUFFERED_BYTES, "{case}: {written} bytes");
            let closed = timeout(HANG_GUARD, server.closed.recv()).await;
            let closed = closed.expect("the connection is closed").expect("a call");
            let open = closed.duration_since(sent_at);
            assert!(
                open <= ROUTE_TIMEOUT + END_LIMIT,
                "{case}: open for {open:?}"
            );
            drop(stream);
        }
    }
}
