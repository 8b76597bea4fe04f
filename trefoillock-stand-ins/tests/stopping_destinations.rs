//! Calls between nodes while the node beside a backend server stops.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;
use trefoillock_core::Outcome;
use trefoillock_stand_ins::{
    backend_server::BackendServerConfig,
    caller::{Caller, CallerRequest},
    test_mesh::TestMesh,
};

const HANG_GUARD: Duration = Duration::from_secs(30);
/// The time from the beginning of the stop to the cut of the calls in flight.
const CUT_AFTER: Duration = Duration::from_secs(20);
const CALLS: u32 = 30;

const TABLES: &str = r#"{
  "routes": [
    { "name": "bookings", "match": { "path_prefix": "/bookings" },
      "class": "posting", "pool": "desk-v1", "timeout_ms": 25000 },
    { "name": "positions", "match": { "path_prefix": "/positions" },
      "class": "lookup", "pool": "desk-v1", "timeout_ms": 15000 }
  ],
  "pools": [{ "name": "desk-v1", "service": "treaty-desk", "version": "1" }]
}"#;

/// Starts an entry node and two nodes with backend servers.
async fn start_mesh() -> TestMesh {
    let config = BackendServerConfig::new("treaty-desk", "1").expect("valid names");
    let config = config.service_time(Duration::from_millis(2));
    let hosts = vec![None, Some(config.clone()), Some(config)];
    let mesh = TestMesh::start(hosts).await.expect("a mesh");
    mesh.publish(1, TABLES, BTreeMap::new());
    mesh.wait_until_ready().await;
    mesh
}

/// Sends postings one after another and requires an answer to each.
async fn post(entry: SocketAddr) {
    let caller = Caller::new(HANG_GUARD);
    for number in 0..CALLS {
        let id = format!("booking-{number}");
        let report = caller
            .call(entry, &CallerRequest::post("/bookings/", id, "{}"))
            .await;
        assert_eq!(report.outcome, Outcome::Answered, "{report:?}");
    }
}

/// Sends lookups one after another and requires an answer to each.
async fn look_up(entry: SocketAddr) {
    let caller = Caller::new(HANG_GUARD);
    for number in 0..CALLS {
        let id = format!("position-{number}");
        let report = caller
            .call(entry, &CallerRequest::get("/positions/", id))
            .await;
        assert_eq!(report.outcome, Outcome::Answered, "{report:?}");
    }
}

fn received(mesh: &TestMesh, at: usize) -> u64 {
    mesh.server(at).expect("a backend server").received_calls()
}

/// Guards against postings that a stopping node begins for another node and cuts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_node_begins_no_call_that_it_may_cut() {
    let mesh = start_mesh().await;
    let entry = mesh.caller_address(0);
    let stopping = mesh.hosts()[1].node.context().clone();
    stopping.begin_stop(Instant::now() + CUT_AFTER);
    let before = received(&mesh, 1);
    post(entry).await;
    assert_eq!(received(&mesh, 1), before, "postings that may be cut");
    mesh.stop().await;
}

/// Guards against a stop that turns away calls which end before the cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_node_takes_calls_that_end_before_the_cut() {
    let mesh = start_mesh().await;
    let entry = mesh.caller_address(0);
    let stopping = mesh.hosts()[1].node.context().clone();
    stopping.begin_stop(Instant::now() + CUT_AFTER);
    look_up(entry).await;
    assert!(received(&mesh, 1) > 0, "no lookup at the stopping node");
    mesh.stop().await;
}

/// Guards against a call that waited for a slot and is begun so late in a stop that it is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_waited_for_a_slot_is_not_begun_before_the_cut() {
    let config = BackendServerConfig::new("treaty-desk", "1").expect("valid names");
    let config = config
        .capacity(1, 4)
        .service_time(Duration::from_millis(600));
    let mesh = TestMesh::start(vec![None, Some(config)]).await;
    let mesh = mesh.expect("a mesh");
    let patient = r#""version": "1", "policy": { "queue_ms": 5000 } }"#;
    let tables = TABLES.replace(r#""version": "1" }"#, patient);
    mesh.publish(1, &tables, BTreeMap::new());
    mesh.wait_until_ready().await;
    let entry = mesh.caller_address(0);
    let calls = ["first", "second"].map(|id| {
        tokio::spawn(async move {
            let posting = CallerRequest::post("/bookings/", id.to_owned(), "{}");
            Caller::new(HANG_GUARD).call(entry, &posting).await.outcome
        })
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let stopping = mesh.hosts()[1].node.context().clone();
    stopping.begin_stop(Instant::now() + Duration::from_secs(1));
    stopping.refuse_calls_to_cut();
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(call.await.expect("a call"));
    }
    outcomes.sort_by_key(|outcome| *outcome != Outcome::Answered);
    assert_eq!(outcomes, [Outcome::Answered, Outcome::DidNotRun]);
    assert_eq!(received(&mesh, 1), 1);
    mesh.stop().await;
}
