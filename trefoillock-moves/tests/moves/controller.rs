//! The controller on one move with scripted evidence.

use std::time::Duration;

use trefoillock_core::{HoldReason, MoveState, RiskReason, Share, TakeBackReason};

use crate::harness::Harness;

#[test]
fn a_move_to_a_good_version_is_done_before_the_deadline() {
    let mut harness = Harness::new(300);
    harness.run(300, |_| (1, 1));
    assert_eq!(harness.route_move.state, MoveState::Done);
    assert_eq!(harness.route_move.share, Share::FULL);
    assert!(harness.route_move.stepped < harness.route_move.deadline);
}

#[test]
fn a_version_that_fails_at_once_is_taken_back_from_a_small_share() {
    let mut harness = Harness::new(300);
    harness.run(60, |_| (1, 1_000));
    let end = TakeBackReason::Failures;
    assert_eq!(harness.route_move.state, MoveState::TakenBack { end });
    assert!(
        harness.highest_share <= Share::from_ppm(10_000),
        "{}",
        harness.highest_share
    );
}

#[test]
fn no_share_is_raised_without_evidence() {
    let mut harness = Harness::new(300);
    harness.run(20, |_| (1, 1));
    let share = harness.route_move.share;
    harness.lose_evidence = true;
    harness.run(200, |_| (1, 1));
    assert_eq!(harness.route_move.share, share);
    let reason = HoldReason::EvidenceMissing;
    assert_eq!(harness.route_move.state, MoveState::Holding { reason });
}

#[test]
fn no_share_is_raised_while_most_nodes_are_silent() {
    let mut harness = Harness::new(300);
    harness.run(20, |_| (1, 1));
    let share = harness.route_move.share;
    harness.reporting = 1;
    harness.run(120, |_| (1, 1));
    assert_eq!(harness.route_move.share, share);
    let reason = HoldReason::EvidenceMissing;
    assert_eq!(harness.route_move.state, MoveState::Holding { reason });
}

#[test]
fn a_move_without_servers_waits_then_is_at_risk_then_taken_back() {
    let mut harness = Harness::new(60);
    harness.servers = 0;
    harness.run(10, |_| (1, 1));
    assert_eq!(harness.route_move.state, MoveState::WaitingForServers);
    harness.run(47, |_| (1, 1));
    let (reason, earliest) = (RiskReason::NoServers, None);
    assert_eq!(
        harness.route_move.state,
        MoveState::AtRisk { reason, earliest }
    );
    harness.run(4, |_| (1, 1));
    let end = TakeBackReason::DeadlinePassed;
    assert_eq!(harness.route_move.state, MoveState::TakenBack { end });
}

#[test]
fn a_new_leader_continues_a_move_from_any_step() {
    let mut changes = 0;
    for step in 1..9 {
        let mut harness = Harness::new(300);
        while harness.route_move.step < step && !harness.route_move.state.is_final() {
            harness.run(1, |_| (1, 1));
        }
        let share = harness.route_move.share;
        harness.change_leader();
        changes += 1;
        harness.run(1, |_| (1, 1));
        assert!(harness.route_move.state.is_final() || harness.route_move.share <= share);
        harness.run(300, |_| (1, 1));
        assert_eq!(
            harness.route_move.state,
            MoveState::Done,
            "leader change at step {step}"
        );
    }
    assert_eq!(changes, 8);
}

#[test]
fn evidence_of_an_older_step_raises_no_share() {
    let mut harness = Harness::new(300);
    harness.run(5, |_| (1, 1));
    let share = harness.route_move.share;
    assert!(share > Share::ZERO);
    harness.report_lag_steps = 100;
    harness.run(200, |_| (1, 1));
    assert_eq!(harness.route_move.share, share);
    let reason = HoldReason::ThinEvidence;
    assert_eq!(harness.route_move.state, MoveState::Holding { reason });
}

#[test]
fn a_slow_version_is_taken_back_but_not_while_its_servers_are_cold() {
    let mut harness = Harness::new(300);
    harness.new_latency = Duration::from_millis(40);
    harness.run(15, |_| (1, 1));
    assert_eq!(harness.route_move.state, MoveState::Canary);
    harness.run(30, |_| (1, 1));
    let end = TakeBackReason::Latency;
    assert_eq!(harness.route_move.state, MoveState::TakenBack { end });
}

#[test]
fn high_latency_only_during_a_cold_start_takes_no_move_back() {
    let mut harness = Harness::new(300);
    harness.new_latency = Duration::from_millis(40);
    harness.run(19, |_| (1, 1));
    harness.new_latency = Duration::from_millis(10);
    harness.run(300, |_| (1, 1));
    assert_eq!(harness.route_move.state, MoveState::Done);
}

#[test]
fn a_version_that_aborts_response_bodies_is_taken_back() {
    let mut harness = Harness::new(300);
    harness.new_aborted_permille = 300;
    harness.run(60, |_| (1, 1));
    let end = TakeBackReason::AbortedBodies;
    assert_eq!(harness.route_move.state, MoveState::TakenBack { end });
}

#[test]
fn repeated_crashes_by_one_request_take_no_move_back() {
    let mut harness = Harness::new(300);
    while !harness.route_move.state.is_final() {
        harness.crash(7);
        harness.run(1, |_| (1, 1));
    }
    assert_eq!(harness.route_move.state, MoveState::Done);
}

#[test]
fn crashes_by_many_requests_take_a_version_back() {
    let mut harness = Harness::new(300);
    for request in 0..30 {
        harness.run(1, |_| (1, 1));
        harness.crash(request);
    }
    let end = TakeBackReason::Crashes;
    assert_eq!(harness.route_move.state, MoveState::TakenBack { end });
}

#[test]
fn a_version_that_turns_bad_at_a_large_share_is_lowered_at_once_and_taken_back() {
    let mut harness = Harness::new(300);
    while harness.route_move.share < Share::from_fraction(0.9) {
        harness.run(1, |_| (1, 1));
    }
    harness.run(2, |_| (1, 300));
    assert!(harness.route_move.share < Share::from_fraction(0.01));
    harness.run(10, |_| (1, 1));
    let end = TakeBackReason::Failures;
    assert_eq!(harness.route_move.state, MoveState::TakenBack { end });
}

#[test]
fn failures_common_to_both_pools_take_no_move_back() {
    let mut harness = Harness::new(300);
    harness.run(
        300,
        |second| if second % 60 < 20 { (300, 300) } else { (1, 1) },
    );
    assert_eq!(harness.route_move.state, MoveState::Done);
}

#[test]
fn a_share_is_lowered_if_the_slots_are_too_few() {
    let mut harness = Harness::new(300);
    while harness.route_move.share < Share::from_fraction(0.9) {
        harness.run(1, |_| (1, 1));
    }
    (harness.servers, harness.slots) = (1, 4);
    harness.run(3, |_| (1, 1));
    let reason = HoldReason::Capacity;
    assert_eq!(harness.route_move.state, MoveState::Holding { reason });
    assert!(harness.route_move.share < Share::from_fraction(0.5));
}

#[test]
fn a_move_to_a_small_pool_is_at_risk_then_taken_back_at_the_deadline() {
    let mut harness = Harness::new(60);
    (harness.servers, harness.slots) = (1, 4);
    harness.run(57, |_| (1, 1));
    assert!(matches!(
        harness.route_move.state,
        MoveState::AtRisk {
            reason: RiskReason::Capacity,
            earliest: Some(_)
        }
    ));
    harness.run(5, |_| (1, 1));
    let end = TakeBackReason::DeadlinePassed;
    assert_eq!(harness.route_move.state, MoveState::TakenBack { end });
}

#[test]
fn a_local_cut_holds_the_share_for_a_while() {
    let mut harness = Harness::new(300);
    while harness.route_move.share < Share::from_fraction(0.06) {
        harness.run(1, |_| (1, 1));
    }
    harness.cuts = 1;
    let (share, step) = (harness.route_move.share, harness.route_move.step);
    harness.run(8, |_| (1, 1));
    assert!(
        harness.route_move.step > step,
        "the controller responds to the cut with a step"
    );
    assert!(harness.route_move.share <= share);
    harness.run(250, |_| (1, 1));
    assert_eq!(harness.route_move.state, MoveState::Done);
}
