//! The analysis on a node, call by call: when it cuts a new pool, when a cut ends, and what it
//! reports.

use std::time::Duration;

use trefoillock_core::{MoveId, Timestamp};
use trefoillock_moves::{LocalAnalysis, MoveCallResult};

const ID: MoveId = MoveId::new(1);
const ANSWERED: MoveCallResult = MoveCallResult::Answered(Duration::from_millis(10));

/// An analysis with one move at step 3.
fn analysis_with_move() -> LocalAnalysis {
    let mut analysis = LocalAnalysis::new();
    analysis.set_step(ID, 3);
    analysis
}

/// Records 100 calls per second for some seconds, every tenth of them to the new pool.
fn record(
    analysis: &mut LocalAnalysis,
    seconds: u64,
    new: MoveCallResult,
    old: MoveCallResult,
) -> Timestamp {
    let mut now = Timestamp::from_secs(1_000);
    for call in 0..seconds * 100 {
        now = now + Duration::from_millis(10);
        let is_new = call % 10 == 0;
        analysis.record_call(now, ID, 3, is_new, if is_new { new } else { old });
    }
    now
}

#[test]
fn a_node_cuts_a_pool_that_fails() {
    let mut analysis = analysis_with_move();
    record(&mut analysis, 5, MoveCallResult::Failed, ANSWERED);
    assert!(analysis.is_cut(ID));
    assert_eq!(analysis.take_report().moves[&ID].local_cuts, 1);
    assert!(analysis.take_report().is_empty(), "a cut is reported once");
}

#[test]
fn no_pool_is_cut_if_both_pools_fail_equally_often() {
    let mut analysis = analysis_with_move();
    record(
        &mut analysis,
        60,
        MoveCallResult::Failed,
        MoveCallResult::Failed,
    );
    assert!(!analysis.is_cut(ID));
}

#[test]
fn refusals_lost_nodes_and_crashes_cause_no_cut() {
    let results = [
        MoveCallResult::Refused,
        MoveCallResult::NodeLost,
        MoveCallResult::Crashed,
    ];
    for result in results {
        let mut analysis = analysis_with_move();
        record(&mut analysis, 60, result, ANSWERED);
        assert!(!analysis.is_cut(ID), "{result:?}");
    }
}

#[test]
fn a_cut_ends_only_at_the_second_step_after_it() {
    let mut analysis = analysis_with_move();
    record(&mut analysis, 5, MoveCallResult::Failed, ANSWERED);
    analysis.set_step(ID, 4);
    assert!(analysis.is_cut(ID), "step 4 may be older than the cut");
    analysis.set_step(ID, 3);
    assert!(analysis.is_cut(ID));
    analysis.set_step(ID, 5);
    assert!(!analysis.is_cut(ID));
}

#[test]
fn a_node_without_recent_confirmation_is_unsupervised() {
    let mut analysis = analysis_with_move();
    let now = Timestamp::from_secs(1_000);
    assert!(
        !analysis.is_unsupervised(now),
        "silence is not checked before the first confirmation"
    );
    analysis.record_confirmation(now);
    assert!(!analysis.is_unsupervised(now + Duration::from_secs(4)));
    assert!(analysis.is_unsupervised(now + Duration::from_secs(6)));
    analysis.record_confirmation(now + Duration::from_secs(7));
    assert!(!analysis.is_unsupervised(now + Duration::from_secs(8)));
}

#[test]
fn a_report_counts_each_call_of_the_current_step_once() {
    let mut analysis = analysis_with_move();
    let now = record(&mut analysis, 1, ANSWERED, ANSWERED);
    analysis.record_call(now, ID, 2, true, MoveCallResult::Failed);
    let report = &analysis.take_report().moves[&ID];
    assert_eq!(
        (report.step, report.old.calls, report.new.calls),
        (3, 90, 10)
    );
    assert_eq!(report.new.failures, 0);
    assert!(analysis.take_report().is_empty());
}
