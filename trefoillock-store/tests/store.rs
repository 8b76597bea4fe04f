//! Edits, moves and snapshots of the table store, and a differential test against a reference
//! model.

use proptest::prelude::*;
use trefoillock_core::{
    ConfigVersion, Edit, EditAnswer, EditId, EditRefusal, LogIndex, MoveId, MoveState, MoveStep,
    PoolName, RawTables, Share, Tables, TakeBackReason, Timestamp,
};
use trefoillock_store::{CancelAnswer, Command, CommandAnswer, TableStore};

const NOW: Timestamp = Timestamp::from_secs(1_000);

/// Tables with one route, which points to `pool`, and the pools `a`, `b` and `c`.
fn tables(pool: &str, deadline: Option<&str>) -> Tables {
    let deadline = deadline
        .map(|d| format!(r#", "move_deadline": "{d}""#))
        .unwrap_or_default();
    let json = format!(
        r#"{{"routes": [{{"name": "r", "match": {{"path_prefix": "/"}}, "class": "lookup",
            "pool": "{pool}", "timeout_ms": 100{deadline}}}],
            "pools": [{{"name": "a", "service": "s", "version": "1"}},
                      {{"name": "b", "service": "s", "version": "2"}},
                      {{"name": "c", "service": "s", "version": "3"}}]}}"#
    );
    Tables::try_from(RawTables::from_json(&json).expect("readable")).expect("valid")
}

const LATER: Option<&str> = Some("2030-01-01T00:00:00Z");

fn edit(id: &str, base: u64, tables: Tables) -> Command {
    let id = EditId::try_from(id).expect("a valid name");
    Command::Edit(Edit {
        id,
        base: ConfigVersion::new(base),
        tables,
        at: NOW,
    })
}

fn apply(store: &mut TableStore, index: u64, command: Command) -> CommandAnswer {
    store.apply(LogIndex::new(index), command)
}

fn accepted(version: u64, moves: &[u64]) -> CommandAnswer {
    CommandAnswer::Edit(EditAnswer::Accepted {
        version: ConfigVersion::new(version),
        moves: moves.iter().map(|id| MoveId::new(*id)).collect(),
    })
}

fn refusal(answer: CommandAnswer) -> EditRefusal {
    match answer {
        CommandAnswer::Edit(EditAnswer::Refused(refusal)) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn step(id: u64, step: u32, state: MoveState, share: Share) -> Command {
    let id = MoveId::new(id);
    Command::MoveStep(MoveStep {
        id,
        step,
        state,
        share,
        at: NOW,
        evidence: String::new(),
    })
}

/// A store whose route has been moving from `a` to `b`, as move 1, since version 2.
fn store_with_move() -> TableStore {
    let mut store = TableStore::new();
    assert_eq!(
        apply(&mut store, 1, edit("e1", 0, tables("a", None))),
        accepted(1, &[])
    );
    assert_eq!(
        apply(&mut store, 2, edit("e2", 1, tables("b", LATER))),
        accepted(2, &[1])
    );
    store
}

fn pool_of_route(store: &TableStore) -> PoolName {
    store
        .config()
        .tables()
        .routes()
        .values()
        .next()
        .expect("one route")
        .pool
        .clone()
}

#[test]
fn a_resend_gets_the_first_answer_and_changes_nothing() {
    let mut store = store_with_move();
    let before = store.config().clone();
    assert_eq!(
        apply(&mut store, 3, edit("e1", 0, tables("a", None))),
        accepted(1, &[])
    );
    assert_eq!(
        apply(&mut store, 4, edit("e2", 1, tables("b", LATER))),
        accepted(2, &[1])
    );
    assert_eq!(store.config(), &before);
}

#[test]
fn an_edit_identity_reused_with_other_tables_is_refused() {
    let mut store = store_with_move();
    let answer = apply(&mut store, 3, edit("e1", 0, tables("b", None)));
    assert!(matches!(refusal(answer), EditRefusal::IdentityReused(_)));
}

#[test]
fn of_two_edits_on_one_version_the_second_conflicts() {
    let mut store = TableStore::new();
    apply(&mut store, 1, edit("e1", 0, tables("a", None)));
    apply(&mut store, 2, edit("left", 1, tables("b", LATER)));
    let conflict = match refusal(apply(&mut store, 3, edit("right", 1, tables("c", LATER)))) {
        EditRefusal::Conflict(conflict) => conflict,
        other => panic!("not a conflict: {other:?}"),
    };
    assert_eq!(conflict.current, ConfigVersion::new(2));
    assert_eq!(conflict.difference.routes_changed.len(), 1);
    assert_eq!(store.config().version(), ConfigVersion::new(2));
}

#[test]
fn a_move_needs_a_deadline_in_the_future() {
    let mut store = TableStore::new();
    apply(&mut store, 1, edit("e1", 0, tables("a", None)));
    let without = apply(&mut store, 2, edit("e2", 1, tables("b", None)));
    assert!(matches!(refusal(without), EditRefusal::NoDeadline(_)));
    let past = apply(
        &mut store,
        3,
        edit("e3", 1, tables("b", Some("1970-01-01T00:00:01Z"))),
    );
    assert!(matches!(refusal(past), EditRefusal::DeadlinePassed(_)));
}

#[test]
fn an_edit_to_a_third_pool_is_refused_while_the_route_moves() {
    let mut store = store_with_move();
    let answer = apply(&mut store, 3, edit("e3", 2, tables("c", LATER)));
    assert!(matches!(refusal(answer), EditRefusal::RouteOnTheMove(_, id) if id == MoveId::new(1)));
}

#[test]
fn an_edit_back_to_the_old_pool_takes_the_move_back() {
    let mut store = store_with_move();
    apply(&mut store, 3, edit("e3", 2, tables("a", None)));
    let ended = store.ended_moves().next().expect("one ended move");
    assert_eq!(
        ended.state,
        MoveState::TakenBack {
            end: TakeBackReason::Cancelled
        }
    );
    assert_eq!(store.running_moves().count(), 0);
}

#[test]
fn an_edit_without_the_old_pool_is_refused_while_the_route_moves() {
    let mut store = store_with_move();
    let mut raw = RawTables::from(&tables("b", LATER));
    raw.pools.retain(|pool| pool.name != "a");
    let without_old = Tables::try_from(raw).expect("valid");
    let answer = apply(&mut store, 3, edit("e3", 2, without_old));
    assert!(matches!(refusal(answer), EditRefusal::PoolInUse(pool, _) if pool.as_str() == "a"));
}

#[test]
fn an_edit_of_the_version_of_a_pool_in_use_is_refused() {
    let mut store = TableStore::new();
    apply(&mut store, 1, edit("e1", 0, tables("a", None)));
    let mut raw = RawTables::from(&tables("a", None));
    raw.pools[0].version = Some("9".to_owned());
    let redefined = Tables::try_from(raw).expect("valid");
    let answer = apply(&mut store, 2, edit("e2", 1, redefined));
    assert!(matches!(refusal(answer), EditRefusal::PoolRedefined(..)));
}

#[test]
fn steps_are_applied_in_order_and_once() {
    let mut store = store_with_move();
    let share = Share::from_ppm(10_000);
    let first = step(1, 1, MoveState::Canary, share);
    assert_eq!(
        apply(&mut store, 3, first.clone()),
        CommandAnswer::MoveStep(true)
    );
    assert_eq!(apply(&mut store, 4, first), CommandAnswer::MoveStep(false));
    let skipped = step(1, 3, MoveState::Done, Share::FULL);
    assert_eq!(
        apply(&mut store, 5, skipped),
        CommandAnswer::MoveStep(false)
    );
    assert_eq!(store.config().version(), ConfigVersion::new(3));
    assert_eq!(store.config().tables_version(), ConfigVersion::new(2));
    let shares: Vec<Share> = store.config().moves().values().map(|m| m.share).collect();
    assert_eq!(shares, [share]);
}

#[test]
fn a_done_move_keeps_the_route_on_the_new_pool() {
    let mut store = store_with_move();
    apply(&mut store, 3, step(1, 1, MoveState::Done, Share::FULL));
    assert_eq!(pool_of_route(&store).as_str(), "b");
    assert!(store.config().moves().is_empty());
    let late = step(
        1,
        2,
        MoveState::TakenBack {
            end: TakeBackReason::Failures,
        },
        Share::ZERO,
    );
    assert_eq!(apply(&mut store, 4, late), CommandAnswer::MoveStep(false));
    assert_eq!(pool_of_route(&store).as_str(), "b");
}

#[test]
fn a_move_taken_back_restores_the_old_pool_in_a_newer_version() {
    let mut store = store_with_move();
    apply(
        &mut store,
        3,
        step(
            1,
            1,
            MoveState::TakenBack {
                end: TakeBackReason::Failures,
            },
            Share::ZERO,
        ),
    );
    assert_eq!(pool_of_route(&store).as_str(), "a");
    assert_eq!(store.config().version(), ConfigVersion::new(3));
    assert_eq!(store.config().tables_version(), ConfigVersion::new(3));
}

#[test]
fn a_cancelled_move_is_taken_back_once() {
    let mut store = store_with_move();
    let cancel = Command::CancelMove {
        id: MoveId::new(1),
        at: NOW,
    };
    let unknown = Command::CancelMove {
        id: MoveId::new(9),
        at: NOW,
    };
    assert_eq!(
        apply(&mut store, 3, cancel.clone()),
        CommandAnswer::Cancel(CancelAnswer::TakenBack)
    );
    assert_eq!(
        apply(&mut store, 4, cancel),
        CommandAnswer::Cancel(CancelAnswer::AlreadyEnded)
    );
    assert_eq!(
        apply(&mut store, 5, unknown),
        CommandAnswer::Cancel(CancelAnswer::Unknown)
    );
    assert_eq!(pool_of_route(&store).as_str(), "a");
}

#[test]
fn a_snapshot_of_an_empty_store_can_be_restored() {
    let snapshot = TableStore::new().snapshot();
    TableStore::new()
        .restore(&snapshot)
        .expect("a valid snapshot");
}

#[test]
fn a_snapshot_restores_the_same_state() {
    let store = store_with_move();
    let mut other = TableStore::new();
    other.restore(&store.snapshot()).expect("a valid snapshot");
    assert_eq!(other.config(), store.config());
    assert_eq!(
        apply(&mut other, 3, edit("e2", 1, tables("b", LATER))),
        accepted(2, &[1])
    );
    assert!(other.restore(b"damaged").is_err());
    assert_eq!(other.config(), store.config());
}

/// An operation of the differential test.
#[derive(Debug, Clone)]
enum Action {
    Edit { identity: u8, stale: bool, pool: u8 },
    Step { done: Option<bool> },
    Cancel,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        (any::<u8>(), any::<bool>(), 0..3_u8).prop_map(|(identity, stale, pool)| Action::Edit {
            identity,
            stale,
            pool
        }),
        prop::option::of(any::<bool>()).prop_map(|done| Action::Step { done }),
        Just(Action::Cancel),
    ]
}

/// Reference model: the pool of the route and, while it moves, its old pool.
#[derive(Debug, Default)]
struct ReferenceModel {
    pool: Option<u8>,
    moving_from: Option<u8>,
    version: u64,
}

impl ReferenceModel {
    fn edit(&mut self, index: u64, base: u64, pool: u8) -> bool {
        let allowed = base == self.version
            && self
                .moving_from
                .is_none_or(|from| pool == from || Some(pool) == self.pool);
        if allowed {
            let old = self.pool.replace(pool);
            self.moving_from = match self.moving_from {
                Some(from) if from == pool => None,
                Some(from) => Some(from),
                None => old.filter(|old| *old != pool),
            };
            self.version = index;
        }
        allowed
    }

    fn take_back(&mut self, index: u64) {
        if let Some(from) = self.moving_from.take() {
            self.pool = Some(from);
            self.version = index;
        }
    }
}

fn check_against_reference(actions: &[Action]) {
    let names = ["a", "b", "c"];
    let mut store = TableStore::new();
    let mut reference = ReferenceModel::default();
    let mut identities = std::collections::BTreeSet::new();
    for (position, action) in actions.iter().enumerate() {
        let index = position as u64 + 1;
        let running = store.running_moves().next().cloned();
        match action {
            Action::Edit {
                identity,
                stale,
                pool,
            } => {
                if !identities.insert(*identity) {
                    continue;
                }
                let base = reference.version + u64::from(*stale);
                let tables = tables(names[usize::from(*pool)], LATER);
                let answer = apply(
                    &mut store,
                    index,
                    edit(&format!("e{identity}"), base, tables),
                );
                let is_accepted =
                    matches!(answer, CommandAnswer::Edit(EditAnswer::Accepted { .. }));
                assert_eq!(is_accepted, reference.edit(index, base, *pool));
            }
            Action::Step { done } => {
                let Some(running) = running else { continue };
                let state = match done {
                    Some(true) => MoveState::Done,
                    Some(false) => MoveState::TakenBack {
                        end: TakeBackReason::Failures,
                    },
                    None => MoveState::Ramping,
                };
                let id = running.id.get();
                apply(
                    &mut store,
                    index,
                    step(id, running.step + 1, state, Share::FULL),
                );
                match done {
                    Some(true) => reference.moving_from = None,
                    Some(false) => reference.take_back(index),
                    None => {}
                }
            }
            Action::Cancel => {
                let Some(running) = running else { continue };
                apply(
                    &mut store,
                    index,
                    Command::CancelMove {
                        id: running.id,
                        at: NOW,
                    },
                );
                reference.take_back(index);
            }
        }
        store.config().validate().expect("a valid configuration");
        let pool = reference.pool.map(|pool| names[usize::from(pool)]);
        let route = store.config().tables().routes().values().next();
        assert_eq!(route.map(|route| route.pool.as_str()), pool);
        let from = reference.moving_from.map(|pool| names[usize::from(pool)]);
        assert_eq!(store.running_moves().next().map(|m| m.from.as_str()), from);
        assert_eq!(store.config().tables_version().get(), reference.version);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_commands_agree_with_the_reference_model(actions in prop::collection::vec(action(), 1..40)) {
        check_against_reference(&actions);
    }
}
