//! Behaviour of the controller on one move with scripted evidence.

mod bench;

use bench::Bench;
use trefoillock_core::{HoldReason, MoveEnd, MoveState, RiskReason, Share};

#[test]
fn a_good_version_is_done_before_the_deadline() {
    let mut bench = Bench::new(300);
    bench.run(300, |_| (1, 1));
    assert_eq!(bench.action.state, MoveState::Done);
    assert_eq!(bench.action.share, Share::FULL);
    assert!(bench.action.stepped < bench.action.deadline);
}

#[test]
fn a_version_that_fails_at_once_is_taken_back_from_a_small_share() {
    let mut bench = Bench::new(300);
    bench.run(60, |_| (1, 1_000));
    let end = MoveEnd::Failures;
    assert_eq!(bench.action.state, MoveState::TakenBack { end });
    assert!(
        bench.highest <= Share::from_ppm(10_000),
        "{}",
        bench.highest
    );
}

#[test]
fn no_share_is_raised_without_evidence() {
    let mut bench = Bench::new(300);
    bench.run(20, |_| (1, 1));
    let share = bench.action.share;
    bench.lose_evidence = true;
    bench.run(200, |_| (1, 1));
    assert_eq!(bench.action.share, share);
    let reason = HoldReason::EvidenceMissing;
    assert_eq!(bench.action.state, MoveState::Holding { reason });
}

#[test]
fn no_share_is_raised_while_most_nodes_are_silent() {
    let mut bench = Bench::new(300);
    bench.run(20, |_| (1, 1));
    let share = bench.action.share;
    bench.reporting = 1;
    bench.run(120, |_| (1, 1));
    assert_eq!(bench.action.share, share);
    let reason = HoldReason::EvidenceMissing;
    assert_eq!(bench.action.state, MoveState::Holding { reason });
}

#[test]
fn a_pool_without_servers_waits_then_is_at_risk_then_taken_back() {
    let mut bench = Bench::new(60);
    bench.servers = 0;
    bench.run(10, |_| (1, 1));
    assert_eq!(bench.action.state, MoveState::WaitingForServers);
    bench.run(47, |_| (1, 1));
    let (reason, earliest) = (RiskReason::NoServers, None);
    assert_eq!(bench.action.state, MoveState::AtRisk { reason, earliest });
    bench.run(4, |_| (1, 1));
    let end = MoveEnd::DeadlinePassed;
    assert_eq!(bench.action.state, MoveState::TakenBack { end });
}

#[test]
fn a_new_leader_goes_on_with_the_move_at_every_step() {
    let mut changes = 0;
    for step in 1..9 {
        let mut bench = Bench::new(300);
        while bench.action.step < step && !bench.action.state.is_final() {
            bench.run(1, |_| (1, 1));
        }
        let share = bench.action.share;
        bench.change_leader();
        changes += 1;
        bench.run(1, |_| (1, 1));
        assert!(bench.action.state.is_final() || bench.action.share <= share);
        bench.run(300, |_| (1, 1));
        assert_eq!(
            bench.action.state,
            MoveState::Done,
            "leader change at step {step}"
        );
    }
    assert_eq!(changes, 8);
}
