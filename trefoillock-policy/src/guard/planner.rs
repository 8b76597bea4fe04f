//! The leader's choice of guards.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use trefoillock_core::{
    GUARDS_PER_SLOT, Guard, GuardSet, GuardSlot, GuardTable, Incarnation, NodeId, Timestamp,
};

use super::{CLOCK_SKEW_MARGIN, GuardAcks, KEY_WINDOW};

/// The most slots that are moved in one plan only to spread them evenly.
const MAX_MOVES_TO_SPREAD: usize = 16;
/// The difference of slots between two nodes that is left as it is.
const SPREAD_TOLERANCE: usize = 4;

/// Runs of nodes that are proved to have ended.
///
/// A newer live incarnation of a node proves the end of all older ones; that needs no entry
/// here. An entry stands for a VM of which an operator vouches that it is gone for good.
pub type DeadGuards = BTreeSet<(NodeId, Incarnation)>;

/// Plans the changes of guard sets: one set at most for each slot, to be committed as a whole.
///
/// `live` are the nodes that can be guards now, one run of each node. `acks` tells which sets
/// are settled: a set is changed only when a majority of its guards is active, and then by one
/// guard at a time, so the majority that the next guards copy from is alive in all but double
/// faults. A plan with wrong `acks` or `live` can stop a slot from taking claims, but cannot
/// make it grant a key twice; a wrong entry in `dead` can.
///
/// When a majority of a set is dead, its memory counts as lost: see the module.
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
            None => planner.first(),
            Some(set) => planner.next(slot, set),
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
    /// The number of slots of each live node.
    load: BTreeMap<&'a NodeId, usize>,
    moves_to_spread: usize,
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
            moves_to_spread: 0,
        }
    }

    /// The first set of a slot.
    fn first(&mut self) -> Option<GuardSet> {
        let guards = self.fill(Vec::new());
        (!guards.is_empty()).then_some(GuardSet {
            epoch: 1,
            guards,
            previous: Vec::new(),
            previous_epoch: 0,
            lost_at: None,
        })
    }

    /// The next set of a slot, if it has to change.
    fn next(&mut self, slot: GuardSlot, set: &GuardSet) -> Option<GuardSet> {
        let settled = self.is_settled(slot, set);
        if self.has_dead_majority(&set.guards) {
            let older = if settled {
                &[]
            } else {
                set.previous.as_slice()
            };
            return self.after_loss(set, older);
        }
        if settled {
            return self.replace_one(set);
        }
        // The copies that the guards wait for are gone.
        if !set.previous.is_empty() && self.has_dead_majority(&set.previous) {
            return self.after_loss(set, &set.guards);
        }
        None
    }

    /// The set after the memory of a set was lost. `older` are guards that might still form a
    /// majority of an older epoch, and must promise not to.
    fn after_loss(&mut self, set: &GuardSet, older: &[Guard]) -> Option<GuardSet> {
        let kept = self.kept(&set.guards);
        let guards = self.fill(kept);
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

    /// The set with one guard replaced, added or removed, if that makes it better.
    fn replace_one(&mut self, set: &GuardSet) -> Option<GuardSet> {
        let gone = set.guards.iter().filter(|guard| !self.is_live(guard));
        let gone: Vec<&Guard> = gone.collect();
        let mut replaced = gone.iter().map(|guard| self.without(set, guard));
        let replaced = replaced.find(|guards| *guards != set.guards);
        let guards = match replaced {
            Some(guards) => guards,
            None if !gone.is_empty() => return None,
            None if set.guards.len() < GUARDS_PER_SLOT => self.fill_one(set.guards.clone()),
            None => self.spread(set)?,
        };
        let is_useful = guards != set.guards && !guards.is_empty();
        is_useful.then(|| GuardSet {
            epoch: set.epoch + 1,
            guards,
            previous: set.guards.clone(),
            previous_epoch: set.epoch,
            lost_at: self.lost_at(set),
        })
    }

    /// The guards with another one in place of one that is gone. Without another one the set
    /// stays as it is: a smaller set would be safe too, but the guard may come back.
    fn without(&mut self, set: &GuardSet, gone: &Guard) -> Vec<Guard> {
        let mut guards = set.guards.clone();
        guards.retain(|guard| guard != gone);
        let restarted = self.live.get(&gone.node).copied();
        let restarted = restarted.filter(|own| own.incarnation > gone.incarnation);
        if let Some(own) = restarted.filter(|own| guards.iter().all(|g| g.node != own.node)) {
            guards.push(own.clone());
            return guards;
        }
        let guards = self.fill_one(guards);
        if guards.len() < set.guards.len() && !self.is_dead(gone) {
            return set.guards.clone();
        }
        guards
    }

    /// The guards with one of them replaced by a node of another data centre or with fewer
    /// slots, if that spreads the slots better.
    fn spread(&mut self, set: &GuardSet) -> Option<Vec<Guard>> {
        if self.moves_to_spread >= MAX_MOVES_TO_SPREAD {
            return None;
        }
        let doubled = |guard: &&Guard| {
            let same = set
                .guards
                .iter()
                .filter(|g| g.data_centre == guard.data_centre);
            same.count() > 1
        };
        let load_of = |guard: &&Guard| self.load.get(&guard.node).copied().unwrap_or(0);
        let worst = set.guards.iter().max_by_key(|g| (doubled(g), load_of(g)))?;
        let rest: Vec<Guard> = set.guards.iter().filter(|g| *g != worst).cloned().collect();
        let best = self.best(&rest)?;
        let (worst_rank, best_rank) = (self.rank(&rest, worst), self.rank(&rest, best));
        let better_place = best_rank.0 < worst_rank.0;
        let evener = best_rank.0 == worst_rank.0 && best_rank.1 + SPREAD_TOLERANCE < worst_rank.1;
        if !(better_place || evener) {
            return None;
        }
        let best = best.clone();
        self.moves_to_spread += 1;
        if let Some(load) = self.load.get_mut(&worst.node) {
            *load -= 1;
        }
        self.count(&best);
        let mut guards = rest;
        guards.push(best);
        Some(guards)
    }

    /// Adds guards until the set is full or no node is left.
    fn fill(&mut self, mut guards: Vec<Guard>) -> Vec<Guard> {
        loop {
            let count = guards.len();
            guards = self.fill_one(guards);
            if guards.len() == count {
                return guards;
            }
        }
    }

    /// Adds one guard if the set is not full and a node is left.
    fn fill_one(&mut self, mut guards: Vec<Guard>) -> Vec<Guard> {
        if guards.len() < GUARDS_PER_SLOT
            && let Some(best) = self.best(&guards).cloned()
        {
            self.count(&best);
            guards.push(best);
        }
        guards
    }

    fn count(&mut self, guard: &Guard) {
        if let Some((_, load)) = self.load.iter_mut().find(|(node, _)| ***node == guard.node) {
            *load += 1;
        }
    }

    /// The best live node that is not among the guards yet.
    fn best(&self, guards: &[Guard]) -> Option<&'a Guard> {
        let free = self.live.values().copied();
        let free = free.filter(|guard| guards.iter().all(|g| g.node != guard.node));
        free.min_by_key(|guard| (self.rank(guards, guard), Reverse(guard.incarnation)))
    }

    /// The guards in the same data centre and the slots of a node; lower is better.
    fn rank(&self, guards: &[Guard], guard: &Guard) -> (usize, usize) {
        let same = guards.iter().filter(|g| g.data_centre == guard.data_centre);
        let load = self.load.get(&guard.node).copied().unwrap_or(0);
        (same.count(), load)
    }

    /// The live guards of a set, with restarted nodes in their new run.
    fn kept(&self, guards: &[Guard]) -> Vec<Guard> {
        let live = guards.iter().filter_map(|guard| self.live.get(&guard.node));
        live.map(|guard| (*guard).clone()).collect()
    }

    fn is_live(&self, guard: &Guard) -> bool {
        let own = self.live.get(&guard.node);
        own.is_some_and(|own| own.incarnation == guard.incarnation)
    }

    fn is_dead(&self, guard: &Guard) -> bool {
        let restarted = self.live.get(&guard.node);
        restarted.is_some_and(|own| own.incarnation > guard.incarnation)
            || self.dead.contains(&(guard.node.clone(), guard.incarnation))
    }

    /// Whether a set can be changed: a majority of its guards is active, or all that are not
    /// dead are, and no majority could have granted a key without one of them.
    fn is_settled(&self, slot: GuardSlot, set: &GuardSet) -> bool {
        let mut alive = set.guards.iter().filter(|guard| !self.is_dead(guard));
        let all_alive = alive.all(|guard| self.acks.is_active(slot, set.epoch, guard));
        self.acks.is_settled(slot, set) || (all_alive && !self.has_dead_majority(&set.guards))
    }

    /// Whether so many guards are proved dead that they may have been a majority.
    fn has_dead_majority(&self, guards: &[Guard]) -> bool {
        let dead = guards.iter().filter(|guard| self.is_dead(guard)).count();
        dead > guards.len() / 2
    }

    /// The time of the last loss, as long as it matters.
    fn lost_at(&self, set: &GuardSet) -> Option<Timestamp> {
        let lost_at = set.lost_at?;
        let matters = self.now < lost_at + KEY_WINDOW + CLOCK_SKEW_MARGIN;
        matters.then_some(lost_at)
    }
}
