//! The analysis on a node fed with counts of many calls at once.

use std::collections::BTreeMap;

use trefoillock_core::{Evidence, MoveEvidence, MoveId, PoolEvidence};
use trefoillock_moves::LocalAnalysis;

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

fn analysis_with_move() -> LocalAnalysis {
    let mut analysis = LocalAnalysis::new();
    analysis.set_step(MOVE, 1);
    analysis
}

#[test]
fn a_failing_pool_is_cut_once() {
    let mut analysis = analysis_with_move();
    let cuts: usize = (0..10)
        .map(|_| analysis.analyse_counts(&span((100, 0), (10, 5), 0)).len())
        .sum();
    assert_eq!(cuts, 1);
    assert!(analysis.is_cut(MOVE));
}

#[test]
fn a_pool_as_good_as_the_old_one_is_not_cut() {
    let mut analysis = analysis_with_move();
    for _ in 0..1_000 {
        assert!(
            analysis
                .analyse_counts(&span((100, 2), (100, 2), 0))
                .is_empty()
        );
    }
}

#[test]
fn crashes_alone_cause_no_cut() {
    let mut analysis = analysis_with_move();
    for _ in 0..100 {
        assert!(
            analysis
                .analyse_counts(&span((100, 0), (10, 3), 3))
                .is_empty()
        );
    }
}

#[test]
fn a_cut_ends_with_the_second_step_after_it() {
    let mut analysis = analysis_with_move();
    for _ in 0..10 {
        analysis.analyse_counts(&span((100, 0), (10, 10), 0));
    }
    analysis.set_step(MOVE, 2);
    assert!(analysis.is_cut(MOVE));
    analysis.set_step(MOVE, 3);
    assert!(!analysis.is_cut(MOVE));
}
