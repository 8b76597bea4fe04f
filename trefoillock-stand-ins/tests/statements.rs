//! What backend servers state in their answers binds all nodes of a mesh: limits on the rate of
//! calls, several at once, and servers that leave.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use futures::future::join_all;
use trefoillock_core::Outcome;
use trefoillock_stand_ins::{
    backend_server::BackendServerConfig,
    caller::{CallReport, Caller, CallerRequest},
    test_mesh::TestMesh,
};

const HANG_GUARD: Duration = Duration::from_secs(30);
const WINDOW: Duration = Duration::from_secs(4);
/// The number of entry nodes that callers use, besides those beside backend servers.
const ENTRIES: usize = 3;
/// The pause of a caller between two calls.
const CALLER_PAUSE: Duration = Duration::from_millis(10);

const TABLES: &str = r#"{
  "routes": [
    { "name": "positions", "match": { "path_prefix": "/positions" },
      "class": "lookup", "pool": "desk-v1", "timeout_ms": 1000 },
    { "name": "claims", "match": { "path_prefix": "/claims" },
      "class": "posting", "pool": "desk-v1", "timeout_ms": 1000 }
  ],
  "pools": [{ "name": "desk-v1", "service": "treaty-desk", "version": "1",
              "policy": { "queue_ms": 200 } }]
}"#;

async fn start_mesh(servers: usize) -> TestMesh {
    let config = BackendServerConfig::new("treaty-desk", "1").expect("valid names");
    let config = config.service_time(Duration::from_millis(2));
    let hosts = vec![None; ENTRIES].into_iter();
    let hosts = hosts.chain(vec![Some(config); servers]).collect();
    let mesh = TestMesh::start(hosts).await.expect("a mesh");
    mesh.publish(1, TABLES, BTreeMap::new());
    mesh.wait_until_ready().await;
    mesh
}

/// Calls through all entry nodes at once until `until`.
async fn press(mesh: &TestMesh, until: Instant) -> Vec<(usize, CallReport)> {
    let callers = (0..2 * ENTRIES).map(|number| async move {
        let entry = number % ENTRIES;
        let (caller, address) = (Caller::new(HANG_GUARD), mesh.caller_address(entry));
        let mut reports = Vec::new();
        while Instant::now() < until {
            let id = format!("call-{number}-{}", reports.len());
            let request = if number < ENTRIES {
                CallerRequest::get(format!("/positions/{id}"), id)
            } else {
                CallerRequest::post(format!("/claims/{id}"), id, "notify")
            };
            reports.push((entry, caller.call(address, &request).await));
            tokio::time::sleep(CALLER_PAUSE).await;
        }
        reports
    });
    join_all(callers).await.concat()
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small count"))
}

fn arrivals_in(arrivals: &[Instant], from: Instant, span: Duration) -> f64 {
    let within = arrivals
        .iter()
        .filter(|at| **at >= from && **at < from + span);
    float(within.count())
}

fn busiest_window(arrivals: &[Instant], from: Instant) -> f64 {
    let starts = arrivals.iter().filter(|at| **at >= from);
    let windows = starts.map(|start| arrivals_in(arrivals, *start, WINDOW));
    windows.fold(0.0, f64::max)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn several_limits_are_kept_and_used_and_no_entry_is_starved() {
    let mesh = start_mesh(3).await;
    let limits = [8.0, 25.0];
    let servers: Vec<_> = (0..3).filter_map(|at| mesh.server(ENTRIES + at)).collect();
    for (server, limit) in servers.iter().zip(limits) {
        server.state_limit(Some(&limit.to_string()));
    }
    let start = Instant::now();
    let settled = start + Duration::from_secs(1);
    let reports = press(&mesh, settled + WINDOW + Duration::from_secs(1)).await;
    for (server, limit) in servers.iter().zip(limits) {
        let arrivals = server.arrivals();
        let allowed = limit * WINDOW.as_secs_f64();
        let busiest = busiest_window(&arrivals, settled);
        assert!(
            busiest <= 1.5 * allowed + 5.0,
            "{busiest} at {limit} a second"
        );
        let used = arrivals_in(&arrivals, settled, WINDOW);
        assert!(used >= 0.9 * allowed, "{used} at {limit} a second");
    }
    let rest = arrivals_in(&servers[2].arrivals(), settled, WINDOW);
    assert!(
        rest > 4.0 * 25.0 * WINDOW.as_secs_f64() / 4.0,
        "{rest} at the other server"
    );
    for entry in 0..ENTRIES {
        let own = reports.iter().filter(|(at, _)| *at == entry);
        let answered = own
            .clone()
            .filter(|(_, report)| report.outcome == Outcome::Answered);
        let (answered, all) = (float(answered.count()), float(own.count()));
        assert!(answered >= 0.9 * all, "entry {entry}: {answered} of {all}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_call_that_no_limit_leaves_room_for_is_refused_at_once_and_did_not_run() {
    let mesh = start_mesh(1).await;
    let server = mesh.server(ENTRIES).expect("a server");
    server.state_limit(Some("4"));
    let reports = press(&mesh, Instant::now() + Duration::from_secs(3)).await;
    let refused = reports
        .iter()
        .filter(|(_, report)| report.outcome != Outcome::Answered);
    let mut count = 0;
    for (_, report) in refused {
        assert_eq!(report.outcome, Outcome::DidNotRun, "{report:?}");
        assert_eq!(report.reason.as_deref(), Some("rate-limited"), "{report:?}");
        count += 1;
    }
    assert!(count > 100, "{count} refused");
    let arrived = server.arrivals().len();
    let answered = reports.len() - count;
    assert_eq!(
        arrived, answered,
        "a refused call does not reach the server"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_limit_that_ends_no_longer_binds_and_one_that_cannot_be_read_changes_nothing() {
    let mesh = start_mesh(1).await;
    let server = mesh.server(ENTRIES).expect("a server");
    server.state_limit(Some("5"));
    press(&mesh, Instant::now() + Duration::from_secs(1)).await;
    server.state_limit(Some("unlimited"));
    let from = Instant::now();
    press(&mesh, from + Duration::from_secs(2)).await;
    let unread = arrivals_in(&server.arrivals(), from, Duration::from_secs(2));
    assert!(unread <= 1.5 * 10.0 + 5.0, "{unread}");
    server.state_limit(None);
    let from = Instant::now();
    press(&mesh, from + Duration::from_secs(2)).await;
    let ended = arrivals_in(
        &server.arrivals(),
        from + Duration::from_secs(1),
        Duration::from_secs(1),
    );
    assert!(ended >= 100.0, "{ended} in the second second after the end");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_that_says_it_leaves_gets_nothing_new_and_its_successor_does() {
    let mesh = start_mesh(2).await;
    let leaving = mesh.server(ENTRIES).expect("a server");
    leaving.state_leaving(true);
    press(&mesh, Instant::now() + Duration::from_millis(500)).await;
    let before = leaving.arrivals().len();
    let reports = press(&mesh, Instant::now() + Duration::from_secs(2)).await;
    assert_eq!(
        leaving.arrivals().len(),
        before,
        "nothing after it has said so"
    );
    for (_, report) in &reports {
        assert_eq!(report.outcome, Outcome::Answered, "{report:?}");
    }
    leaving.restart().await.expect("a restart");
    press(&mesh, Instant::now() + Duration::from_secs(2)).await;
    assert!(
        leaving.arrivals().len() > before + 20,
        "the next run is used"
    );
}
