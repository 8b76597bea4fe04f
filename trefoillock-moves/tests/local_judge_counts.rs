//! The analysis on a node fed with counts of many calls at once.

use std::collections::BTreeMap;

use trefoillock_core::{Evidence, MoveEvidence, MoveId, PoolEvidence};
use trefoillock_moves::LocalJudge;

const MOVE: MoveId = MoveId::new(1);

/// Evidence of one time span: calls and failures of the old pool and of the new one.
fn span(old: (u64, u64), new: (u64, u64), crashes: u64) -> Evidence {
    let pool = |(calls, failures)| PoolEvidence {
        calls,
        failures,
        ..PoolEvidence::default()
    };
    let counts = MoveEvidence {
        step: 1,
        old: pool(old),
        new: PoolEvidence {
            crashes,
            ..pool(new)
        },
        local_cuts: 0,
    };
    Evidence {
        moves: BTreeMap::from([(MOVE, counts)]),
        ..Evidence::default()
    }
}

fn judge_with_move() -> LocalJudge {
    let mut judge = LocalJudge::new();
    judge.set_step(MOVE, 1);
    judge
}

#[test]
fn a_failing_pool_is_cut_once() {
    let mut judge = judge_with_move();
    let cuts: usize = (0..10)
        .map(|_| judge.judge(&span((100, 0), (10, 5), 0)).len())
        .sum();
    assert_eq!(cuts, 1);
    assert!(judge.cut(MOVE));
}

#[test]
fn a_pool_as_good_as_the_old_one_is_not_cut() {
    let mut judge = judge_with_move();
    for _ in 0..1_000 {
        assert!(judge.judge(&span((100, 2), (100, 2), 0)).is_empty());
    }
}

#[test]
fn crashes_alone_cause_no_cut() {
    let mut judge = judge_with_move();
    for _ in 0..100 {
        assert!(judge.judge(&span((100, 0), (10, 3), 3)).is_empty());
    }
}

#[test]
fn a_cut_ends_with_the_second_step_after_it() {
    let mut judge = judge_with_move();
    for _ in 0..10 {
        judge.judge(&span((100, 0), (10, 10), 0));
    }
    judge.set_step(MOVE, 2);
    assert!(judge.cut(MOVE));
    judge.set_step(MOVE, 3);
    assert!(!judge.cut(MOVE));
}
