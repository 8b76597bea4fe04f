//! The analysis on a node, call by call: when it cuts a new pool, when a cut ends, and what it
//! reports.

use std::time::Duration;

use trefoillock_core::{MoveId, Timestamp};
use trefoillock_moves::{CallResult, LocalJudge};

const ID: MoveId = MoveId::new(1);
const ANSWERED: CallResult = CallResult::Answered(Duration::from_millis(10));

/// An analysis with one move at step 3.
fn judge_with_move() -> LocalJudge {
    let mut judge = LocalJudge::new();
    judge.set_step(ID, 3);
    judge
}

/// Records 100 calls per second for some seconds, every tenth of them to the new pool.
fn record(judge: &mut LocalJudge, seconds: u64, new: CallResult, old: CallResult) -> Timestamp {
    let mut now = Timestamp::from_secs(1_000);
    for call in 0..seconds * 100 {
        now = now + Duration::from_millis(10);
        let is_new = call % 10 == 0;
        judge.record(now, ID, 3, is_new, if is_new { new } else { old });
    }
    now
}

#[test]
fn a_node_cuts_a_pool_that_fails() {
    let mut judge = judge_with_move();
    record(&mut judge, 5, CallResult::Failed, ANSWERED);
    assert!(judge.cut(ID));
    assert_eq!(judge.take_report().moves[&ID].local_cuts, 1);
    assert!(judge.take_report().is_empty(), "a cut is reported once");
}

#[test]
fn no_pool_is_cut_if_both_pools_fail_equally_often() {
    let mut judge = judge_with_move();
    record(&mut judge, 60, CallResult::Failed, CallResult::Failed);
    assert!(!judge.cut(ID));
}

#[test]
fn refusals_lost_nodes_and_crashes_cause_no_cut() {
    let results = [
        CallResult::Refused,
        CallResult::NodeLost,
        CallResult::Crashed,
    ];
    for result in results {
        let mut judge = judge_with_move();
        record(&mut judge, 60, result, ANSWERED);
        assert!(!judge.cut(ID), "{result:?}");
    }
}

#[test]
fn a_cut_ends_only_at_the_second_step_after_it() {
    let mut judge = judge_with_move();
    record(&mut judge, 5, CallResult::Failed, ANSWERED);
    judge.set_step(ID, 4);
    assert!(judge.cut(ID), "step 4 may be older than the cut");
    judge.set_step(ID, 3);
    assert!(judge.cut(ID));
    judge.set_step(ID, 5);
    assert!(!judge.cut(ID));
}

#[test]
fn a_node_without_recent_confirmation_is_unsupervised() {
    let mut judge = judge_with_move();
    let now = Timestamp::from_secs(1_000);
    assert!(
        !judge.is_unsupervised(now),
        "silence is not checked before the first confirmation"
    );
    judge.confirm(now);
    assert!(!judge.is_unsupervised(now + Duration::from_secs(4)));
    assert!(judge.is_unsupervised(now + Duration::from_secs(6)));
    judge.confirm(now + Duration::from_secs(7));
    assert!(!judge.is_unsupervised(now + Duration::from_secs(8)));
}

#[test]
fn a_report_counts_each_call_of_the_current_step_once() {
    let mut judge = judge_with_move();
    let now = record(&mut judge, 1, ANSWERED, ANSWERED);
    judge.record(now, ID, 2, true, CallResult::Failed);
    let report = &judge.take_report().moves[&ID];
    assert_eq!(
        (report.step, report.old.calls, report.new.calls),
        (3, 90, 10)
    );
    assert_eq!(report.new.failures, 0);
    assert!(judge.take_report().is_empty());
}
