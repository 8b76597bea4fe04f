//! The rules by which an edit starts, refuses or ends moves.

use std::collections::BTreeMap;

use trefoillock_core::{
    ConfigVersion, EditRefusal, Move, MoveEnd, MoveId, MoveState, MoveStep, PoolName, Route,
    RouteName, Share, Tables, Timestamp,
};

/// What an edit does to the moves.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MovesOfEdit {
    /// Moves that the edit starts.
    pub started: Vec<Move>,
    /// Steps that take back moves whose route the edit puts back to its old pool or removes.
    pub cancelled: Vec<MoveStep>,
}

/// Checks an edit against the moves that have not ended and tells which moves it starts or
/// ends.
///
/// # Errors
///
/// Refuses the edit as a whole if it gives a route on the move a third pool, removes or changes
/// a pool that a move uses, or changes the pool of a route without a deadline or with one that
/// has passed.
pub fn moves_of_edit(
    now: Timestamp,
    version: ConfigVersion,
    current: &Tables,
    edited: &Tables,
    moves: &BTreeMap<RouteName, Move>,
) -> Result<MovesOfEdit, Box<EditRefusal>> {
    let mut result = MovesOfEdit::default();
    let active = |route: &RouteName| moves.get(route).filter(|m| !m.state.is_final());
    for name in moves.keys() {
        if let Some(action) = active(name) {
            if edited.routes().contains_key(name) {
                check_pools(action, current, edited)?;
            } else {
                result.cancelled.push(cancel_step(now, action));
            }
        }
    }
    for (name, route) in edited.routes() {
        let Some(before) = current.routes().get(name) else {
            continue;
        };
        match active(name) {
            Some(action) if route.pool == action.from => {
                result.cancelled.push(cancel_step(now, action));
            }
            Some(action) if is_unchanged(route, action) => {}
            Some(action) => {
                return Err(Box::new(EditRefusal::RouteOnTheMove(
                    name.clone(),
                    action.id,
                )));
            }
            None if route.pool != before.pool => {
                let number = result.started.len() as u64;
                let id = MoveId::new(version.get() * MAX_MOVES_PER_EDIT + number);
                let pools = (&before.pool, &route.pool);
                result
                    .started
                    .push(start_move(now, id, name, pools, route.move_deadline)?);
            }
            None => {}
        }
    }
    Ok(result)
}

/// The number of moves that one edit can start.
const MAX_MOVES_PER_EDIT: u64 = 100_000;

/// Starts a move of a route from one pool to another.
///
/// # Errors
///
/// Refuses a move without a deadline or with one that has passed.
pub fn start_move(
    now: Timestamp,
    id: MoveId,
    route: &RouteName,
    (from, to): (&PoolName, &PoolName),
    deadline: Option<Timestamp>,
) -> Result<Move, Box<EditRefusal>> {
    let Some(deadline) = deadline else {
        return Err(Box::new(EditRefusal::NoDeadline(route.clone())));
    };
    if deadline <= now {
        return Err(Box::new(EditRefusal::DeadlinePassed(route.clone())));
    }
    Ok(Move {
        id,
        route: route.clone(),
        from: from.clone(),
        to: to.clone(),
        deadline,
        started: now,
        state: MoveState::WaitingForServers,
        share: Share::ZERO,
        step: 0,
        stepped: now,
        evidence: "accepted".to_owned(),
    })
}

/// The step by which an operator takes a move back.
#[must_use]
pub fn cancel_step(now: Timestamp, action: &Move) -> MoveStep {
    MoveStep {
        id: action.id,
        step: action.step + 1,
        state: MoveState::TakenBack {
            end: MoveEnd::Cancelled,
        },
        share: Share::ZERO,
        at: now,
        evidence: "cancelled by an operator".to_owned(),
    }
}

/// Whether an edited route still asks for the move that is under way.
fn is_unchanged(route: &Route, action: &Move) -> bool {
    route.pool == action.to && route.move_deadline == Some(action.deadline)
}

/// Refuses an edit that removes or redefines a pool of a move.
fn check_pools(action: &Move, current: &Tables, edited: &Tables) -> Result<(), Box<EditRefusal>> {
    for name in [&action.from, &action.to] {
        let identity = |tables: &Tables| {
            let pool = tables.pools().get(name)?;
            Some((pool.service.clone(), pool.version.clone()))
        };
        if identity(current) != identity(edited) {
            return Err(Box::new(EditRefusal::PoolInUse(name.clone(), action.id)));
        }
    }
    Ok(())
}
