//! A caller resends a posting with the same idempotency key, through any node and in any state of
//! the first send. The posting runs at most once, and each answer states its outcome truthfully.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{MoveId, MoveShare, Outcome, PoolName, RouteName, Share};
use trefoillock_stand_ins::{
    backend_server::{BackendServerConfig, Fault, FaultStep, Gate},
    caller::{CallReport, Caller, CallerRequest},
    test_mesh::TestMesh,
};

/// The timeout of calls and waits, so that a hanging test fails.
const HANG_GUARD: Duration = Duration::from_secs(30);

const TABLES: &str = r#"{
  "routes": [
    { "name": "claims", "match": { "path_prefix": "/claims" },
      "class": "posting", "pool": "POOL", "timeout_ms": 10000 }
  ],
  "pools": [
    { "name": "hub-v1", "service": "claims-hub", "version": "1" },
    { "name": "hub-v2", "service": "claims-hub", "version": "2" }
  ]
}"#;

fn tables(pool: &str) -> String {
    TABLES.replace("POOL", pool)
}

/// Starts four nodes: nodes 1 and 3 have a backend server with version 1, node 2 has one with
/// version 2, node 0 has none. Nodes 0, 1 and 2 are the guards.
async fn start_mesh() -> TestMesh {
    let server =
        |version| Some(BackendServerConfig::new("claims-hub", version).expect("valid names"));
    let mesh = TestMesh::start(vec![None, server("1"), server("2"), server("1")]).await;
    let mesh = mesh.expect("a mesh");
    mesh.publish(1, &tables("hub-v1"), BTreeMap::new());
    mesh.wait_until_ready().await;
    mesh
}

fn claim() -> CallerRequest {
    CallerRequest::post("/claims/17", "claim-17", "notify").key("key-17")
}

async fn send(mesh: &TestMesh, node: usize, request: &CallerRequest) -> CallReport {
    let report = Caller::new(HANG_GUARD)
        .call(mesh.caller_address(node), request)
        .await;
    assert!(!report.wrong, "{report:?}");
    report
}

/// Resends until the answer is no longer that the first send is in progress. Checks that the
/// posting has run at most once.
async fn resend_until_known(mesh: &TestMesh, node: usize, request: &CallerRequest) -> CallReport {
    loop {
        let report = send(mesh, node, request).await;
        assert!(mesh.run_counter().runs("claim-17") <= 1, "{report:?}");
        if report.reason.as_deref() != Some("in-progress") {
            return report;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts the first send and waits until a gate holds it at a step.
async fn start_first_send(mesh: &TestMesh, node: usize, step: FaultStep) -> (Gate, Caller) {
    let gate = Gate::new();
    mesh.faults().arm(step, Fault::Gate(gate.clone()));
    let caller = Caller::new(HANG_GUARD);
    let (sender, entry) = (caller.clone(), mesh.caller_address(node));
    tokio::spawn(async move { sender.call(entry, &claim()).await });
    tokio::time::timeout(HANG_GUARD, gate.reached())
        .await
        .expect("the first send reaches the gate");
    (gate, caller)
}

fn assert_may_have_run(mesh: &TestMesh, report: &CallReport, reasons: &[&str]) {
    assert_eq!(report.outcome, Outcome::MayHaveRun, "{report:?}");
    let reason = report.reason.as_deref().unwrap_or_default();
    assert!(reasons.contains(&reason), "{report:?}");
    assert_eq!(mesh.run_counter().runs("claim-17"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_while_the_first_send_runs() {
    let mesh = start_mesh().await;
    let (gate, _caller) = start_first_send(&mesh, 0, FaultStep::RequestSent).await;
    for node in 0..4 {
        let report = send(&mesh, node, &claim()).await;
        assert_may_have_run(&mesh, &report, &["in-progress"]);
    }
    gate.open();
    for node in 0..4 {
        let report = resend_until_known(&mesh, node, &claim()).await;
        assert_eq!(report.outcome, Outcome::Answered, "{report:?}");
        assert_eq!(report.reason.as_deref(), Some("already-run"));
    }
    assert_eq!(mesh.run_counter().runs("claim-17"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_after_the_first_send_was_answered() {
    let mesh = start_mesh().await;
    let first = send(&mesh, 3, &claim()).await;
    assert_eq!(first.outcome, Outcome::Answered, "{first:?}");
    for node in 0..4 {
        let report = resend_until_known(&mesh, node, &claim()).await;
        assert_eq!(report.outcome, Outcome::Answered, "{report:?}");
        assert_eq!(report.reason.as_deref(), Some("already-run"));
    }
    assert_eq!(mesh.run_counter().runs("claim-17"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_after_the_caller_gave_up() {
    let mesh = start_mesh().await;
    let gate = Gate::new();
    mesh.faults()
        .arm(FaultStep::RequestSent, Fault::Gate(gate.clone()));
    let impatient = Caller::new(Duration::from_millis(200));
    let report = impatient.call(mesh.caller_address(0), &claim()).await;
    assert_eq!(report.status, None, "the caller gives up before the answer");
    gate.open();
    let report = resend_until_known(&mesh, 1, &claim()).await;
    assert_eq!(
        report.outcome,
        Outcome::Answered,
        "the posting ran to its end: {report:?}"
    );
    assert_eq!(mesh.run_counter().runs("claim-17"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_after_the_backend_server_crashed() {
    let mesh = start_mesh().await;
    mesh.faults().arm(FaultStep::RequestSent, Fault::Crash);
    let first = send(&mesh, 0, &claim()).await;
    assert_may_have_run(&mesh, &first, &["connection-lost"]);
    for node in 0..4 {
        let report = resend_until_known(&mesh, node, &claim()).await;
        assert_may_have_run(&mesh, &report, &["key-unknown"]);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_after_the_entry_node_crashed() {
    let mesh = start_mesh().await;
    let (gate, _caller) = start_first_send(&mesh, 0, FaultStep::RequestSent).await;
    mesh.hosts()[0].node.crash();
    gate.open();
    for node in 1..4 {
        let report = send(&mesh, node, &claim()).await;
        assert_may_have_run(&mesh, &report, &["in-progress", "key-unknown"]);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_after_the_destination_node_crashed() {
    let mesh = start_mesh().await;
    let gate = Gate::new();
    mesh.faults()
        .arm(FaultStep::RequestSent, Fault::Gate(gate.clone()));
    let entry = mesh.caller_address(0);
    let first = tokio::spawn(async move { Caller::new(HANG_GUARD).call(entry, &claim()).await });
    let host = gate.reached().await.and_then(|server| mesh.host_of(server));
    let host = host.expect("a host");
    mesh.hosts()[host].node.crash();
    gate.open();
    let first = first.await.expect("a report");
    assert_may_have_run(&mesh, &first, &["connection-lost"]);
    for node in (0..4).filter(|node| *node != host) {
        let report = resend_until_known(&mesh, node, &claim()).await;
        assert_may_have_run(&mesh, &report, &["key-unknown"]);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_while_the_route_moves_to_another_pool() {
    let mesh = start_mesh().await;
    let (gate, _caller) = start_first_send(&mesh, 0, FaultStep::RequestSent).await;
    let share = MoveShare {
        id: MoveId::new(1),
        step: 1,
        from: PoolName::try_from("hub-v1").expect("a name"),
        to: PoolName::try_from("hub-v2").expect("a name"),
        share: Share::FULL,
    };
    let route = RouteName::try_from("claims").expect("a name");
    mesh.publish(2, &tables("hub-v2"), BTreeMap::from([(route, share)]));
    for node in 0..4 {
        let report = send(&mesh, node, &claim()).await;
        assert_may_have_run(&mesh, &report, &["in-progress"]);
    }
    mesh.publish(3, &tables("hub-v2"), BTreeMap::new());
    gate.open();
    for node in 0..4 {
        let report = resend_until_known(&mesh, node, &claim()).await;
        assert_eq!(report.outcome, Outcome::Answered, "{report:?}");
    }
    assert_eq!(mesh.run_counter().runs("claim-17"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_after_a_refusal_runs() {
    let mesh = start_mesh().await;
    for _ in 0..4 {
        mesh.faults().arm(FaultStep::HalfRequest, Fault::Refuse);
    }
    let first = send(&mesh, 0, &claim()).await;
    assert_eq!(first.outcome, Outcome::DidNotRun, "{first:?}");
    assert_eq!(mesh.run_counter().runs("claim-17"), 0);
    // Resend until the remaining planned refusals are used up and the posting runs.
    while mesh.run_counter().runs("claim-17") == 0 {
        let report = send(&mesh, 1, &claim()).await;
        let is_true =
            report.outcome != Outcome::DidNotRun || mesh.run_counter().runs("claim-17") == 0;
        assert!(is_true, "{report:?}");
    }
    assert_eq!(mesh.run_counter().runs("claim-17"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_same_key_with_another_body_is_refused() {
    let mesh = start_mesh().await;
    let first = send(&mesh, 0, &claim()).await;
    assert_eq!(first.outcome, Outcome::Answered);
    let other = CallerRequest::post("/claims/17", "claim-18", "other").key("key-17");
    for node in 0..4 {
        let report = send(&mesh, node, &other).await;
        assert_eq!(report.outcome, Outcome::DidNotRun, "{report:?}");
        assert_eq!(report.reason.as_deref(), Some("key-reused"));
    }
    assert_eq!(mesh.run_counter().runs("claim-18"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_majority_of_guards_nothing_runs() {
    let mesh = start_mesh().await;
    for node in [0, 1] {
        mesh.hosts()[node].node.crash();
    }
    let report = send(&mesh, 3, &claim()).await;
    assert_eq!(report.outcome, Outcome::MayHaveRun, "{report:?}");
    assert_eq!(report.reason.as_deref(), Some("key-unknown"));
    assert_eq!(mesh.run_counter().runs("claim-17"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_sends_at_once_run_once() {
    let mesh = start_mesh().await;
    let sends = (0..40).map(|n| {
        let entry = mesh.caller_address(n % 4);
        async move { Caller::new(HANG_GUARD).call(entry, &claim()).await }
    });
    let reports = futures::future::join_all(sends).await;
    assert!(mesh.run_counter().runs("claim-17") <= 1, "{reports:#?}");
    for report in reports {
        assert!(!report.wrong);
        assert_ne!(report.outcome, Outcome::DidNotRun, "{report:?}");
    }
}
