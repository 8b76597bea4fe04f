//! Injects every fault at every step of a call of every class, and checks the outcome, the number
//! of runs and that a refused call did not run.

use futures::{StreamExt, stream};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{Outcome, RouteClass};
use trefoillock_stand_ins::backend_server::FaultStep;

mod matrix;

use matrix::{CellFault, CellStep, HANG_GUARD, check_invariants, run, steps};

/// The maximum number of cells that run at the same time.
const CONCURRENT_CELLS: usize = 12;
/// The number of random cells with two faults.
const PAIRS: usize = 60;
/// The seed for the random pairs of faults.
const SEED: u64 = 20_261_203;

/// The allowed outcomes of a cell, the best one first.
fn allowed(class: RouteClass, fault: CellFault, step: CellStep) -> &'static [Outcome] {
    use Outcome::{Answered, DidNotRun, MayHaveRun};
    if class == RouteClass::Background && fault == CellFault::Drain && step.is_none() {
        // Background calls aren't retried. If the entry node does not know of the drain yet, the
        // call is refused without having run.
        return &[Answered, DidNotRun];
    }
    if fault.is_harmless() {
        return &[Answered];
    }
    if step == Some(FaultStep::End) {
        // A reset discards the part of the answer that is still in the kernel's send buffer, and a
        // crash of the node the part that it has not passed on yet.
        return match (class, fault) {
            (RouteClass::Export, _) => &[Answered],
            (_, CellFault::Reset | CellFault::NodeCrash) => &[Answered, MayHaveRun],
            _ => &[Answered],
        };
    }
    if fault.exceeds_deadline() {
        // The deadline may pass before the request is sent.
        return &[MayHaveRun, DidNotRun];
    }
    if step.is_none() && !matches!(fault, CellFault::Reset | CellFault::Stall) {
        // One of the two backend servers is unavailable, which is detected before the request is
        // sent. Other classes are retried, background calls aren't.
        return match class {
            RouteClass::Background => &[Answered, DidNotRun],
            _ => &[Answered],
        };
    }
    // A connection that is lost as soon as it is open may be lost before or after the first byte
    // of the request was written.
    let at_connect = matches!(step, None | Some(FaultStep::Connected));
    // While both backend servers restart, there is none for a retry.
    let has_no_other_server = fault == CellFault::HerdRestart
        && !matches!(step, Some(FaultStep::HeadSent | FaultStep::HalfBody));
    match class {
        RouteClass::Posting if at_connect => &[MayHaveRun, Answered],
        RouteClass::Background if at_connect => &[MayHaveRun, Answered, DidNotRun],
        RouteClass::Posting | RouteClass::Background => &[MayHaveRun],
        RouteClass::Lookup | RouteClass::Export if has_no_other_server => &[Answered, MayHaveRun],
        RouteClass::Lookup => match step {
            // If the response head is lost together with the connection, the call is retried.
            Some(FaultStep::HeadSent) => &[Answered, MayHaveRun],
            Some(FaultStep::HalfBody) => &[MayHaveRun],
            _ => &[Answered],
        },
        RouteClass::Export => &[Answered],
    }
}

async fn check_cell(class: RouteClass, fault: CellFault, step: CellStep) -> Option<String> {
    let name = format!("{class:?} {fault:?} {step:?}");
    let cell = tokio::time::timeout(HANG_GUARD, run(class, &[(fault, step)], false))
        .await
        .unwrap_or_else(|_| panic!("{name}: hangs"));
    check_invariants(&name, class, &cell);
    let allowed = allowed(class, fault, step);
    let is_allowed = allowed.contains(&cell.report.outcome);
    (!is_allowed).then(|| format!("{name}: {:?}, runs {}", cell.report, cell.runs))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_fault_at_every_step_of_every_class() {
    let cells = RouteClass::ALL.into_iter().flat_map(|class| {
        CellFault::ALL
            .into_iter()
            .flat_map(move |fault| steps().map(move |step| (class, fault, step)))
    });
    let checks = cells.map(|(class, fault, step)| check_cell(class, fault, step));
    let violations: Vec<String> = stream::iter(checks)
        .buffer_unordered(CONCURRENT_CELLS)
        .filter_map(|violation| async { violation })
        .collect()
        .await;
    assert!(
        violations.is_empty(),
        "{} cells: {violations:#?}",
        violations.len()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn pairs_of_faults_keep_every_outcome_true() {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let steps: Vec<CellStep> = steps().collect();
    let cells: Vec<_> = (0..PAIRS)
        .map(|_| {
            let mut fault = || {
                let fault = CellFault::ALL[rng.random_range(0..CellFault::ALL.len())];
                (fault, steps[rng.random_range(0..steps.len())])
            };
            let faults = [fault(), fault()];
            let class = RouteClass::ALL[rng.random_range(0..RouteClass::ALL.len())];
            (class, faults)
        })
        .collect();
    let checks = cells.into_iter().map(|(class, faults)| async move {
        let name = format!("{class:?} {faults:?}");
        let has_key = class == RouteClass::Posting;
        let cell = tokio::time::timeout(HANG_GUARD, run(class, &faults, has_key))
            .await
            .unwrap_or_else(|_| panic!("{name}: hangs"));
        check_invariants(&name, class, &cell);
    });
    stream::iter(checks)
        .buffer_unordered(CONCURRENT_CELLS)
        .collect::<()>()
        .await;
}
