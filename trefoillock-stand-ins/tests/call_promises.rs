//! Checks the promises to callers while calls are in flight: planned stops, drains, late answers,
//! truncated answers, crashing requests, and the limits of slots and connections.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use futures::future::join_all;
use trefoillock_core::Outcome;
use trefoillock_stand_ins::{
    backend_server::{BackendServerConfig, Fault, FaultStep, Gate},
    caller::{CallReport, Caller, CallerRequest},
    test_mesh::TestMesh,
};

/// The timeout of calls and waits, so that a hanging test fails.
const HANG_GUARD: Duration = Duration::from_secs(30);

const TABLES: &str = r#"{
  "routes": [
    { "name": "positions", "match": { "path_prefix": "/positions" },
      "class": "lookup", "pool": "desk-v1", "timeout_ms": 20000 },
    { "name": "claims", "match": { "path_prefix": "/claims" },
      "class": "posting", "pool": "desk-v1", "timeout_ms": 20000 },
    { "name": "exports", "match": { "path_prefix": "/exports" },
      "class": "export", "pool": "desk-v1", "timeout_ms": 20000 }
  ],
  "pools": [{ "name": "desk-v1", "service": "treaty-desk", "version": "1",
              "policy": { "queue_ms": 10000 } }]
}"#;

fn server() -> BackendServerConfig {
    BackendServerConfig::new("treaty-desk", "1").expect("valid names")
}

/// Starts an entry node without a backend server, and one node with a backend server for each
/// configuration.
async fn start_mesh(servers: Vec<BackendServerConfig>) -> TestMesh {
    let hosts = std::iter::once(None).chain(servers.into_iter().map(Some));
    let mesh = TestMesh::start(hosts.collect()).await.expect("a mesh");
    mesh.publish(1, TABLES, BTreeMap::new());
    mesh.wait_until_ready().await;
    mesh
}

fn lookup(n: usize) -> CallerRequest {
    CallerRequest::get(format!("/positions/{n}"), format!("lookup-{n}"))
}

fn posting(n: usize) -> CallerRequest {
    CallerRequest::post(format!("/claims/{n}"), format!("claim-{n}"), "notify")
}

fn export(n: usize) -> CallerRequest {
    CallerRequest::get(format!("/exports/{n}?bytes=3000000"), format!("export-{n}"))
}

fn assert_answered(report: &CallReport) {
    assert_eq!(report.outcome, Outcome::Answered, "{report:?}");
    assert!(!report.wrong && !report.truncated, "{report:?}");
}

/// Starts a call and waits until a gate holds it at a step. Returns the call, the gate and the
/// address of the backend server.
async fn start_held_call(
    mesh: &TestMesh,
    caller: Caller,
    request: CallerRequest,
    step: FaultStep,
) -> (
    tokio::task::JoinHandle<CallReport>,
    Gate,
    Option<SocketAddr>,
) {
    let gate = Gate::new();
    mesh.faults().arm(step, Fault::Gate(gate.clone()));
    let entry = mesh.caller_address(0);
    let call = tokio::spawn(async move { caller.call(entry, &request).await });
    let server = tokio::time::timeout(HANG_GUARD, gate.reached()).await;
    (call, gate, server.expect("the call reaches the gate"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_of_both_nodes_cuts_no_call_in_flight() {
    for http2 in [false, true] {
        for (request, step) in [
            (export(1), FaultStep::HalfBody),
            (posting(1), FaultStep::RequestSent),
            (lookup(1), FaultStep::HalfRequest),
        ] {
            let mesh = start_mesh(vec![server()]).await;
            let caller = if http2 {
                Caller::http2(HANG_GUARD)
            } else {
                Caller::new(HANG_GUARD)
            };
            let (call, gate, _) = start_held_call(&mesh, caller, request, step).await;
            let stopping = tokio::spawn(mesh.stop());
            tokio::time::sleep(Duration::from_millis(50)).await;
            gate.open();
            assert_answered(&call.await.expect("a report"));
            tokio::time::timeout(HANG_GUARD, stopping)
                .await
                .expect("the stop ends")
                .expect("no panic");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drain_and_a_stop_under_load_fail_no_call() {
    let slow = server().service_time(Duration::from_millis(2));
    let mesh = start_mesh(vec![slow.clone(), slow.clone(), slow]).await;
    let caller = Caller::new(HANG_GUARD);
    let calls = |from: usize| {
        let (caller, entry) = (caller.clone(), mesh.caller_address(0));
        async move {
            let calls = (from..from + 60).map(|n| {
                let request = if n % 2 == 0 { lookup(n) } else { posting(n) };
                let caller = caller.clone();
                async move { caller.call(entry, &request).await }
            });
            join_all(calls).await
        }
    };
    let mut reports = calls(0).await;
    mesh.drain(1);
    let drained = mesh.server(1).expect("a server");
    let after_drain = calls(1_000).await;
    let received = drained.received_calls();
    reports.extend(after_drain);
    reports.extend(calls(2_000).await);
    assert_eq!(
        drained.received_calls(),
        received,
        "a drained server gets no new work"
    );
    mesh.hosts()[1].node.begin_stop();
    reports.extend(calls(3_000).await);
    for report in &reports {
        assert_answered(report);
    }
    assert!(
        mesh.run_counter()
            .repeated(|id| id.starts_with("claim"))
            .is_empty()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_without_a_drain_causes_only_true_refusals() {
    let mesh = start_mesh(vec![server(), server(), server()]).await;
    let caller = Caller::new(HANG_GUARD);
    for n in 0..300 {
        if n == 100 {
            mesh.hosts()[1].node.begin_stop();
        }
        let request = if n % 2 == 0 { lookup(n) } else { posting(n) };
        let report = caller.call(mesh.caller_address(0), &request).await;
        assert_ne!(report.outcome, Outcome::MayHaveRun, "{report:?}");
        assert!(!report.wrong && !report.truncated, "{report:?}");
        if report.outcome == Outcome::DidNotRun {
            assert_eq!(mesh.run_counter().runs(&request.id), 0, "{report:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_reaches_no_other_caller() {
    let mesh = start_mesh(vec![server()]).await;
    let caller = Caller::new(HANG_GUARD);
    for round in 0..5 {
        for step in [
            FaultStep::RequestSent,
            FaultStep::HeadSent,
            FaultStep::HalfBody,
        ] {
            let gate = Gate::new();
            mesh.faults().arm(step, Fault::Gate(gate.clone()));
            let late = lookup(round).deadline_ms(50);
            let report = caller.call(mesh.caller_address(0), &late).await;
            assert_ne!(report.outcome, Outcome::Answered, "{report:?}");
            // The rest of the answer is sent while the next calls are under way.
            gate.open();
            let calls = (100..120).map(|n| {
                let (caller, entry) = (caller.clone(), mesh.caller_address(0));
                async move { caller.call(entry, &lookup(n)).await }
            });
            for report in join_all(calls).await {
                assert_answered(&report);
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_truncated_answer_never_looks_complete() {
    let mesh = start_mesh(vec![server(), server(), server()]).await;
    for caller in [Caller::new(HANG_GUARD), Caller::http2(HANG_GUARD)] {
        for target in ["/claims/1?bytes=50000", "/claims/1?bytes=50000&chunked=1"] {
            mesh.faults().arm(FaultStep::HalfBody, Fault::Reset);
            let request = CallerRequest::post(target, "claim-cut", "notify");
            let report = caller.call(mesh.caller_address(0), &request).await;
            assert_eq!(report.outcome, Outcome::MayHaveRun, "{report:?}");
            let head_arrived = report.status.is_some_and(|status| status.is_success());
            assert!(report.truncated || !head_arrived, "{report:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashing_request_is_refused_after_its_second_crash() {
    let mesh = start_mesh(vec![server(), server(), server(), server(), server()]).await;
    let caller = Caller::new(HANG_GUARD);
    let poison = CallerRequest::get("/positions/poison", "poison");
    let mut quarantined = 0;
    // The caller resends the request through every node in turn.
    for node in (0..6).cycle().take(30) {
        let report = caller.call(mesh.caller_address(node), &poison).await;
        assert_ne!(report.outcome, Outcome::Answered);
        quarantined += u32::from(report.reason.as_deref() == Some("quarantined"));
        let healthy = caller.call(mesh.caller_address(0), &lookup(node)).await;
        assert_answered(&healthy);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(
        mesh.run_counter().runs("poison"),
        2,
        "the request is quarantined after two crashes"
    );
    assert!(quarantined >= 20, "{quarantined}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashing_posting_is_not_run_again() {
    let mesh = start_mesh(vec![server(), server(), server()]).await;
    let caller = Caller::new(HANG_GUARD);
    let poison = CallerRequest::post("/claims/poison", "poison", "x").key("key-poison");
    for node in 0..4 {
        let report = caller.call(mesh.caller_address(node), &poison).await;
        assert_eq!(report.outcome, Outcome::MayHaveRun, "{report:?}");
    }
    assert_eq!(mesh.run_counter().runs("poison"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slots_and_connections_are_never_exceeded() {
    let small = server()
        .capacity(3, 4)
        .service_time(Duration::from_millis(2));
    let mesh = start_mesh(vec![small.clone(), small]).await;
    let caller = Caller::new(HANG_GUARD);
    let calls = (0..300).map(|n| {
        let (caller, entry) = (caller.clone(), mesh.caller_address(n % 3));
        async move { caller.call(entry, &lookup(n)).await }
    });
    let reports = join_all(calls).await;
    for host in [1, 2] {
        let server = mesh.server(host).expect("a server");
        assert_eq!(
            server.queued_calls(),
            0,
            "no call had to wait for a slot at the backend server"
        );
        assert!(
            server.max_connections() <= 4,
            "{}",
            server.max_connections()
        );
    }
    for (n, report) in reports.iter().enumerate() {
        let runs = mesh.run_counter().runs(&format!("lookup-{n}"));
        match report.outcome {
            Outcome::Answered => assert!(!report.wrong && runs >= 1),
            _ => assert_eq!(runs, 0, "{report:?}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_gives_up_frees_its_slot() {
    let mesh = start_mesh(vec![server().capacity(1, 2)]).await;
    mesh.faults().arm(FaultStep::RequestSent, Fault::SilentDrop);
    let impatient = Caller::new(Duration::from_millis(100));
    let report = impatient.call(mesh.caller_address(0), &lookup(1)).await;
    assert_eq!(report.status, None);
    let report = Caller::new(HANG_GUARD)
        .call(mesh.caller_address(0), &lookup(2))
        .await;
    assert_answered(&report);
}
