//! Configurations and announcements for the tests.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use trefoillock_core::{
    Announcement, Config, ConfigVersion, Incarnation, MemberState, RawTables, Tables,
};

/// Returns a configuration with two routes whose content depends on its version.
pub(crate) fn config(version: u64) -> Arc<Config> {
    let timeout = 100 + version % 1_000;
    let json = format!(
        r#"{{"routes": [
            {{"name": "positions", "match": {{"path_prefix": "/positions"}}, "class": "lookup",
              "pool": "desk", "timeout_ms": {timeout}}},
            {{"name": "claims", "match": {{"path_prefix": "/claims"}}, "class": "posting",
              "pool": "claims-{parity}", "timeout_ms": 900}}],
          "pools": [
            {{"name": "desk", "service": "treaty-desk", "version": "1"}},
            {{"name": "claims-{parity}", "service": "claims-hub", "version": "{parity}"}}]}}"#,
        parity = version % 2,
    );
    let raw = RawTables::from_json(&json).expect("valid JSON");
    let tables = Tables::try_from(raw).expect("valid tables");
    let version = ConfigVersion::new(version);
    let config = Config::new(version, version, tables, BTreeMap::new(), BTreeMap::new());
    Arc::new(config.expect("a consistent configuration"))
}

/// Returns the announcement of a backend server that is up.
pub(crate) fn announcement(address: SocketAddr, incarnation: u64) -> Announcement {
    Announcement {
        address,
        service: "treaty-desk".try_into().expect("a valid name"),
        version: "1".try_into().expect("a valid name"),
        incarnation: Incarnation::new(incarnation),
        slots: 9,
        connections: 120,
        state: MemberState::Up,
        instance: None,
    }
}
