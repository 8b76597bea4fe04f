//! Runs one cell of the fault matrix: a call of one class with faults injected at its steps.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::sleep;
use trefoillock_core::{Outcome, RouteClass};
use trefoillock_stand_ins::{
    backend_server::{BackendServerConfig, Fault, FaultStep, Gate},
    caller::{CallReport, Caller, CallerRequest},
    test_mesh::TestMesh,
};

/// The timeout of a call and of a cell, so that a hanging test fails.
pub(crate) const HANG_GUARD: Duration = Duration::from_mins(1);
/// The deadline of calls whose fault lasts longer than this deadline, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 400;
/// A pause that is shorter than any deadline.
const SHORT_PAUSE: Duration = Duration::from_millis(40);
/// A pause that is longer than the short deadline.
const LONG_PAUSE: Duration = Duration::from_millis(700);
/// The size of an answer, large enough for several writes, in bytes.
const ANSWER_BYTES: u64 = 200_000;

pub(crate) const TABLES: &str = r#"{
  "routes": [
    { "name": "lookup", "match": { "path_prefix": "/lookup" },
      "class": "lookup", "pool": "desk-v1", "timeout_ms": 20000 },
    { "name": "posting", "match": { "path_prefix": "/posting" },
      "class": "posting", "pool": "desk-v1", "timeout_ms": 20000 },
    { "name": "export", "match": { "path_prefix": "/export" },
      "class": "export", "pool": "desk-v1", "timeout_ms": 20000 },
    { "name": "background", "match": { "path_prefix": "/background" },
      "class": "background", "pool": "desk-v1", "timeout_ms": 20000 }
  ],
  "pools": [{ "name": "desk-v1", "service": "treaty-desk", "version": "1",
              "policy": { "queue_ms": 5000 } }]
}"#;

/// A fault of a cell. `HerdRestart` restarts both backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CellFault {
    ServerCrash,
    NodeCrash,
    SilentDrop,
    Stall,
    Reset,
    Slow,
    LateAnswer,
    Drain,
    Restart,
    HerdRestart,
}

impl CellFault {
    pub(crate) const ALL: [Self; 10] = [
        Self::ServerCrash,
        Self::NodeCrash,
        Self::SilentDrop,
        Self::Stall,
        Self::Reset,
        Self::Slow,
        Self::LateAnswer,
        Self::Drain,
        Self::Restart,
        Self::HerdRestart,
    ];

    /// Whether the fault lasts longer than the short deadline.
    pub(crate) const fn exceeds_deadline(self) -> bool {
        matches!(self, Self::SilentDrop | Self::LateAnswer)
    }

    /// Whether the fault must not change the outcome of any call.
    pub(crate) const fn is_harmless(self) -> bool {
        matches!(self, Self::Slow | Self::Drain)
    }
}

/// The step at which a fault is injected; `None` is before the call is made.
pub(crate) type CellStep = Option<FaultStep>;

pub(crate) fn steps() -> impl Iterator<Item = CellStep> {
    std::iter::once(None).chain(FaultStep::ALL.map(Some))
}

/// The caller's report and the number of runs of the call.
pub(crate) struct CellResult {
    pub(crate) report: CallReport,
    pub(crate) runs: u32,
}

/// Starts an entry node without a backend server and two nodes with one each.
pub(crate) async fn start_mesh() -> TestMesh {
    let server = || BackendServerConfig::new("treaty-desk", "1").expect("valid names");
    let mesh = TestMesh::start(vec![None, Some(server()), Some(server())]);
    let mesh = mesh.await.expect("a mesh");
    mesh.publish(1, TABLES, BTreeMap::new());
    mesh.wait_until_ready().await;
    mesh
}

pub(crate) fn request(class: RouteClass, id: &str) -> CallerRequest {
    let target = format!("/{}/{id}?bytes={ANSWER_BYTES}", class.as_str());
    match class {
        RouteClass::Posting => CallerRequest::post(target, id, vec![b'x'; 3_000]),
        _ => CallerRequest::get(target, id),
    }
}

/// Makes one call with faults injected at the given steps.
pub(crate) async fn run(
    class: RouteClass,
    faults: &[(CellFault, CellStep)],
    has_key: bool,
) -> CellResult {
    let mesh = start_mesh().await;
    let id = format!("{}-{faults:?}", class.as_str()).replace(|c: char| !c.is_alphanumeric(), "-");
    let mut request = request(class, &id);
    if has_key {
        request = request.key(format!("key-{id}"));
    }
    let mut gates = Vec::new();
    for (fault, step) in faults {
        if fault.exceeds_deadline() {
            request = request.deadline_ms(SHORT_DEADLINE_MS);
        }
        match step {
            None => cause_fault_before_call(&mesh, *fault).await,
            Some(step) => gates.extend(plan_fault(&mesh, *fault, *step)),
        }
    }
    let caller = Caller::new(HANG_GUARD);
    let entry = mesh.caller_address(0);
    let call = caller.call(entry, &request);
    let fault_actions = async {
        for (fault, gate) in &gates {
            cause_fault(&mesh, *fault, gate).await;
        }
        std::future::pending::<()>().await;
    };
    let report = tokio::select! {
        report = call => report,
        () = fault_actions => unreachable!("the fault actions never end"),
    };
    drop(caller);
    let run_counter = mesh.run_counter().clone();
    // Waits for the fault to end, because a call that was refused as not run must not run later.
    if faults.iter().any(|(fault, _)| fault.exceeds_deadline()) {
        sleep(LONG_PAUSE).await;
    }
    for (_, gate) in &gates {
        gate.open();
    }
    mesh.stop().await;
    let runs = run_counter.runs(&id);
    CellResult { report, runs }
}

/// Plans a fault at a step. A fault outside the backend server is planned as a gate, at which the
/// call waits until the test has caused the fault.
fn plan_fault(mesh: &TestMesh, fault: CellFault, step: FaultStep) -> Option<(CellFault, Gate)> {
    let (server_fault, gate) = match fault {
        CellFault::ServerCrash => (Fault::Crash, None),
        CellFault::SilentDrop => (Fault::SilentDrop, None),
        CellFault::Stall => (Fault::PauseAndReset(SHORT_PAUSE), None),
        CellFault::Reset => (Fault::Reset, None),
        CellFault::Slow => (Fault::Pause(SHORT_PAUSE), None),
        CellFault::LateAnswer => (Fault::Pause(LONG_PAUSE), None),
        CellFault::NodeCrash | CellFault::Drain | CellFault::Restart | CellFault::HerdRestart => {
            let gate = Gate::new();
            (Fault::Gate(gate.clone()), Some((fault, gate)))
        }
    };
    mesh.faults().arm(step, server_fault);
    gate
}

/// Waits until a call reaches the gate, causes the fault and opens the gate.
async fn cause_fault(mesh: &TestMesh, fault: CellFault, gate: &Gate) {
    let host = gate.reached().await.and_then(|server| mesh.host_of(server));
    let host = host.expect("a call reached the gate at a backend server");
    match fault {
        CellFault::NodeCrash => mesh.hosts()[host].node.crash(),
        CellFault::Drain => mesh.drain(host),
        CellFault::Restart => restart(mesh, &[host]).await,
        CellFault::HerdRestart => restart(mesh, &[1, 2]).await,
        _ => unreachable!("the other faults are injected by the backend server"),
    }
    gate.open();
}

async fn cause_fault_before_call(mesh: &TestMesh, fault: CellFault) {
    match fault {
        CellFault::ServerCrash => mesh.server(1).expect("a server").crash(),
        CellFault::NodeCrash => mesh.hosts()[1].node.crash(),
        CellFault::Drain => mesh.drain(1),
        CellFault::Restart => restart(mesh, &[1]).await,
        CellFault::HerdRestart => restart(mesh, &[1, 2]).await,
        // There is no connection yet, so the fault is injected into the next one.
        CellFault::SilentDrop
        | CellFault::Stall
        | CellFault::Reset
        | CellFault::Slow
        | CellFault::LateAnswer => {
            plan_fault(mesh, fault, FaultStep::Connected);
        }
    }
}

async fn restart(mesh: &TestMesh, hosts: &[usize]) {
    for host in hosts {
        let server = mesh.server(*host).expect("a server");
        server.restart().await.expect("restarted");
    }
}

/// Checks the invariants of every cell: no wrong answer, a posting runs at most once, an answered
/// call has run, and a refused call has not.
pub(crate) fn check_invariants(name: &str, class: RouteClass, cell: &CellResult) {
    let CellResult { report, runs } = cell;
    assert!(!report.wrong, "{name}: a wrong answer: {report:?}");
    if class == RouteClass::Posting {
        assert!(*runs <= 1, "{name}: a posting ran {runs} times: {report:?}");
    }
    match report.outcome {
        Outcome::Answered => {
            assert!(!report.truncated, "{name}: {report:?}");
            assert!(*runs >= 1, "{name}: answered without a run: {report:?}");
            assert!(
                report.status.is_some_and(|s| s.is_success()),
                "{name}: {report:?}"
            );
        }
        Outcome::DidNotRun => {
            assert_eq!(*runs, 0, "{name}: a false refusal: {report:?}");
        }
        Outcome::MayHaveRun => {}
    }
}
