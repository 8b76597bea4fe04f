//! Moves of other routes to the same pool, and what they say about the version.

use trefoillock_core::{Move, MoveState, RouteClass, Tables, TakeBackReason, Timestamp};

use crate::schedule::{MIN_DWELL, MoveSchedule};

/// Smallest share at which a route has proved the version for posting routes that move to the same
/// pool.
const PROVEN_SHARE: f64 = 0.15;
/// Smallest share at which the pool is assumed to be near the load of all routes.
const NEAR_FULL_LOAD_SHARE: f64 = 0.5;

/// State of the moves of other routes, posting routes excluded, to the same pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SiblingState {
    /// There are no such moves.
    None,
    /// All have proved the version.
    Proven,
    /// At least one has not proved the version yet.
    Unproven,
    /// One has proved the version bad.
    Bad(TakeBackReason),
}

/// The class of a move's route. A route that no longer exists counts as a posting route, the most
/// cautious class.
pub(crate) fn class_of(route_move: &Move, tables: &Tables) -> RouteClass {
    let route = tables.routes().get(&route_move.route);
    route.map_or(RouteClass::Posting, |route| route.class)
}

/// Whether another move to the same pool is below its last stage or reached it less than
/// [`MIN_DWELL`] ago.
pub(crate) fn others_are_ramping(now: Timestamp, route_move: &Move, active: &[&Move]) -> bool {
    active.iter().any(|other| {
        other.id != route_move.id
            && other.to == route_move.to
            && (!MoveSchedule::is_last(other.share) || now.since(other.stepped) < MIN_DWELL)
    })
}

/// The reason why the version is bad, if the move of another route to the same pool was taken
/// back for it while this move was at a large share.
///
/// The pool was then near the load of all routes, and the version may be bad only under that
/// load.
pub(crate) fn bad_under_load(route_move: &Move, moves: &[&Move]) -> Option<TakeBackReason> {
    if route_move.share.fraction() < NEAR_FULL_LOAD_SHARE {
        return None;
    }
    let mut others = moves.iter().filter(|other| {
        other.id != route_move.id
            && other.to == route_move.to
            && other.stepped >= route_move.stepped
    });
    others.find_map(|other| match other.state {
        MoveState::TakenBack { end } if is_version_fault(end) => Some(end),
        _ => None,
    })
}

/// Whether a move ended because of a fault of the version.
const fn is_version_fault(reason: TakeBackReason) -> bool {
    !matches!(
        reason,
        TakeBackReason::Cancelled | TakeBackReason::DeadlinePassed
    )
}

/// Returns the state of the moves of other routes to the same pool.
pub(crate) fn sibling_state(route_move: &Move, moves: &[&Move], tables: &Tables) -> SiblingState {
    let others = moves.iter().filter(|other| {
        other.id != route_move.id
            && other.to == route_move.to
            && class_of(other, tables) != RouteClass::Posting
    });
    let mut result = SiblingState::None;
    for other in others {
        if result == SiblingState::None {
            result = SiblingState::Proven;
        }
        match other.state {
            MoveState::TakenBack { end } => {
                if is_version_fault(end) && other.stepped >= route_move.started {
                    return SiblingState::Bad(end);
                }
            }
            MoveState::Done => {}
            _ if other.share.fraction() >= PROVEN_SHARE => {}
            _ => result = SiblingState::Unproven,
        }
    }
    result
}
