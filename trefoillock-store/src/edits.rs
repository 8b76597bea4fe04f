//! Rules by which an edit of the tables is accepted or refused, and its effect on moves.

use std::collections::BTreeMap;

use trefoillock_core::{
    Config, Edit, EditConflict, EditRefusal, Move, MoveId, Pool, PoolName, Route, RouteName,
    Tables, Timestamp,
};

/// Effect of an accepted edit on the moves.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct EditPlan {
    /// Moves to start: route, old pool, new pool and deadline.
    pub(crate) new_moves: Vec<(RouteName, PoolName, PoolName, Timestamp)>,
    /// Moves that the edit takes back, because it points their route to the old pool again.
    pub(crate) taken_back: Vec<MoveId>,
    /// Moves whose deadline the edit changes, with the new deadline.
    pub(crate) new_deadlines: Vec<(MoveId, Timestamp)>,
}

/// Checks an edit and returns its effect on the moves.
///
/// `moves` holds the moves that have not ended, by route.
///
/// # Errors
///
/// Returns the first rule that the edit violates.
pub(crate) fn plan_edit(
    config: &Config,
    moves: &BTreeMap<RouteName, Move>,
    edit: &Edit,
) -> Result<EditPlan, EditRefusal> {
    check_base(config, edit)?;
    check_pool_definitions(config.tables(), &edit.tables)?;
    let mut plan = EditPlan::default();
    for (name, old) in config.tables().routes() {
        match (edit.tables.routes().get(name), moves.get(name)) {
            (None, Some(running)) => {
                return Err(EditRefusal::RouteOnTheMove(name.clone(), running.id));
            }
            (Some(new), Some(running)) => plan_moving_route(&mut plan, running, new, edit)?,
            (Some(new), None) if new.pool != old.pool => plan_new_move(&mut plan, old, new, edit)?,
            (Some(_) | None, None) => {}
        }
    }
    check_pools_in_use(&plan, moves, &edit.tables)?;
    Ok(plan)
}

fn check_base(config: &Config, edit: &Edit) -> Result<(), EditRefusal> {
    if edit.base == config.tables_version() {
        return Ok(());
    }
    Err(EditRefusal::Conflict(Box::new(EditConflict {
        base: edit.base,
        current: config.tables_version(),
        difference: config.tables().diff(&edit.tables),
    })))
}

/// Refuses an edit that changes the service or version of a pool in use by a route: that would
/// replace the backend servers of the route without a move.
fn check_pool_definitions(old: &Tables, new: &Tables) -> Result<(), EditRefusal> {
    let redefined = |pool: &Pool| {
        let previous = old.pools().get(&pool.name);
        previous.is_some_and(|p| p.service != pool.service || p.versions != pool.versions)
    };
    for pool in new.pools().values().filter(|pool| redefined(pool)) {
        if let Some(route) = old.routes().values().find(|route| route.pool == pool.name) {
            return Err(EditRefusal::PoolRedefined(
                pool.name.clone(),
                route.name.clone(),
            ));
        }
    }
    Ok(())
}

fn plan_moving_route(
    plan: &mut EditPlan,
    running: &Move,
    new: &Route,
    edit: &Edit,
) -> Result<(), EditRefusal> {
    if new.pool == running.from {
        plan.taken_back.push(running.id);
        return Ok(());
    }
    if new.pool != running.to {
        return Err(EditRefusal::RouteOnTheMove(new.name.clone(), running.id));
    }
    match new.move_deadline {
        Some(deadline) if deadline == running.deadline => Ok(()),
        Some(deadline) if deadline > edit.at => {
            plan.new_deadlines.push((running.id, deadline));
            Ok(())
        }
        Some(_) => Err(EditRefusal::DeadlinePassed(new.name.clone())),
        None => Err(EditRefusal::NoDeadline(new.name.clone())),
    }
}

fn plan_new_move(
    plan: &mut EditPlan,
    old: &Route,
    new: &Route,
    edit: &Edit,
) -> Result<(), EditRefusal> {
    let Some(deadline) = new.move_deadline else {
        return Err(EditRefusal::NoDeadline(new.name.clone()));
    };
    if deadline <= edit.at {
        return Err(EditRefusal::DeadlinePassed(new.name.clone()));
    }
    plan.new_moves.push((
        new.name.clone(),
        old.pool.clone(),
        new.pool.clone(),
        deadline,
    ));
    Ok(())
}

/// Refuses tables that lack a pool of a move that is running or about to start.
///
/// Changed definitions are refused by [`check_pool_definitions`] only, which does not cover the old
/// pool of a running move.
fn check_pools_in_use(
    plan: &EditPlan,
    moves: &BTreeMap<RouteName, Move>,
    tables: &Tables,
) -> Result<(), EditRefusal> {
    for (route, from, _, _) in &plan.new_moves {
        if !tables.pools().contains_key(from) {
            return Err(EditRefusal::OldPoolMissing(from.clone(), route.clone()));
        }
    }
    for running in moves.values() {
        for pool in [&running.from, &running.to] {
            if !tables.pools().contains_key(pool) {
                return Err(EditRefusal::PoolInUse(pool.clone(), running.id));
            }
        }
    }
    Ok(())
}
