//! Recording of departures with control replicas over sockets.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{net::TcpListener, sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;
use trefoillock_control::{DepartureRecorder, NotRecorded, RecordAnswer, add_record_call};
use trefoillock_core::{DepartedRuns, Departure, Incarnation, NodeId, ServerProcess};
use trefoillock_rpc::{RpcServer, Token};

/// The longest time that the tests wait for control.
const LIMIT: Duration = Duration::from_secs(10);

/// Starts a replica that gives the same answer to each request, and counts the requests.
async fn replica(answer: RecordAnswer) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counted = requests.clone();
    let server = RpcServer::new(Token::new("t"), Arc::default());
    let server = add_record_call(server, move |_, _| {
        counted.fetch_add(1, Ordering::Relaxed);
        futures::future::ready(answer.clone())
    });
    tokio::spawn(server.serve(listener, CancellationToken::new()));
    (address, requests)
}

async fn record(control: Vec<SocketAddr>, limit: Duration) -> Result<(), NotRecorded> {
    let departure = Departure {
        process: ServerProcess::Address(([127, 0, 0, 1], 9_000).into()),
        runs: DepartedRuns::Only(Incarnation::new(1)),
    };
    let node = NodeId::try_from("n").expect("a name");
    let (_control, rx) = watch::channel(control);
    let recorder = DepartureRecorder::new(node, rx, Token::new("t"), Arc::default());
    recorder.record(&departure, Instant::now() + limit).await
}

/// Guards against a node that knows only a replica that does not lead, or one that does not answer.
#[tokio::test]
async fn the_leader_is_found_behind_replicas_that_follow_or_are_silent() {
    // A listener whose connections nobody accepts is silent.
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let silent = (silent.local_addr().expect("an address"), silent);
    let (leader, requests) = replica(RecordAnswer::Recorded).await;
    let (follower, _) = replica(RecordAnswer::NotLeader(Some(leader))).await;
    let (unknowing, _) = replica(RecordAnswer::NotLeader(None)).await;
    for known in [
        vec![follower],
        vec![silent.0, follower],
        vec![unknowing, follower],
        vec![silent.0, unknowing, leader],
    ] {
        let before = requests.load(Ordering::Relaxed);
        assert_eq!(record(known.clone(), LIMIT).await, Ok(()), "{known:?}");
        assert!(requests.load(Ordering::Relaxed) > before, "{known:?}");
    }
}

/// Guards against a departure that counts as recorded though no replica has said so.
#[tokio::test]
async fn a_departure_that_no_replica_records_is_not_recorded() {
    let (unknowing, requests) = replica(RecordAnswer::NotLeader(None)).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let closed = closed.local_addr().expect("an address");
    let limit = Duration::from_millis(400);
    for known in [vec![], vec![closed], vec![unknowing, closed]] {
        assert_eq!(
            record(known.clone(), limit).await,
            Err(NotRecorded),
            "{known:?}"
        );
    }
    // Requests are repeated, but not without a pause.
    let requests = requests.load(Ordering::Relaxed);
    assert!((1..=8).contains(&requests), "{requests}");
}
