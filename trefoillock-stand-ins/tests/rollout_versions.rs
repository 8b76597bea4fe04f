//! Which backend servers get the calls of a service that had several rollouts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use trefoillock_core::{
    Announcement, ConfigVersion, DataCentre, Edit, EditId, Incarnation, LogIndex, Member,
    MemberState, Members, MembersVersion, NodeId, PoolName, RawTables, RolloutAllowance,
    RolloutState, RolloutStep, ServerId, ServiceName, Share, Tables, Term, Timestamp, VersionLabel,
};
use trefoillock_node::NodeView;
use trefoillock_store::{Command, TableStore};

const TABLES: &str = r#"{
  "routes": [{ "name": "positions", "match": { "path_prefix": "/positions" },
               "class": "lookup", "pool": "desk", "timeout_ms": 5000 }],
  "pools": [{ "name": "desk", "service": "treaty-desk" }]
}"#;

/// A store with the commands that were applied to it, and its next position in the log.
struct Log {
    store: TableStore,
    next: u64,
}

impl Log {
    fn new() -> Self {
        let mut log = Self {
            store: TableStore::new(),
            next: 1,
        };
        let raw = RawTables::from_json(TABLES).expect("valid JSON");
        log.apply(Command::Edit(Edit {
            id: EditId::try_from("first").expect("a name"),
            base: ConfigVersion::ZERO,
            tables: Tables::try_from(raw).expect("valid tables"),
            at: Timestamp::from_secs(1),
        }));
        log
    }

    fn apply(&mut self, command: Command) {
        self.store.apply(LogIndex::new(self.next), command);
        self.next += 1;
    }

    fn order(&mut self, version: &str) {
        let at = Timestamp::from_secs(2);
        self.apply(Command::StartRollout {
            service: service(),
            version: label(version),
            at,
            deadline: at + Duration::from_secs(15),
        });
    }

    fn step(&mut self, state: RolloutState, share: Share) {
        let rollout = self.store.rollouts()[&service()].clone();
        self.apply(Command::RolloutStep(RolloutStep {
            id: rollout.id,
            step: rollout.step + 1,
            state,
            share,
            evidence: String::new(),
        }));
    }

    /// Returns the versions of the servers that the calls of the pool may be sent to by a node:
    /// those of the old part, and those of the new part.
    fn versions_in_use(&self, versions: &[&str]) -> [Vec<String>; 2] {
        let view = NodeView::new();
        view.set_config(self.store.config().clone());
        view.set_members(Arc::new(members(versions)));
        let indexed = view.indexed_config().expect("a configuration");
        let pool = PoolName::try_from("desk").expect("a name");
        let pools = indexed.rollout_pools(&pool).expect("a rollout");
        [&pools.old, &pools.new].map(|pool| {
            let servers = view.servers(pool);
            let labels = servers.iter().map(|m| m.announcement.version.to_string());
            labels.collect()
        })
    }
}

fn service() -> ServiceName {
    ServiceName::try_from("treaty-desk").expect("a name")
}

fn label(version: &str) -> VersionLabel {
    VersionLabel::try_from(version).expect("a name")
}

fn members(versions: &[&str]) -> Members {
    let members = versions.iter().zip(8_001..).map(|(version, port)| {
        let address = ([127, 0, 0, 1], port).into();
        let node = NodeId::try_from(format!("node-{port}")).expect("a name");
        let member = Member {
            id: ServerId { node, address },
            announcement: Announcement {
                address,
                service: service(),
                version: label(version),
                incarnation: Incarnation::new(1),
                slots: 9,
                connections: 18,
                state: MemberState::Up,
                instance: None,
            },
            peer_address: address,
            data_centre: DataCentre::try_from("dc").expect("a name"),
            node_incarnation: Incarnation::new(1),
        };
        (member.id.clone(), Arc::new(member))
    });
    Members {
        version: MembersVersion::new(Term::new(1), 1),
        servers: members.collect(),
        quarantined: BTreeMap::new(),
    }
}

fn texts(versions: &[&str]) -> Vec<String> {
    versions.iter().map(ToString::to_string).collect()
}

#[test]
fn a_version_that_was_rolled_back_gets_no_calls_in_later_rollouts() {
    let versions = ["v1", "v2", "v3", "v4"];
    let mut log = Log::new();
    for bad in ["v2", "v3"] {
        log.order(bad);
        log.step(RolloutState::Running, Share::from_fraction(0.1));
        log.step(RolloutState::RolledBack, Share::ZERO);
    }
    log.order("v4");
    log.step(RolloutState::Running, Share::from_fraction(0.1));
    let [old, new] = log.versions_in_use(&versions);
    assert_eq!(old, texts(&["v1"]));
    assert_eq!(new, texts(&["v4"]));
    log.step(RolloutState::Completed, Share::FULL);
    let [old, new] = log.versions_in_use(&versions);
    assert_eq!(old, texts(&["v1"]));
    assert_eq!(new, texts(&["v4"]));
}

#[test]
fn a_version_that_was_rolled_back_gets_calls_again_if_it_is_ordered_again() {
    let mut log = Log::new();
    for version in ["v2", "v3"] {
        log.order(version);
        log.step(RolloutState::RolledBack, Share::ZERO);
    }
    log.order("v2");
    log.step(RolloutState::Running, Share::from_fraction(0.1));
    let [old, new] = log.versions_in_use(&["v1", "v2", "v3"]);
    assert_eq!(old, texts(&["v1"]));
    assert_eq!(new, texts(&["v2"]));
}

#[test]
fn a_completed_version_is_part_of_the_old_versions_of_the_next_rollout() {
    let mut log = Log::new();
    log.order("v2");
    log.step(RolloutState::Completed, Share::FULL);
    log.order("v3");
    let [old, new] = log.versions_in_use(&["v1", "v2", "v3"]);
    assert_eq!(old, texts(&["v1", "v2"]));
    assert_eq!(new, texts(&["v3"]));
}

#[test]
fn an_allowance_that_was_planned_from_an_older_state_is_refused() {
    let mut log = Log::new();
    log.order("v2");
    let rollout = log.store.rollouts()[&service()].clone();
    let server = ServerId {
        node: NodeId::try_from("node-8001").expect("a name"),
        address: ([127, 0, 0, 1], 8_001).into(),
    };
    let servers = [(server, Incarnation::new(1))];
    let first = rollout.allowance.extended(&servers, 10);
    let stale = rollout.allowance.extended(&servers, 20);
    let extend = |log: &mut Log, allowance: &RolloutAllowance| {
        let (id, allowance) = (rollout.id, allowance.clone());
        log.apply(Command::RolloutAllowance { id, allowance });
        log.store.rollouts()[&service()].allowance.clone()
    };
    assert_eq!(extend(&mut log, &first), first);
    assert_eq!(extend(&mut log, &stale), first, "of another leader");
    let smaller = RolloutAllowance {
        serial: 2,
        ..RolloutAllowance::default()
    };
    assert_eq!(extend(&mut log, &smaller), first, "takes calls back");
    let share = &log.store.config().rollouts()[&service()];
    assert_eq!(share.allowance.as_ref(), Some(&first), "nodes learn of it");
    log.step(RolloutState::RolledBack, Share::ZERO);
    let share = &log.store.config().rollouts()[&service()];
    let granted = share.allowance.as_ref().map(RolloutAllowance::granted);
    assert_eq!(granted, Some(0), "rolled back");
    let next = first.extended(&servers, 5);
    assert_eq!(extend(&mut log, &next), first, "after the end");
}
