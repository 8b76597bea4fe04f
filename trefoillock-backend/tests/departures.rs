//! Departures: runs that have left stay out, and are acknowledged once they are recorded.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures::{FutureExt, future::BoxFuture};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::{
    AnnounceError, BackendRegistry, DefaultDialect, DepartureLog, LEASE_DURATION, serve,
};
use trefoillock_core::{Announcement, Departure, Incarnation, MemberState};
use trefoillock_process::Clock;

/// A log that records departures while it works.
#[derive(Debug, Default)]
struct TestLog {
    works: AtomicBool,
    recorded: Mutex<Vec<Departure>>,
}

impl DepartureLog for TestLog {
    fn record<'a>(&'a self, departure: &'a Departure) -> BoxFuture<'a, bool> {
        let works = self.works.load(Ordering::Relaxed);
        if works {
            let mut recorded = self.recorded.lock().expect("not poisoned");
            recorded.push(departure.clone());
        }
        futures::future::ready(works).boxed()
    }
}

impl TestLog {
    fn recorded(&self) -> Vec<Departure> {
        self.recorded.lock().expect("not poisoned").clone()
    }
}

fn announcement(incarnation: u64) -> Announcement {
    Announcement {
        address: ([127, 0, 0, 1], 9_000).into(),
        service: "desk".try_into().expect("a name"),
        version: "1".try_into().expect("a name"),
        incarnation: Incarnation::new(incarnation),
        slots: 2,
        connections: 4,
        state: MemberState::Up,
        instance: Some("i-1".try_into().expect("a name")),
    }
}

fn registry(lease: Duration) -> (Arc<BackendRegistry>, Arc<TestLog>) {
    let log = Arc::new(TestLog::default());
    let dialect = Arc::new(DefaultDialect);
    let registry = BackendRegistry::with_dialect(Clock::start(), lease, dialect);
    (Arc::new(registry.with_departure_log(log.clone())), log)
}

fn states(registry: &BackendRegistry) -> Vec<MemberState> {
    let list = registry.subscribe();
    let list = list.borrow();
    list.iter().map(|announced| announced.state).collect()
}

/// Guards against an announcement on its way that brings back a run that has left, though the run was
/// not announced, or no longer, when it left.
#[tokio::test]
async fn a_run_that_left_without_a_lease_stays_out() {
    let (registry, log) = registry(LEASE_DURATION);
    log.works.store(true, Ordering::Relaxed);
    let departure = Departure::from(&announcement(1));
    assert_eq!(registry.depart(departure.clone()).await, Ok(()));
    assert_eq!(log.recorded(), [departure]);
    registry.announce(announcement(1)).expect("accepted");
    assert_eq!(states(&registry), [MemberState::Draining]);
    registry.announce(announcement(2)).expect("a later run");
    assert_eq!(states(&registry), [MemberState::Up]);
}

/// Guards against an acknowledgement of a departure that is not recorded, and against one that is
/// recorded again for each report.
#[tokio::test]
async fn a_departure_is_acknowledged_once_it_is_recorded() {
    let (registry, log) = registry(LEASE_DURATION);
    registry.announce(announcement(1)).expect("accepted");
    let departure = Departure::from(&announcement(1));
    let unrecorded = Err(AnnounceError::DepartureNotRecorded);
    assert_eq!(registry.depart(departure.clone()).await, unrecorded);
    assert_eq!(states(&registry), [MemberState::Draining]);
    log.works.store(true, Ordering::Relaxed);
    for _ in 0..3 {
        assert_eq!(registry.depart(departure.clone()).await, Ok(()));
    }
    assert_eq!(log.recorded(), [departure]);
}

async fn send(address: SocketAddr, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("answered");
    let status = answer.split(' ').nth(1);
    status.expect("a status").to_owned()
}

/// Guards against the same acknowledgements on the interface of backend servers.
#[tokio::test]
async fn the_http_interface_acknowledges_recorded_departures_only() {
    let (registry, log) = registry(LEASE_DURATION);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve(listener, registry, CancellationToken::new()));
    let json = |announcement: &Announcement| serde_json::to_string(announcement).expect("JSON");
    let mut own = announcement(1);
    let announced = send(address, "/announcement", &json(&own)).await;
    assert_eq!(announced, "204");
    let drain = r#"{"address":"127.0.0.1:9000"}"#;
    own.state = MemberState::Draining;
    assert_eq!(send(address, "/drain", drain).await, "503");
    assert_eq!(send(address, "/announcement", &json(&own)).await, "503");
    log.works.store(true, Ordering::Relaxed);
    assert_eq!(send(address, "/announcement", &json(&own)).await, "204");
    assert_eq!(send(address, "/drain", drain).await, "204");
    assert_eq!(log.recorded(), [Departure::from(&own)]);
}
