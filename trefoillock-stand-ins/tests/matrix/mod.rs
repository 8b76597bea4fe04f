//! One cell of the fault matrix: a call, and faults that happen at its steps.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::sleep;
use trefoillock_core::{Outcome, RouteClass};
use trefoillock_stand_ins::{
    backend_server::{BackendServerConfig, Fault, FaultStep, Gate},
    caller::{CallReport, Caller, CallerRequest},
    test_mesh::TestMesh,
};

/// The time after which a test hangs.
pub(crate) const HANG_GUARD: Duration = Duration::from_mins(1);
/// The deadline of calls that a fault keeps from ending, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 400;
/// A pause that ends before any deadline.
const SHORT_PAUSE: Duration = Duration::from_millis(40);
/// A pause that ends after the short deadline.
const LONG_PAUSE: Duration = Duration::from_millis(700);
/// The size of an answer that spans several pieces, in bytes.
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

    /// Whether the fault keeps the call from ending before the short deadline.
    pub(crate) const fn outlasts(self) -> bool {
        matches!(self, Self::SilentDrop | Self::LateAnswer)
    }

    /// Whether the fault must not change the outcome of any call.
    pub(crate) const fn is_harmless(self) -> bool {
        matches!(self, Self::Slow | Self::Drain)
    }
}

/// `None` is the time before the call connects to a backend server.
pub(crate) type CellStep = Option<FaultStep>;

pub(crate) fn steps() -> impl Iterator<Item = CellStep> {
    std::iter::once(None).chain(FaultStep::ALL.map(Some))
}

/// What happened in a cell.
pub(crate) struct CellResult {
    pub(crate) report: CallReport,
    pub(crate) runs: u32,
}

/// Two nodes with a backend server each, and an entry node without one.
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

/// Runs one call with faults at some of its steps.
pub(crate) async fn run(
    class: RouteClass,
    faults: &[(CellFault, CellStep)],
    keyed: bool,
) -> CellResult {
    let mesh = start_mesh().await;
    let id = format!("{}-{faults:?}", class.as_str()).replace(|c: char| !c.is_alphanumeric(), "-");
    let mut request = request(class, &id);
    if keyed {
        request = request.key(format!("key-{id}"));
    }
    let mut gates = Vec::new();
    for (fault, step) in faults {
        if fault.outlasts() {
            request = request.deadline_ms(SHORT_DEADLINE_MS);
        }
        match step {
            None => before_connect(&mesh, *fault).await,
            Some(step) => gates.extend(arm(&mesh, *fault, *step)),
        }
    }
    let caller = Caller::new(HANG_GUARD);
    let entry = mesh.caller_address(0);
    let call = caller.call(entry, &request);
    let acting = async {
        for (fault, gate) in &gates {
            act(&mesh, *fault, gate).await;
        }
        std::future::pending::<()>().await;
    };
    let report = tokio::select! {
        report = call => report,
        () = acting => unreachable!("acting never ends"),
    };
    drop(caller);
    let log = mesh.log().clone();
    // Nothing may run later that was said not to run.
    if faults.iter().any(|(fault, _)| fault.outlasts()) {
        sleep(LONG_PAUSE).await;
    }
    for (_, gate) in &gates {
        gate.open();
    }
    mesh.stop().await;
    let runs = log.runs(&id);
    CellResult { report, runs }
}

/// Sets a fault at a step. Faults that need the mesh wait at a gate.
fn arm(mesh: &TestMesh, fault: CellFault, step: FaultStep) -> Option<(CellFault, Gate)> {
    let (at_server, gate) = match fault {
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
    mesh.faults().arm(step, at_server);
    gate
}

/// Lets a fault happen in the mesh once a call has reached its gate.
async fn act(mesh: &TestMesh, fault: CellFault, gate: &Gate) {
    let host = gate.reached().await.and_then(|at| mesh.host_of(at));
    let host = host.expect("a call reached the gate at a backend server");
    match fault {
        CellFault::NodeCrash => mesh.hosts()[host].node.crash(),
        CellFault::Drain => mesh.drain(host),
        CellFault::Restart => restart(mesh, &[host]).await,
        CellFault::HerdRestart => restart(mesh, &[1, 2]).await,
        _ => unreachable!("only faults of the mesh wait at gates"),
    }
    gate.open();
}

async fn before_connect(mesh: &TestMesh, fault: CellFault) {
    match fault {
        CellFault::ServerCrash => mesh.server(1).expect("a server").crash(),
        CellFault::NodeCrash => mesh.hosts()[1].node.crash(),
        CellFault::Drain => mesh.drain(1),
        CellFault::Restart => restart(mesh, &[1]).await,
        CellFault::HerdRestart => restart(mesh, &[1, 2]).await,
        // There is no connection yet, so the fault meets the next one.
        CellFault::SilentDrop
        | CellFault::Stall
        | CellFault::Reset
        | CellFault::Slow
        | CellFault::LateAnswer => {
            arm(mesh, fault, FaultStep::Connected);
        }
    }
}

async fn restart(mesh: &TestMesh, hosts: &[usize]) {
    for host in hosts {
        let server = mesh.server(*host).expect("a server");
        server.restart().await.expect("restarted");
    }
}

/// Checks what must hold in every cell, whatever the faults.
pub(crate) fn check_truth(name: &str, class: RouteClass, cell: &CellResult) {
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
