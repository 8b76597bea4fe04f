//! Behaviour of the controller on one move with scripted evidence.

use std::time::Duration;

use trefoillock_core::{HoldReason, MoveEnd, MoveState, RiskReason, Share};

use crate::bench::Bench;

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

#[test]
fn evidence_of_an_older_step_raises_no_share() {
    let mut bench = Bench::new(300);
    bench.run(5, |_| (1, 1));
    let share = bench.action.share;
    assert!(share > Share::ZERO);
    bench.late_steps = 100;
    bench.run(200, |_| (1, 1));
    assert_eq!(bench.action.share, share);
    let reason = HoldReason::ThinEvidence;
    assert_eq!(bench.action.state, MoveState::Holding { reason });
}

#[test]
fn a_slow_version_is_taken_back_but_not_while_its_servers_are_cold() {
    let mut bench = Bench::new(300);
    bench.new_latency = Duration::from_millis(40);
    bench.run(15, |_| (1, 1));
    assert_eq!(bench.action.state, MoveState::Canary);
    bench.run(30, |_| (1, 1));
    let end = MoveEnd::Latency;
    assert_eq!(bench.action.state, MoveState::TakenBack { end });
}

#[test]
fn a_cold_start_that_ends_is_no_reason_to_take_back() {
    let mut bench = Bench::new(300);
    bench.new_latency = Duration::from_millis(40);
    bench.run(19, |_| (1, 1));
    bench.new_latency = Duration::from_millis(10);
    bench.run(300, |_| (1, 1));
    assert_eq!(bench.action.state, MoveState::Done);
}

#[test]
fn a_version_that_cuts_answers_is_taken_back_for_that() {
    let mut bench = Bench::new(300);
    bench.new_aborted = 300;
    bench.run(60, |_| (1, 1));
    let end = MoveEnd::AbortedBodies;
    assert_eq!(bench.action.state, MoveState::TakenBack { end });
}

#[test]
fn one_request_that_crashes_servers_again_and_again_takes_nothing_back() {
    let mut bench = Bench::new(300);
    while !bench.action.state.is_final() {
        bench.crash(7);
        bench.run(1, |_| (1, 1));
    }
    assert_eq!(bench.action.state, MoveState::Done);
}

#[test]
fn crashes_by_many_requests_take_a_version_back() {
    let mut bench = Bench::new(300);
    for request in 0..30 {
        bench.run(1, |_| (1, 1));
        bench.crash(request);
    }
    let end = MoveEnd::Crashes;
    assert_eq!(bench.action.state, MoveState::TakenBack { end });
}

#[test]
fn a_version_that_turns_bad_at_a_large_share_is_lowered_at_once_and_taken_back() {
    let mut bench = Bench::new(300);
    while bench.action.share < Share::from_fraction(0.9) {
        bench.run(1, |_| (1, 1));
    }
    bench.run(2, |_| (1, 300));
    assert!(bench.action.share < Share::from_fraction(0.01));
    bench.run(10, |_| (1, 1));
    let end = MoveEnd::Failures;
    assert_eq!(bench.action.state, MoveState::TakenBack { end });
}

#[test]
fn failures_that_both_pools_share_take_nothing_back() {
    let mut bench = Bench::new(300);
    bench.run(
        300,
        |second| if second % 60 < 20 { (300, 300) } else { (1, 1) },
    );
    assert_eq!(bench.action.state, MoveState::Done);
}

#[test]
fn a_share_is_lowered_to_what_the_slots_carry() {
    let mut bench = Bench::new(300);
    while bench.action.share < Share::from_fraction(0.9) {
        bench.run(1, |_| (1, 1));
    }
    (bench.servers, bench.slots) = (1, 4);
    bench.run(3, |_| (1, 1));
    let reason = HoldReason::Capacity;
    assert_eq!(bench.action.state, MoveState::Holding { reason });
    assert!(bench.action.share < Share::from_fraction(0.5));
}

#[test]
fn a_pool_that_is_too_small_is_at_risk_then_taken_back_at_the_deadline() {
    let mut bench = Bench::new(60);
    (bench.servers, bench.slots) = (1, 4);
    bench.run(57, |_| (1, 1));
    assert!(matches!(
        bench.action.state,
        MoveState::AtRisk {
            reason: RiskReason::Capacity,
            earliest: Some(_)
        }
    ));
    bench.run(5, |_| (1, 1));
    let end = MoveEnd::DeadlinePassed;
    assert_eq!(bench.action.state, MoveState::TakenBack { end });
}

#[test]
fn a_cut_on_a_node_holds_the_share_and_then_lets_it_go_on() {
    let mut bench = Bench::new(300);
    while bench.action.share < Share::from_fraction(0.06) {
        bench.run(1, |_| (1, 1));
    }
    bench.cuts = 1;
    let (share, step) = (bench.action.share, bench.action.step);
    bench.run(8, |_| (1, 1));
    assert!(
        bench.action.step > step,
        "control answers the cut with a step"
    );
    assert!(bench.action.share <= share);
    bench.run(250, |_| (1, 1));
    assert_eq!(bench.action.state, MoveState::Done);
}
