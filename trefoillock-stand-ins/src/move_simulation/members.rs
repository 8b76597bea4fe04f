//! The tables, moves and members of the simulation.

use std::{sync::Arc, time::Duration};

use trefoillock_core::{
    Announcement, DataCentre, Incarnation, Member, MemberState, Members, Move, MoveId, MoveState,
    NodeId, RawTables, ServerId, ServiceName, Share, Tables, Timestamp, VersionLabel,
};

use super::{model::MEAN_LATENCY_S, scenario::Scenario};

/// The number of nodes.
pub(crate) const NODES: usize = 12;
/// The number of backend servers of the new version.
pub(crate) const NEW_SERVERS: usize = 6;
/// The number of routes of the service.
pub(crate) const ROUTES: usize = 4;
/// The index of the route that carries postings.
pub(crate) const POSTING_ROUTE: usize = 3;
/// The fraction of the new pool's capacity that all routes need together.
pub(crate) const FULL_LOAD: f64 = 0.7;

const TABLES: &str = r#"{
  "routes": [
    { "name": "route-0", "match": { "path_prefix": "/0" }, "class": "lookup",
      "pool": "desk-v2", "timeout_ms": 800 },
    { "name": "route-1", "match": { "path_prefix": "/1" }, "class": "lookup",
      "pool": "desk-v2", "timeout_ms": 800 },
    { "name": "route-2", "match": { "path_prefix": "/2" }, "class": "export",
      "pool": "desk-v2", "timeout_ms": 800 },
    { "name": "route-3", "match": { "path_prefix": "/3" }, "class": "posting",
      "pool": "desk-v2", "timeout_ms": 800 }],
  "pools": [{ "name": "desk-v1", "service": "treaty-desk", "version": "1" },
            { "name": "desk-v2", "service": "treaty-desk", "version": "2" }]
}"#;

/// Parses the tables after the edit that starts the moves.
///
/// # Panics
///
/// Panics if the fixed tables are not valid.
pub(crate) fn tables() -> Tables {
    let raw = RawTables::from_json(TABLES).expect("the fixed tables are valid JSON");
    Tables::try_from(raw).expect("the fixed tables are valid")
}

/// Creates the moves that the edit starts, one for each route.
pub(crate) fn moves(tables: &Tables, now: Timestamp, deadline: Duration) -> Vec<Move> {
    let from = tables.pools().keys().next().expect("two pools");
    let to = tables.pools().keys().nth(1).expect("two pools");
    let new_move = |(number, route): (u64, _)| Move {
        id: MoveId::new(number),
        route: Clone::clone(route),
        from: from.clone(),
        to: to.clone(),
        deadline: now + deadline,
        started: now,
        state: MoveState::WaitingForServers,
        share: Share::ZERO,
        step: 0,
        stepped: now,
        evidence: String::new(),
    };
    (0..).zip(tables.routes().keys()).map(new_move).collect()
}

/// The number of slots of one new backend server, so that all calls need [`FULL_LOAD`] of the pool.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn slots(scenario: &Scenario) -> u32 {
    let busy = f64::from(scenario.rate) * ROUTES as f64 * MEAN_LATENCY_S;
    (busy / FULL_LOAD / NEW_SERVERS as f64).ceil().max(1.0) as u32
}

/// Creates the list of members from the new backend servers that are up, given as index and
/// incarnation.
pub(crate) fn members(scenario: &Scenario, up: &[(usize, u64)]) -> Members {
    let mut members = Members::default();
    for (server, incarnation) in up {
        let member = member(*server, *incarnation, slots(scenario));
        members.servers.insert(member.id.clone(), Arc::new(member));
    }
    members
}

fn member(server: usize, incarnation: u64, slots: u32) -> Member {
    let port = 9_000 + u16::try_from(server).unwrap_or(0);
    let address = ([127, 0, 0, 1], port).into();
    let announcement = Announcement {
        address,
        service: ServiceName::try_from("treaty-desk").expect("valid name"),
        version: VersionLabel::try_from("2").expect("valid name"),
        incarnation: Incarnation::new(incarnation),
        slots,
        connections: slots * 10,
        state: MemberState::Up,
        instance: None,
    };
    Member {
        id: ServerId {
            node: NodeId::try_from(format!("node-{server}")).expect("valid name"),
            address,
        },
        announcement,
        peer_address: address,
        data_centre: DataCentre::try_from("wa-west-a").expect("valid name"),
        node_incarnation: Incarnation::new(1),
    }
}
