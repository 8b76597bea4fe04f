//! Answers of faulty backend servers: a copy that arrives late on a connection in use again, and
//! bodies that break off, must not reach a caller as a whole answer to its call.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::{HeaderMap, HeaderValue, Request, response::Parts};
use http_body_util::BodyExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};
use trefoillock_backend::{
    CallFailure, CallLimits, DefaultDialect, Dialect, LocalServer, ResponseKind, ServerStatement,
    empty_body,
};
use trefoillock_core::{
    Announcement, Incarnation, MemberState, Outcome, RefusalReason, RouteClass, ServiceName,
    VersionLabel, WorkspaceName,
};
use trefoillock_process::Clock;

const TIMEOUT: Duration = Duration::from_secs(20);
/// The time after which a response has been read by the node.
const READ_TIME: Duration = Duration::from_millis(50);

fn local_server(address: SocketAddr) -> Arc<LocalServer> {
    let announcement = Announcement {
        address,
        service: ServiceName::try_from("treaty-desk").expect("a name"),
        version: VersionLabel::try_from("1").expect("a name"),
        incarnation: Incarnation::new(1),
        slots: 4,
        connections: 4,
        state: MemberState::Up,
        instance: None,
    };
    Arc::new(LocalServer::new(announcement, Clock::start()))
}

/// Calls a backend server and returns the body of its answer; `None` if the body broke off.
async fn call(server: &Arc<LocalServer>, path: &str) -> Result<Option<String>, CallFailure> {
    let limits = CallLimits {
        class: RouteClass::Posting,
        deadline: Instant::now() + TIMEOUT,
        queue_timeout: TIMEOUT,
        rank: 0,
        objective: None,
        workspace: None,
        route: None,
        permit: None,
    };
    let req = Request::post(path).header("host", "h").body(empty_body());
    let resp = server.call(req.expect("a request"), limits).await?;
    let body = resp.into_body().collect().await;
    let bytes = body.ok().map(|body| body.to_bytes().to_vec());
    Ok(bytes.map(|bytes| String::from_utf8(bytes).expect("text")))
}

/// Reads the head of a request and returns its path and the identity of the call.
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4_096];
    while !bytes.ends_with(b"\r\n\r\n") {
        let count = stream
            .read(&mut buf)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buf[..count]);
    }
    let head = String::from_utf8(bytes).expect("text");
    let path = head.split(' ').nth(1).expect("a path").to_owned();
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("trefoillock-call: "));
    Some((path, id.unwrap_or_default().to_owned()))
}

fn answer(path: &str, id: &str) -> String {
    let length = path.len();
    format!("HTTP/1.1 200 OK\r\ntrefoillock-call: {id}\r\ncontent-length: {length}\r\n\r\n{path}")
}

#[tokio::test]
async fn a_second_copy_of_an_answer_on_a_reused_connection_reaches_no_other_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut previous = String::new();
            while let Some((path, id)) = read_request(&mut stream).await {
                // The copy of the earlier answer precedes the answer to this call.
                let own = answer(&path, &id);
                let both = format!("{previous}{own}");
                let _ = stream.write_all(both.as_bytes()).await;
                previous = own;
            }
        }
    });
    let server = local_server(address);
    let first = call(&server, "/first").await.expect("answered");
    assert_eq!(first.as_deref(), Some("/first"));
    let second = call(&server, "/second").await;
    let failure = second.expect_err("the answer of another call");
    assert_eq!(failure.reason(), RefusalReason::SpoiledAnswer);
    assert_eq!(failure.outcome(), Outcome::MayHaveRun);
    let third = call(&server, "/third").await.expect("answered");
    assert_eq!(third.as_deref(), Some("/third"));
}

#[tokio::test]
async fn bytes_after_an_answer_reach_no_other_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            while let Some((path, id)) = read_request(&mut stream).await {
                let own = answer(&path, &id);
                let twice = format!("{own}{own}");
                let _ = stream.write_all(twice.as_bytes()).await;
            }
        }
    });
    let server = local_server(address);
    for path in ["/first", "/second", "/third"] {
        match call(&server, path).await {
            Ok(body) => assert_eq!(body.as_deref(), Some(path)),
            Err(failure) => assert_eq!(failure.outcome(), Outcome::MayHaveRun),
        }
    }
}

/// How a backend server ends a connection after half of a body.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Close,
    Reset,
}

#[tokio::test]
async fn a_body_that_breaks_off_is_not_complete() {
    let half = [
        (
            "with a length",
            "content-length: 10\r\n\r\nhalf-",
            End::Close,
        ),
        (
            "with a length",
            "content-length: 10\r\n\r\nhalf-",
            End::Reset,
        ),
        (
            "in chunks",
            "transfer-encoding: chunked\r\n\r\n5\r\nhalf-\r\n",
            End::Close,
        ),
        (
            "in chunks",
            "transfer-encoding: chunked\r\n\r\n5\r\nhalf-\r\n",
            End::Reset,
        ),
        ("to the end of the connection", "\r\nhalf-", End::Reset),
    ];
    for (kind, rest, end) in half {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_request(&mut stream).await.expect("a request");
            let text = format!("HTTP/1.1 200 OK\r\n{rest}");
            stream.write_all(text.as_bytes()).await.expect("written");
            sleep(READ_TIME).await;
            if end == End::Reset {
                stream.set_zero_linger().expect("an open socket");
            }
        });
        let body = call(&local_server(address), "/export").await;
        assert_eq!(
            body.expect("a head"),
            None,
            "a body {kind} that ends with {end:?}"
        );
    }
}

/// Answers one request with the first `count` bytes of a response and ends the connection.
async fn cut_call(head: &str, body: &str, count: usize, end: End) -> Option<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let text = format!("{head}\r\n{body}");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await.expect("a request");
        let written = stream.write_all(&text.as_bytes()[..count]).await;
        written.expect("written");
        if end == End::Reset {
            sleep(READ_TIME).await;
            stream.set_zero_linger().expect("an open socket");
        }
    });
    call(&local_server(address), "/export").await.ok().flatten()
}

/// Guards against a response that ends in its head, or anywhere before its end, and that reaches the caller
/// as a whole one with an empty or short body.
#[tokio::test]
async fn a_response_that_ends_early_is_not_complete_wherever_it_ends() {
    let forms = [
        (
            "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 10\r\n",
            "0123456789",
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-a: b\r\n",
            "5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
        ),
        ("HTTP/1.1 200 OK\r\nx-a: b\r\n", "0123456789"),
        ("HTTP/1.0 200 OK\r\nx-a: b\r\n", "0123456789"),
    ];
    for (head, body) in forms {
        // Nothing shows that a body without a length is cut if its connection is closed in order.
        let has_length = head.contains("content-length") || head.contains("chunked");
        let head_end = head.len() + 2;
        for end in [End::Close, End::Reset] {
            let is_certain = has_length || end == End::Reset;
            let last = if is_certain {
                head_end + body.len()
            } else {
                head_end
            };
            let cut = (0..last).map(|count| async move {
                let whole = cut_call(head, body, count, end).await;
                assert_eq!(whole, None, "{head:?} cut after {count} bytes with {end:?}");
            });
            futures::future::join_all(cut).await;
        }
        let whole = cut_call(head, body, head_end + body.len(), End::Close).await;
        assert_eq!(whole.as_deref(), Some("0123456789"), "{head:?}");
    }
}

#[tokio::test]
async fn a_body_without_a_length_is_complete_when_the_connection_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await.expect("a request");
        let text = b"HTTP/1.1 200 OK\r\n\r\nwhole";
        stream.write_all(text).await.expect("written");
    });
    let body = call(&local_server(address), "/export").await;
    assert_eq!(body.expect("a head").as_deref(), Some("whole"));
}

/// A backend server that refuses the first request of a path on a connection, and precedes its answer to
/// each later request on that connection with a copy of the refusal. Returns its address, and the paths
/// that it has run.
async fn server_that_copies_refusals(identifies: bool) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let shared = ran.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let ran = shared.clone();
            tokio::spawn(async move {
                let mut refusal = None;
                while let Some((path, id)) = read_request(&mut stream).await {
                    let text = match &refusal {
                        None => {
                            let id = if identifies {
                                format!("trefoillock-call: {id}\r\n")
                            } else {
                                String::new()
                            };
                            let text = format!(
                                "HTTP/1.1 503 No\r\n{id}trefoillock-outcome: did-not-run\r\n\
                                 content-length: 0\r\n\r\n"
                            );
                            refusal = Some(text.clone());
                            text
                        }
                        Some(refusal) => {
                            ran.lock().expect("not poisoned").push(path.clone());
                            format!("{refusal}{}", answer(&path, &id))
                        }
                    };
                    let _ = stream.write_all(text.as_bytes()).await;
                }
            });
        }
    });
    (address, ran)
}

/// A dialect whose calls have the identity that their callers chose, like the calls of the platform.
#[derive(Debug)]
struct CallerIdentity;

impl Dialect for CallerIdentity {
    fn write_request_headers(
        &self,
        map: &mut HeaderMap,
        _: &Announcement,
        _: Duration,
        _: Option<&WorkspaceName>,
    ) -> Option<HeaderValue> {
        let identity = self.caller_identity(map);
        let identity = identity.expect("an identity");
        map.insert("trefoillock-call", identity.clone());
        Some(identity)
    }

    fn caller_identity(&self, map: &HeaderMap) -> Option<HeaderValue> {
        map.get("host").cloned()
    }

    fn classify_response(&self, expected: Option<&HeaderValue>, head: &Parts) -> ResponseKind {
        DefaultDialect.classify_response(expected, head)
    }

    fn read_statement(&self, _: &Parts) -> Option<ServerStatement> {
        None
    }

    fn read_warm_up(&self, _: &Parts) -> Option<Duration> {
        None
    }
}

/// Guards against a refusal of an earlier call that counts as the proof that another one, or the same one
/// sent again, did not run.
#[tokio::test]
async fn a_copy_of_a_refusal_is_no_proof_for_another_call() {
    for (identifies, has_caller_identity) in [(false, false), (true, false), (true, true)] {
        let (address, ran) = server_that_copies_refusals(identifies).await;
        let server = local_server(address);
        let server = match (has_caller_identity, Arc::into_inner(server)) {
            (true, Some(server)) => server.with_dialect(Arc::new(CallerIdentity)),
            (false, Some(server)) => server,
            (_, None) => panic!("the server is shared"),
        };
        let server = Arc::new(server);
        for number in 0..8 {
            let path = format!("/{number}");
            let result = call(&server, &path).await;
            sleep(READ_TIME).await;
            let has_run = ran.lock().expect("not poisoned").contains(&path);
            let claims_not_run = result.is_err_and(|f| f.outcome() == Outcome::DidNotRun);
            assert!(
                !(has_run && claims_not_run),
                "{path} ran, identified {identifies}, by the caller {has_caller_identity}"
            );
        }
    }
}
