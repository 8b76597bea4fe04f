//! Generates configurations, guards and announcements for a fleet of a given size.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
};

use trefoillock_core::{
    Announcement, Config, ConfigVersion, DataCentre, GUARDS_PER_SLOT, Guard, GuardSet, GuardSlot,
    GuardTable, Incarnation, MemberState, RawMatch, RawPool, RawPoolPolicy, RawRoute, RawTables,
    ServerId, Tables,
};

use super::location;

/// The address of the backend server beside a node, as that node sees it.
const SERVER_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9_000));
/// The number of routes of a service.
const ROUTES_PER_SERVICE: usize = 3;
/// The number of pools of a service: the old version and the new one.
const POOLS_PER_SERVICE: usize = 2;

/// Generates a configuration of `services` services. The version selects the one route that has a
/// longer timeout, so that successive versions differ.
///
/// # Panics
///
/// Does not panic, because the tables are valid.
#[must_use]
pub fn config(version: u64, services: usize, guards: GuardTable) -> Arc<Config> {
    let mut raw = RawTables::default();
    for service in 0..services {
        for pool in 0..POOLS_PER_SERVICE {
            raw.pools.push(raw_pool(service, pool));
        }
        for route in 0..ROUTES_PER_SERVICE {
            let changed = version % (services * ROUTES_PER_SERVICE) as u64;
            let number = (service * ROUTES_PER_SERVICE + route) as u64;
            raw.routes
                .push(raw_route(service, route, number == changed));
        }
    }
    let tables = Tables::try_from(raw).expect("valid tables");
    let version = ConfigVersion::new(version);
    let config = Config::new(version, version, tables, BTreeMap::new(), guards);
    Arc::new(config.expect("a consistent configuration"))
}

fn raw_pool(service: usize, pool: usize) -> RawPool {
    RawPool {
        name: format!("service-{service:03}-v{pool}"),
        service: format!("service-{service:03}"),
        version: Some(format!("v{pool}")),
        policy: RawPoolPolicy::default(),
        health_path: None,
    }
}

fn raw_route(service: usize, route: usize, changed: bool) -> RawRoute {
    let class = ["lookup", "posting", "export"][route % 3];
    RawRoute {
        name: format!("service-{service:03}-{class}"),
        matches: RawMatch {
            host: Some(format!("service-{service:03}.mesh.example")),
            path_prefix: format!("/{class}"),
            method: None,
        },
        class: class.to_owned(),
        pool: format!("service-{service:03}-v0"),
        timeout_ms: if changed { 900 } else { 800 },
        target: None,
        move_deadline: None,
        split: Vec::new(),
        max_attempts: None,
        priority: None,
        allow_anonymous: false,
    }
}

/// Generates the guards of all slots, spread over `nodes` nodes.
#[must_use]
pub fn guards(nodes: usize) -> GuardTable {
    let set = |slot: GuardSlot| {
        let first = usize::from(slot.get()) * GUARDS_PER_SLOT;
        let guards = (first..first + GUARDS_PER_SLOT).map(|at| guard(at % nodes.max(1)));
        GuardSet {
            epoch: 1,
            previous_epoch: 0,
            guards: guards.collect(),
            previous: Vec::new(),
            lost_at: None,
        }
    };
    GuardSlot::all().map(|slot| (slot, set(slot))).collect()
}

fn guard(at: usize) -> Guard {
    Guard {
        node: location::node_name(at),
        incarnation: Incarnation::new(1),
        peer_address: location::node_address(at),
        data_centre: DataCentre::try_from("dc-0").unwrap_or_else(|_| unreachable!("a valid name")),
    }
}

/// The announcement of the backend server beside a node.
///
/// # Panics
///
/// Does not panic, because the names are valid.
#[must_use]
pub fn announcement(node: usize, incarnation: u64, services: usize) -> Announcement {
    let service = node % services.max(1);
    Announcement {
        address: SERVER_ADDRESS,
        service: format!("service-{service:03}")
            .try_into()
            .expect("a valid name"),
        version: "v0".try_into().expect("a valid name"),
        incarnation: Incarnation::new(incarnation),
        slots: 9,
        connections: 120,
        state: MemberState::Up,
        instance: None,
    }
}

/// The identity of the backend server beside a node.
#[must_use]
pub fn server_id(node: usize) -> ServerId {
    ServerId {
        node: location::node_name(node),
        address: SERVER_ADDRESS,
    }
}
