//! The other moves to the same pool.

use trefoillock_core::{Move, MoveEnd, MoveState, RouteClass, Tables, Timestamp};

use crate::plan::{MIN_DWELL, Plan};

/// The share from which a route has proved the version for the postings of its service.
const PROVEN: f64 = 0.15;
/// The share from which the pool is taken to be near the load of all routes.
const LOADED: f64 = 0.5;

/// How the other routes fare that move to the same pool and are no postings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Siblings {
    /// There are none.
    None,
    /// All have proved the version.
    Proven,
    /// At least one has not proved it yet.
    Unproven,
    /// One has proved that the version is bad.
    Bad(MoveEnd),
}

/// The class of a move's route; a route that is gone counts as a posting.
pub(crate) fn class_of(action: &Move, tables: &Tables) -> RouteClass {
    let route = tables.routes().get(&action.route);
    route.map_or(RouteClass::Posting, |route| route.class)
}

/// Whether another move to the same pool has not been at its last stage for a while.
pub(crate) fn others_are_rising(now: Timestamp, action: &Move, active: &[&Move]) -> bool {
    active.iter().any(|other| {
        other.id != action.id
            && other.to == action.to
            && (!Plan::is_last(other.share) || now.since(other.stepped) < MIN_DWELL)
    })
}

/// Why the version is bad, if the move of any other route to the same pool was taken back for it
/// while this move stood at a large share.
///
/// The pool was then near the load of all routes, and the version may be bad under that load only.
pub(crate) fn bad_under_load(action: &Move, moves: &[&Move]) -> Option<MoveEnd> {
    if action.share.fraction() < LOADED {
        return None;
    }
    let mut others = moves.iter().filter(|other| {
        other.id != action.id && other.to == action.to && other.stepped >= action.stepped
    });
    others.find_map(|other| match other.state {
        MoveState::TakenBack { end } if is_of_version(end) => Some(end),
        _ => None,
    })
}

/// Whether a move ended because of the version.
const fn is_of_version(end: MoveEnd) -> bool {
    !matches!(end, MoveEnd::Cancelled | MoveEnd::DeadlinePassed)
}

/// How the moves of other routes to the same pool fare.
pub(crate) fn siblings(action: &Move, moves: &[&Move], tables: &Tables) -> Siblings {
    let others = moves.iter().filter(|other| {
        other.id != action.id
            && other.to == action.to
            && class_of(other, tables) != RouteClass::Posting
    });
    let mut result = Siblings::None;
    for other in others {
        if result == Siblings::None {
            result = Siblings::Proven;
        }
        match other.state {
            MoveState::TakenBack { end } => {
                if is_of_version(end) && other.stepped >= action.started {
                    return Siblings::Bad(end);
                }
            }
            MoveState::Done => {}
            _ if other.share.fraction() >= PROVEN => {}
            _ => result = Siblings::Unproven,
        }
    }
    result
}
