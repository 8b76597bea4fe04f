//! The planning of guard sets: distribution, single changes, restarts and lost majorities.

use std::collections::{BTreeMap, BTreeSet};

use trefoillock_core::{
    DataCentre, GUARD_SLOTS, Guard, GuardSlot, GuardTable, Incarnation, NodeId, Timestamp,
};
use trefoillock_policy::{DeadGuards, GuardAck, GuardAcks, GuardKeeper, plan_guards};

const NOW: Timestamp = Timestamp::from_secs(1_000);

fn guard(number: usize, incarnation: u64) -> Guard {
    Guard {
        node: NodeId::try_from(format!("node-{number:02}")).expect("valid name"),
        incarnation: Incarnation::new(incarnation),
        peer_address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentre::try_from(format!("dc-{}", number % 3)).expect("valid name"),
    }
}

fn guards(count: usize) -> Vec<Guard> {
    (0..count).map(|number| guard(number, 1)).collect()
}

/// Plans until nothing changes, with all guards of each set active after every plan. Returns the
/// number of changes.
fn plan_until_stable(table: &mut GuardTable, live: &[Guard]) -> usize {
    let mut changes = 0;
    for _ in 0..1_000 {
        let acks = all_active(table);
        let plan = plan_guards(NOW, table, live, &DeadGuards::new(), &acks);
        if plan.is_empty() {
            return changes;
        }
        changes += plan.len();
        assert_single_changes(table, &plan);
        table.extend(plan);
    }
    panic!("the plan does not settle");
}

fn all_active(table: &GuardTable) -> GuardAcks {
    let mut acks = GuardAcks::new();
    for (slot, set) in table {
        for guard in &set.guards {
            let ack = GuardAck {
                slot: *slot,
                epoch: set.epoch,
            };
            acks.record(ack, &guard.node, guard.incarnation);
        }
    }
    acks
}

/// Checks that each change of a settled set replaces at most one guard and copies from the old set.
fn assert_single_changes(table: &GuardTable, plan: &[(GuardSlot, trefoillock_core::GuardSet)]) {
    for (slot, next) in plan {
        let Some(set) = table.get(slot) else {
            continue;
        };
        assert_eq!(next.epoch, set.epoch + 1);
        if next.lost_at.is_none() {
            let kept = set.guards.iter().filter(|g| next.guards.contains(g));
            assert!(kept.count() + 1 >= set.guards.len());
            assert_eq!(next.previous, set.guards);
            assert_eq!(next.previous_epoch, set.epoch);
        }
    }
}

fn slots_per_node(table: &GuardTable) -> BTreeMap<&str, usize> {
    let mut loads = BTreeMap::new();
    for guard in table.values().flat_map(|set| &set.guards) {
        *loads.entry(guard.node.as_str()).or_default() += 1;
    }
    loads
}

#[test]
fn guards_are_spread_over_data_centres_and_nodes() {
    for count in [3, 4, 6, 9, 20] {
        let live = guards(count);
        let mut table = GuardTable::new();
        plan_until_stable(&mut table, &live);
        assert_eq!(table.len(), usize::from(GUARD_SLOTS));
        for set in table.values() {
            let data_centres: BTreeSet<_> = set.guards.iter().map(|g| &g.data_centre).collect();
            assert_eq!((set.guards.len(), data_centres.len()), (3, 3));
        }
        let loads = slots_per_node(&table);
        // With four nodes, two of them are in the same data centre and share a third of the load.
        let even = count % 3 == 0;
        let (low, high) = (loads.values().min(), loads.values().max());
        assert!(
            !even || high.unwrap() - low.unwrap() <= 4,
            "{count}: {loads:?}"
        );
    }
}

#[test]
fn fewer_than_three_nodes_are_all_guards() {
    for count in [1, 2] {
        let mut table = GuardTable::new();
        plan_until_stable(&mut table, &guards(count));
        assert!(table.values().all(|set| set.guards.len() == count));
    }
    assert!(
        plan_guards(
            NOW,
            &GuardTable::new(),
            &[],
            &DeadGuards::new(),
            &GuardAcks::new()
        )
        .is_empty()
    );
}

#[test]
fn sets_grow_and_spread_when_nodes_join() {
    let mut table = GuardTable::new();
    plan_until_stable(&mut table, &guards(1));
    plan_until_stable(&mut table, &guards(3));
    assert!(
        table
            .values()
            .all(|set| set.guards.len() == 3 && set.lost_at.is_none())
    );
    plan_until_stable(&mut table, &guards(12));
    let loads = slots_per_node(&table);
    assert_eq!(loads.len(), 12);
    assert!(
        loads.values().all(|load| (58..=70).contains(load)),
        "{loads:?}"
    );
}

#[test]
fn a_restarted_node_replaces_its_earlier_incarnation() {
    let mut table = GuardTable::new();
    let mut live = guards(6);
    plan_until_stable(&mut table, &live);
    let before = table.clone();
    live[2] = guard(2, 2);
    let affected = before
        .values()
        .filter(|set| set.guards.contains(&guard(2, 1)));
    assert_eq!(plan_until_stable(&mut table, &live), affected.count());
    for (slot, set) in &table {
        assert_eq!(set.lost_at, None);
        let nodes = |set: &trefoillock_core::GuardSet| -> BTreeSet<NodeId> {
            set.guards.iter().map(|g| g.node.clone()).collect()
        };
        assert_eq!(nodes(set), nodes(&before[slot]));
        assert!(!set.guards.contains(&guard(2, 1)));
    }
}

/// A planned stop: the node is excluded from the live nodes and stops when it guards no slot.
#[test]
fn a_stopping_node_is_replaced_in_all_slots_without_a_loss() {
    let mut table = GuardTable::new();
    plan_until_stable(&mut table, &guards(6));
    let mut keeper = GuardKeeper::new(guard(5, 1).node, Incarnation::new(1));
    keeper.sync(&table);
    let guarded = table
        .values()
        .filter(|set| set.guards.contains(&guard(5, 1)));
    assert_eq!(keeper.guarded_slots(), guarded.count());
    plan_until_stable(&mut table, &guards(5));
    keeper.sync(&table);
    assert_eq!(keeper.guarded_slots(), 0);
    assert!(
        table
            .values()
            .all(|set| set.lost_at.is_none() && set.guards.len() == 3)
    );
}

#[test]
fn an_unsettled_set_is_not_changed() {
    let mut table = GuardTable::new();
    plan_until_stable(&mut table, &guards(6));
    let live = guards(5);
    let plan = plan_guards(NOW, &table, &live, &DeadGuards::new(), &GuardAcks::new());
    assert!(plan.is_empty());
    let plan = plan_guards(NOW, &table, &live, &DeadGuards::new(), &all_active(&table));
    assert!(!plan.is_empty());
}

#[test]
fn an_unreachable_majority_is_no_loss_but_a_restarted_one_is() {
    let mut table = GuardTable::new();
    plan_until_stable(&mut table, &guards(3));
    let acks = all_active(&table);
    let silent = plan_guards(NOW, &table, &guards(1), &DeadGuards::new(), &acks);
    assert!(silent.is_empty());
    let live = [guard(0, 1), guard(1, 2), guard(2, 2)];
    let plan = plan_guards(NOW, &table, &live, &DeadGuards::new(), &acks);
    assert_eq!(plan.len(), usize::from(GUARD_SLOTS));
    for (_, set) in plan {
        assert_eq!((set.lost_at, set.guards.len()), (Some(NOW), 3));
        assert!(set.previous.is_empty() && set.previous_epoch == 0);
    }
}

/// With two guards, both grant each key, so the remaining one knows all keys.
#[test]
fn the_restart_of_one_of_two_nodes_is_no_loss() {
    let mut table = GuardTable::new();
    plan_until_stable(&mut table, &guards(2));
    let live = [guard(0, 1), guard(1, 2)];
    assert_eq!(
        plan_until_stable(&mut table, &live),
        usize::from(GUARD_SLOTS)
    );
    for set in table.values() {
        assert_eq!((set.lost_at, set.previous.len()), (None, 2));
        assert!(live.iter().all(|guard| set.guards.contains(guard)));
    }
}

#[test]
fn an_operator_confirms_that_vms_are_gone() {
    let mut table = GuardTable::new();
    plan_until_stable(&mut table, &guards(3));
    let gone = [1, 2].map(|number| {
        let guard = guard(number, 1);
        (guard.node, guard.incarnation)
    });
    let dead = DeadGuards::from(gone);
    let plan = plan_guards(NOW, &table, &[guard(0, 1)], &dead, &all_active(&table));
    assert!(plan.iter().all(|(_, set)| set.lost_at == Some(NOW)));
    assert!(plan.iter().all(|(_, set)| set.guards == [guard(0, 1)]));
    assert_eq!(plan.len(), usize::from(GUARD_SLOTS));
}

/// A majority of a set dies before the set has settled, while the guards of the previous set are
/// alive and may not have promised. The next set must copy from them so that they promise.
#[test]
fn after_a_loss_during_a_change_the_previous_guards_must_promise() {
    let mut table = GuardTable::new();
    plan_until_stable(&mut table, &guards(3));
    let before = table.clone();
    let live = [guard(0, 1), guard(1, 1), guard(3, 1), guard(4, 1)];
    let plan = plan_guards(NOW, &table, &live, &DeadGuards::new(), &all_active(&table));
    table.extend(plan);
    let live = [
        guard(0, 1),
        guard(1, 2),
        guard(3, 2),
        guard(4, 2),
        guard(2, 1),
    ];
    let plan = plan_guards(NOW, &table, &live, &DeadGuards::new(), &all_active(&before));
    assert!(!plan.is_empty());
    for (slot, set) in plan {
        assert_eq!(set.previous, before[&slot].guards);
        assert_eq!((set.previous_epoch, set.lost_at), (0, Some(NOW)));
    }
}
