//! The rules by which an edit is accepted or refused.

use std::collections::BTreeMap;

use trefoillock_core::{
    Config, Edit, EditConflict, EditRefusal, Move, MoveId, Pool, PoolName, Route, RouteName,
    Tables, Timestamp,
};

/// What an accepted edit does to the moves.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct EditPlan {
    /// Routes that start to move, with the old pool, the new pool and the deadline.
    pub(crate) starts: Vec<(RouteName, PoolName, PoolName, Timestamp)>,
    /// Moves that the edit takes back by naming the old pool again.
    pub(crate) taken_back: Vec<MoveId>,
    /// Moves whose deadline the edit changes.
    pub(crate) deadlines: Vec<(MoveId, Timestamp)>,
}

/// Decides on an edit.
///
/// `moves` holds the moves that have not ended, by route.
///
/// # Errors
///
/// Returns the first rule that the edit breaks.
pub(crate) fn plan_edit(
    config: &Config,
    moves: &BTreeMap<RouteName, Move>,
    edit: &Edit,
) -> Result<EditPlan, EditRefusal> {
    check_base(config, edit)?;
    check_redefined_pools(config.tables(), &edit.tables)?;
    let mut plan = EditPlan::default();
    for (name, old) in config.tables().routes() {
        match (edit.tables.routes().get(name), moves.get(name)) {
            (None, Some(running)) => {
                return Err(EditRefusal::RouteOnTheMove(name.clone(), running.id));
            }
            (Some(new), Some(running)) => plan_running(&mut plan, running, new, edit)?,
            (Some(new), None) if new.pool != old.pool => plan_start(&mut plan, old, new, edit)?,
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

/// Refuses to change service or version of a pool that carries a route: that would replace the
/// backend servers of the route without a move.
fn check_redefined_pools(old: &Tables, new: &Tables) -> Result<(), EditRefusal> {
    let redefined = |pool: &Pool| {
        let before = old.pools().get(&pool.name);
        before.is_some_and(|b| b.service != pool.service || b.versions != pool.versions)
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

fn plan_running(
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
            plan.deadlines.push((running.id, deadline));
            Ok(())
        }
        Some(_) => Err(EditRefusal::DeadlinePassed(new.name.clone())),
        None => Err(EditRefusal::NoDeadline(new.name.clone())),
    }
}

fn plan_start(
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
    plan.starts.push((
        new.name.clone(),
        old.pool.clone(),
        new.pool.clone(),
        deadline,
    ));
    Ok(())
}

/// Refuses tables that lack, or redefine, a pool of a move that goes on or starts.
fn check_pools_in_use(
    plan: &EditPlan,
    moves: &BTreeMap<RouteName, Move>,
    tables: &Tables,
) -> Result<(), EditRefusal> {
    for (route, from, _, _) in &plan.starts {
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
