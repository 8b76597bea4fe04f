//! Departures of backend servers in the table store.

use trefoillock_core::{
    Announcement, ConfigVersion, DepartedRuns, Departure, DrainedRuns, Incarnation, InstanceId,
    LogIndex, Member, MemberState, NodeId, ServerId, ServerProcess,
};
use trefoillock_store::{Command, CommandAnswer, TableStore};

fn node(name: &str) -> NodeId {
    NodeId::try_from(name).expect("a name")
}

fn departure(id: &str, runs: DepartedRuns) -> Departure {
    let id = InstanceId::try_from(id).expect("a name");
    Departure {
        process: ServerProcess::Instance(id),
        runs,
    }
}

fn member(node_name: &str, id: &str, incarnation: u64) -> Member {
    let address = ([127, 0, 0, 1], 9_000).into();
    Member {
        id: ServerId {
            node: node(node_name),
            address,
        },
        announcement: Announcement {
            address,
            service: "s".try_into().expect("a name"),
            version: "1".try_into().expect("a name"),
            incarnation: Incarnation::new(incarnation),
            slots: 1,
            connections: 1,
            state: MemberState::Up,
            instance: Some(InstanceId::try_from(id).expect("a name")),
        },
        peer_address: address,
        data_centre: "a".try_into().expect("a name"),
        node_incarnation: Incarnation::new(1),
    }
}

/// Guards against departures that a snapshot loses, that make a new version of the configuration, or
/// that also cover other runs, backend servers or nodes.
#[test]
fn a_recorded_departure_is_kept_over_a_snapshot() {
    let mut store = TableStore::new();
    let mut record = |index: u64, id: &str, runs| {
        let command = Command::RecordDeparture {
            node: node("n"),
            departure: departure(id, runs),
        };
        let encoded = command.encode().expect("encoded");
        store.apply_encoded(LogIndex::new(index), &encoded)
    };
    let only = DepartedRuns::Only(Incarnation::new(7));
    assert_eq!(record(1, "i-1", only), CommandAnswer::Departure(true));
    assert_eq!(record(2, "i-1", only), CommandAnswer::Departure(false));
    let up_to = DepartedRuns::UpTo(Incarnation::new(7));
    assert_eq!(record(3, "i-2", up_to), CommandAnswer::Departure(true));
    assert_eq!(store.config().version(), ConfigVersion::ZERO);

    let mut restored = TableStore::new();
    restored.restore(&store.snapshot()).expect("a snapshot");
    for drained in [store.drained_runs(), restored.drained_runs()] {
        let has_left = |node, id, born| drained.contains(&member(node, id, born));
        assert!(has_left("n", "i-1", 7));
        assert!(!has_left("n", "i-1", 6) && !has_left("n", "i-1", 8));
        assert!(has_left("n", "i-2", 6) && has_left("n", "i-2", 7));
        assert!(!has_left("n", "i-2", 8));
        assert!(!has_left("n", "i-3", 7) && !has_left("m", "i-1", 7));
    }
}

/// Guards against a log whose state grows with each departure for good.
#[test]
fn the_oldest_departures_are_forgotten_first() {
    let mut drained = DrainedRuns::new();
    for incarnation in 1..=8_193 {
        let runs = DepartedRuns::Only(Incarnation::new(incarnation));
        assert!(drained.record(&node("n"), &departure("i-1", runs)));
    }
    assert!(!drained.contains(&member("n", "i-1", 1)));
    assert!(drained.contains(&member("n", "i-1", 2)));
    assert!(drained.contains(&member("n", "i-1", 8_193)));
}
