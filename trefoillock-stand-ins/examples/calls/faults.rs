//! Counts wrong outcomes while backend servers fail in random ways and callers resend calls.

use std::{error::Error, net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use tokio::task::JoinSet;
use trefoillock_core::Outcome;
use trefoillock_stand_ins::{
    backend_server::{BackendServerConfig, Fault, FaultStep, RunCounter},
    caller::{CallReport, Caller, CallerRequest},
    test_mesh::TestMesh,
};

use crate::mesh::ComparedSystems;

/// The number of backend servers.
const SERVERS: usize = 6;
/// The number of callers.
const CALLERS: u32 = 12;
/// The number of calls of each caller.
const CALLS_PER_CALLER: u32 = 50;
/// The maximum number of sends of one call.
const MAX_SENDS: u32 = 3;
/// The pause before a call is resent.
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// The time between two injected faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(15);
/// The time after which a crashed backend server is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(150);
/// The seed of the faults and calls.
const SEED: u64 = 20_261_203;

#[derive(Debug, Default, Serialize)]
struct Counts {
    calls: u32,
    answered: u32,
    /// The number of postings that ran more than once.
    doubles: u32,
    /// The number of sends that were answered as not run although they ran. For the naive proxy,
    /// status 503 counts as such an answer.
    false_refusals: u32,
    /// The number of answers with wrong content: seemingly complete but not, or belonging to
    /// another request.
    wrong_answers: u32,
    /// The number of exports whose last send ended with a truncated body.
    cut_exports: u32,
}

#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    ours: Counts,
    naive: Counts,
}

pub(crate) async fn measure() -> Result<Figures, Box<dyn Error>> {
    let server = BackendServerConfig::new("treaty-desk", "1")?
        .service_time(Duration::from_millis(2))
        .connect_delay(Duration::from_millis(1));
    let systems = ComparedSystems::start(&server, SERVERS).await?;
    let entries: Vec<SocketAddr> = (0..=SERVERS)
        .map(|at| systems.ours.caller_address(at))
        .collect();
    let ours = run(&systems.ours, &entries).await;
    let naive = run(&systems.naive_servers, &[systems.naive.address()]).await;
    Ok(Figures { ours, naive })
}

async fn run(mesh: &TestMesh, entries: &[SocketAddr]) -> Counts {
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let (entries, run_counter) = (entries.to_vec(), mesh.run_counter().clone());
        callers.spawn(async move { make_calls(number, &entries, &run_counter).await });
    }
    let counts = tokio::select! {
        counts = callers.join_all() => counts,
        () = inject_faults(mesh) => Vec::new(),
    };
    let mut sum = Counts::default();
    for counts in counts {
        sum.calls += counts.calls;
        sum.answered += counts.answered;
        sum.false_refusals += counts.false_refusals;
        sum.wrong_answers += counts.wrong_answers;
        sum.cut_exports += counts.cut_exports;
    }
    let repeated = mesh.run_counter().repeated(|id| id.starts_with("posting"));
    sum.doubles = u32::try_from(repeated.len()).unwrap_or(u32::MAX);
    sum
}

/// Injects random faults one after the other and restarts crashed backend servers. Never returns.
async fn inject_faults(mesh: &TestMesh) {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    loop {
        tokio::time::sleep(FAULT_INTERVAL).await;
        let step = FaultStep::ALL[rng.random_range(0..FaultStep::ALL.len())];
        let fault = match rng.random_range(0..6) {
            0 => Fault::Crash,
            1 | 2 => Fault::Reset,
            3 => Fault::Pause(Duration::from_millis(400)),
            4 => Fault::PauseAndReset(Duration::from_millis(30)),
            _ => Fault::ServerError,
        };
        mesh.faults().arm(step, fault);
        for at in 1..=SERVERS {
            if let Some(server) = mesh.server(at).filter(|server| !server.is_up()) {
                tokio::spawn(async move {
                    tokio::time::sleep(RESTART_DELAY).await;
                    if !server.is_up() {
                        let _ = server.restart().await;
                    }
                });
            }
        }
    }
}

async fn make_calls(number: u32, entries: &[SocketAddr], run_counter: &RunCounter) -> Counts {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED + u64::from(number));
    let caller = Caller::new(Duration::from_secs(10));
    let mut counts = Counts::default();
    for n in 0..CALLS_PER_CALLER {
        let request = request(n, &format!("{number}-{n}"));
        counts.calls += 1;
        let mut last = None;
        for _ in 0..MAX_SENDS {
            let entry = entries[rng.random_range(0..entries.len())];
            let runs = run_counter.runs(&request.id);
            let report = caller.call(entry, &request).await;
            counts.wrong_answers += u32::from(report.wrong);
            counts.false_refusals +=
                u32::from(says_did_not_run(&report) && run_counter.runs(&request.id) > runs);
            let done = is_answered(&report);
            last = Some(report);
            if done {
                counts.answered += 1;
                break;
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
        let is_truncated = last.is_some_and(|report| report.truncated);
        counts.cut_exports += u32::from(is_truncated && request.id.starts_with("export"));
    }
    counts
}

fn request(n: u32, id: &str) -> CallerRequest {
    match n % 3 {
        0 => {
            CallerRequest::get(format!("/positions/{id}"), format!("lookup-{id}")).deadline_ms(300)
        }
        1 => CallerRequest::post(format!("/claims/{id}"), format!("posting-{id}"), "notify")
            .key(format!("key-{id}")),
        _ => CallerRequest::get(
            format!("/exports/{id}?bytes=300000"),
            format!("export-{id}"),
        ),
    }
}

fn is_answered(report: &CallReport) -> bool {
    report.outcome == Outcome::Answered && report.status.is_some_and(|status| status.is_success())
}

/// Whether the answer says that the call did not run: by the outcome header, or for the naive proxy
/// by status 503.
fn says_did_not_run(report: &CallReport) -> bool {
    let unavailable = report.status.is_some_and(|status| status == 503);
    report.outcome == Outcome::DidNotRun || (unavailable && report.outcome == Outcome::Answered)
}

impl Figures {
    pub(crate) fn print(&self) {
        println!("Under a mix of faults, callers send a call up to {MAX_SENDS} times");
        println!("                     trefoillock   naive");
        let rows = [
            ("calls", self.ours.calls, self.naive.calls),
            ("answered", self.ours.answered, self.naive.answered),
            ("doubled postings", self.ours.doubles, self.naive.doubles),
            (
                "false refusals",
                self.ours.false_refusals,
                self.naive.false_refusals,
            ),
            (
                "wrong answers",
                self.ours.wrong_answers,
                self.naive.wrong_answers,
            ),
            ("cut exports", self.ours.cut_exports, self.naive.cut_exports),
        ];
        for (name, ours, naive) in rows {
            println!("  {name:<18} {ours:>11} {naive:>7}");
        }
    }
}
