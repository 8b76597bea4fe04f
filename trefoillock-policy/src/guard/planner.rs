//! Plans the guard sets of all slots on the leader, from the live nodes and the acknowledged sets.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use trefoillock_core::{
    GUARDS_PER_SLOT, Guard, GuardSet, GuardSlot, GuardTable, Incarnation, NodeId, Timestamp,
};

use super::{CLOCK_SKEW_MARGIN, GuardAcks, KEY_WINDOW};

/// The maximum number of slots per plan in which a guard is replaced only to balance the load.
const MAX_REBALANCES_PER_PLAN: usize = 16;
/// The difference in slots between two nodes up to which the load is not balanced.
const LOAD_TOLERANCE: usize = 4;

/// Incarnations of nodes that are proved to have ended.
///
/// A live newer incarnation of a node proves the end of all its older ones and needs no entry here.
/// An entry stands for a VM that, as an operator confirms, is gone for good.
pub type DeadGuards = BTreeSet<(NodeId, Incarnation)>;

/// Plans changes of guard sets, at most one new set per slot. The plan must be committed as a
/// whole.
///
/// `live` lists the nodes that can be guards now. `acks` tells which sets are settled: a set is
/// changed only while a majority of its guards is active, and by one guard at a time, so that the
/// majority from which the next guards copy is alive except after double faults. Wrong entries in
/// `acks` or `live` can keep a slot from granting claims, but cannot make it grant a key twice; a
/// wrong entry in `dead` can.
///
/// If a majority of a set is dead, its records count as lost; see the parent module.
#[must_use]
pub fn plan_guards(
    now: Timestamp,
    table: &GuardTable,
    live: &[Guard],
    dead: &DeadGuards,
    acks: &GuardAcks,
) -> Vec<(GuardSlot, GuardSet)> {
    let mut planner = Planner::new(now, table, live, dead, acks);
    let mut plan = Vec::new();
    for slot in GuardSlot::all() {
        let next = match table.get(&slot) {
            None => planner.first_set(),
            Some(set) => planner.next_set(slot, set),
        };
        if let Some(set) = next {
            plan.push((slot, set));
        }
    }
    plan
}

struct Planner<'a> {
    now: Timestamp,
    live: BTreeMap<&'a NodeId, &'a Guard>,
    dead: &'a DeadGuards,
    acks: &'a GuardAcks,
    /// The number of slots that each live node guards.
    load: BTreeMap<&'a NodeId, usize>,
    rebalances: usize,
}

impl<'a> Planner<'a> {
    fn new(
        now: Timestamp,
        table: &GuardTable,
        live: &'a [Guard],
        dead: &'a DeadGuards,
        acks: &'a GuardAcks,
    ) -> Self {
        let mut by_node: BTreeMap<&NodeId, &Guard> = BTreeMap::new();
        for guard in live {
            let newest = by_node.entry(&guard.node).or_insert(guard);
            if guard.incarnation > newest.incarnation {
                *newest = guard;
            }
        }
        let mut load: BTreeMap<&NodeId, usize> = by_node.keys().map(|node| (*node, 0)).collect();
        for guard in table.values().flat_map(|set| &set.guards) {
            if let Some(count) = load.get_mut(&guard.node) {
                *count += 1;
            }
        }
        Self {
            now,
            live: by_node,
            dead,
            acks,
            load,
            rebalances: 0,
        }
    }

    /// Plans the first set of a slot.
    fn first_set(&mut self) -> Option<GuardSet> {
        let guards = self.add_guards(Vec::new());
        (!guards.is_empty()).then_some(GuardSet {
            epoch: 1,
            guards,
            previous: Vec::new(),
            previous_epoch: 0,
            lost_at: None,
        })
    }

    /// Plans the next set of a slot, if the set has to change.
    fn next_set(&mut self, slot: GuardSlot, set: &GuardSet) -> Option<GuardSet> {
        let settled = self.is_settled(slot, set);
        if self.has_dead_majority(&set.guards) {
            let older = if settled {
                &[]
            } else {
                set.previous.as_slice()
            };
            return self.set_after_loss(set, older);
        }
        if settled {
            return self.replace_one(set);
        }
        // The guards from which this set was to copy are gone.
        if !set.previous.is_empty() && self.has_dead_majority(&set.previous) {
            return self.set_after_loss(set, &set.guards);
        }
        None
    }

    /// Plans the set after the records of a set were lost. `older` are guards that might still form
    /// a majority of an older epoch and must promise not to.
    fn set_after_loss(&mut self, set: &GuardSet, older: &[Guard]) -> Option<GuardSet> {
        let kept = self.live_guards(&set.guards);
        let guards = self.add_guards(kept);
        if guards.is_empty() {
            return None;
        }
        let previous = if self.has_dead_majority(older) {
            Vec::new()
        } else {
            older.to_vec()
        };
        Some(GuardSet {
            epoch: set.epoch + 1,
            guards,
            previous,
            previous_epoch: 0,
            lost_at: Some(self.now),
        })
    }

    /// Plans a set with one guard replaced, added or removed, if that is an improvement.
    fn replace_one(&mut self, set: &GuardSet) -> Option<GuardSet> {
        let gone = set.guards.iter().filter(|guard| !self.is_live(guard));
        let gone: Vec<&Guard> = gone.collect();
        let mut replaced = gone.iter().map(|guard| self.replace_guard(set, guard));
        let replaced = replaced.find(|guards| *guards != set.guards);
        let guards = match replaced {
            Some(guards) => guards,
            None if !gone.is_empty() => return None,
            None if set.guards.len() < GUARDS_PER_SLOT => self.add_guard(set.guards.clone()),
            None => self.rebalance(set)?,
        };
        let is_improved = guards != set.guards && !guards.is_empty();
        is_improved.then(|| GuardSet {
            epoch: set.epoch + 1,
            guards,
            previous: set.guards.clone(),
            previous_epoch: set.epoch,
            lost_at: self.lost_at(set),
        })
    }

    /// Returns the guards with a replacement for one that is gone. Without a replacement the set is
    /// kept unless the guard is proved dead: a smaller set would be safe too, but the guard may
    /// come back.
    fn replace_guard(&mut self, set: &GuardSet, gone: &Guard) -> Vec<Guard> {
        let mut guards = set.guards.clone();
        guards.retain(|guard| guard != gone);
        let restarted = self.live.get(&gone.node).copied();
        let restarted = restarted.filter(|current| current.incarnation > gone.incarnation);
        if let Some(current) =
            restarted.filter(|current| guards.iter().all(|g| g.node != current.node))
        {
            guards.push(current.clone());
            return guards;
        }
        let guards = self.add_guard(guards);
        if guards.len() < set.guards.len() && !self.is_dead(gone) {
            return set.guards.clone();
        }
        guards
    }

    /// Returns the guards with one of them replaced by a node in another data centre or a node with
    /// fewer slots, if that improves the distribution.
    fn rebalance(&mut self, set: &GuardSet) -> Option<Vec<Guard>> {
        if self.rebalances >= MAX_REBALANCES_PER_PLAN {
            return None;
        }
        let shares_data_centre = |guard: &&Guard| {
            let same = set
                .guards
                .iter()
                .filter(|g| g.data_centre == guard.data_centre);
            same.count() > 1
        };
        let load_of = |guard: &&Guard| self.load.get(&guard.node).copied().unwrap_or(0);
        let worst = set
            .guards
            .iter()
            .max_by_key(|guard| (shares_data_centre(guard), load_of(guard)))?;
        let rest: Vec<Guard> = set.guards.iter().filter(|g| *g != worst).cloned().collect();
        let best = self.best_candidate(&rest)?;
        let (worst_cost, best_cost) = (self.cost(&rest, worst), self.cost(&rest, best));
        let is_better_spread = best_cost.0 < worst_cost.0;
        let is_more_even =
            best_cost.0 == worst_cost.0 && best_cost.1 + LOAD_TOLERANCE < worst_cost.1;
        if !(is_better_spread || is_more_even) {
            return None;
        }
        let best = best.clone();
        self.rebalances += 1;
        if let Some(load) = self.load.get_mut(&worst.node) {
            *load -= 1;
        }
        self.count_slot(&best);
        let mut guards = rest;
        guards.push(best);
        Some(guards)
    }

    /// Adds guards until the set is full or no node is left.
    fn add_guards(&mut self, mut guards: Vec<Guard>) -> Vec<Guard> {
        loop {
            let count = guards.len();
            guards = self.add_guard(guards);
            if guards.len() == count {
                return guards;
            }
        }
    }

    /// Adds one guard if the set is not full and a node is left.
    fn add_guard(&mut self, mut guards: Vec<Guard>) -> Vec<Guard> {
        if guards.len() < GUARDS_PER_SLOT
            && let Some(best) = self.best_candidate(&guards).cloned()
        {
            self.count_slot(&best);
            guards.push(best);
        }
        guards
    }

    /// Counts one more slot for the node of a guard.
    fn count_slot(&mut self, guard: &Guard) {
        if let Some((_, load)) = self.load.iter_mut().find(|(node, _)| ***node == guard.node) {
            *load += 1;
        }
    }

    /// Returns the best live node that is not one of the guards.
    fn best_candidate(&self, guards: &[Guard]) -> Option<&'a Guard> {
        let free = self.live.values().copied();
        let free = free.filter(|guard| guards.iter().all(|g| g.node != guard.node));
        free.min_by_key(|guard| (self.cost(guards, guard), Reverse(guard.incarnation)))
    }

    /// The cost of placing a guard on a node: first the number of guards in the same data centre,
    /// then the number of slots that the node guards. Lower is better.
    fn cost(&self, guards: &[Guard], guard: &Guard) -> (usize, usize) {
        let same = guards.iter().filter(|g| g.data_centre == guard.data_centre);
        let load = self.load.get(&guard.node).copied().unwrap_or(0);
        (same.count(), load)
    }

    /// The guards whose nodes are live, with the current incarnation of each node.
    fn live_guards(&self, guards: &[Guard]) -> Vec<Guard> {
        let live = guards.iter().filter_map(|guard| self.live.get(&guard.node));
        live.map(|guard| (*guard).clone()).collect()
    }

    /// Whether this incarnation of the node is live.
    fn is_live(&self, guard: &Guard) -> bool {
        let current = self.live.get(&guard.node);
        current.is_some_and(|current| current.incarnation == guard.incarnation)
    }

    /// Whether this incarnation of the node is proved to have ended.
    fn is_dead(&self, guard: &Guard) -> bool {
        let restarted = self.live.get(&guard.node);
        restarted.is_some_and(|current| current.incarnation > guard.incarnation)
            || self.dead.contains(&(guard.node.clone(), guard.incarnation))
    }

    /// Whether a set may be changed: a majority of its guards is active, or all of its guards that
    /// are not dead are active and no majority could have granted a key without one of them.
    fn is_settled(&self, slot: GuardSlot, set: &GuardSet) -> bool {
        let mut alive = set.guards.iter().filter(|guard| !self.is_dead(guard));
        let all_alive = alive.all(|guard| self.acks.is_active(slot, set.epoch, guard));
        self.acks.is_settled(slot, set) || (all_alive && !self.has_dead_majority(&set.guards))
    }

    /// Whether enough guards are proved dead that they may have formed a majority.
    fn has_dead_majority(&self, guards: &[Guard]) -> bool {
        let dead = guards.iter().filter(|guard| self.is_dead(guard)).count();
        dead > guards.len() / 2
    }

    /// The time of the last loss, as long as it affects claims.
    fn lost_at(&self, set: &GuardSet) -> Option<Timestamp> {
        let lost_at = set.lost_at?;
        let is_relevant = self.now < lost_at + KEY_WINDOW + CLOCK_SKEW_MARGIN;
        is_relevant.then_some(lost_at)
    }
}
