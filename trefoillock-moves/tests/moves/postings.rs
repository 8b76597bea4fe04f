//! Moves of several routes to one pool: posting routes get a new version last, and a bad version
//! is taken back on all routes.

use trefoillock_core::{MoveId, MoveState, RouteName, Share, TakeBackReason};

use crate::harness::Harness;

/// Runs the move of a posting route next to that of a lookup route in the given state and share.
fn posting_after(lookup: MoveState, share: f64) -> (MoveState, Share) {
    let mut harness = Harness::new(300);
    let mut sibling = harness.route_move.clone();
    sibling.id = MoveId::new(2);
    sibling.state = lookup;
    sibling.share = Share::from_fraction(share);
    harness.sibling = Some(sibling);
    harness.route_move.route = RouteName::try_from("premiums").expect("valid name");
    harness.run(30, |_| (1, 1));
    (harness.route_move.state, harness.route_move.share)
}

#[test]
fn postings_wait_until_other_routes_have_proved_the_version() {
    let (_, share) = posting_after(MoveState::Ramping, 0.06);
    assert_eq!(share, Share::ZERO);
    let (_, share) = posting_after(MoveState::Ramping, 0.35);
    assert!(share > Share::ZERO && share <= Share::from_fraction(0.01));
    let (_, share) = posting_after(MoveState::Done, 1.0);
    assert!(share > Share::ZERO && share <= Share::from_fraction(0.01));
}

#[test]
fn postings_are_taken_back_with_a_route_that_proved_the_version_bad() {
    let end = TakeBackReason::Latency;
    let (state, share) = posting_after(MoveState::TakenBack { end }, 0.0);
    assert_eq!((state, share), (MoveState::TakenBack { end }, Share::ZERO));
}

#[test]
fn a_cancelled_move_of_another_route_does_not_hold_postings_back() {
    let end = TakeBackReason::Cancelled;
    let (state, share) = posting_after(MoveState::TakenBack { end }, 0.0);
    assert!(!state.is_final() && share > Share::ZERO, "{state} {share}");
}

/// Runs the move of a lookup route until it reaches `share`, when another route's move to the
/// same pool is taken back.
fn lookup_when_another_is_taken_back(share: f64) -> MoveState {
    let mut harness = Harness::new(300);
    while harness.route_move.share < Share::from_fraction(share) {
        harness.run(1, |_| (1, 1));
    }
    let end = TakeBackReason::Failures;
    let mut sibling = harness.route_move.clone();
    sibling.id = MoveId::new(2);
    sibling.state = MoveState::TakenBack { end };
    harness.sibling = Some(sibling);
    harness.run(2, |_| (1, 1));
    harness.route_move.state
}

#[test]
fn a_version_that_is_bad_near_full_load_is_taken_back_on_all_routes() {
    let end = TakeBackReason::Failures;
    let at_large_share = lookup_when_another_is_taken_back(0.65);
    assert_eq!(at_large_share, MoveState::TakenBack { end });
    assert!(!lookup_when_another_is_taken_back(0.06).is_final());
}
