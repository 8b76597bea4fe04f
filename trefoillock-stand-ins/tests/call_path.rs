//! Calls over HTTP/1.1 and HTTP/2 pass through the entry node and the destination node to a backend
//! server and back.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use trefoillock_core::{Config, ConfigVersion, Outcome, RawTables, Tables};
use trefoillock_rpc::Token;
use trefoillock_stand_ins::{
    backend_server::{BackendServer, BackendServerConfig, RunCounter},
    caller::{Caller, CallerRequest},
    mesh_node::{MeshNode, members, publish},
};

/// The timeout of calls and stops, so that a hanging test fails.
const HANG_GUARD: Duration = Duration::from_secs(20);

const TABLES: &str = r#"{
  "routes": [
    { "name": "positions", "match": { "path_prefix": "/positions" },
      "class": "lookup", "pool": "desk-v1", "timeout_ms": 5000 },
    { "name": "claims", "match": { "path_prefix": "/claims", "method": "POST" },
      "class": "posting", "pool": "desk-v1", "timeout_ms": 5000 }
  ],
  "pools": [{ "name": "desk-v1", "service": "treaty-desk", "version": "1" }]
}"#;

fn config() -> Arc<Config> {
    let raw = RawTables::from_json(TABLES).expect("valid JSON");
    let tables = Tables::try_from(raw).expect("valid tables");
    let version = ConfigVersion::new(1);
    let config = Config::new(version, version, tables, BTreeMap::new(), BTreeMap::new());
    Arc::new(config.expect("a valid configuration"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_answered_through_both_nodes() {
    let run_counter = RunCounter::new();
    let server_config = BackendServerConfig::new("treaty-desk", "1").expect("valid names");
    let server = BackendServer::start(server_config, run_counter.clone())
        .await
        .expect("a socket");
    let token = Token::new("secret");
    let mut entry = MeshNode::start("node-a", token.clone(), 1).expect("a node");
    let mut destination = MeshNode::start("node-b", token, 1).expect("a node");
    let announcement = server.announcement();
    destination
        .registry()
        .announce(announcement.clone())
        .expect("announced");
    let list = Arc::new(members(1, [destination.member(announcement)]));
    publish([&entry, &destination], &config(), &list);

    for caller in [Caller::new(HANG_GUARD), Caller::http2(HANG_GUARD)] {
        for node in [&entry, &destination] {
            let id = format!("lookup-{}-{}", run_counter.total(), node.id());
            let request = CallerRequest::get(format!("/positions/{id}?bytes=100000"), &id);
            let report = caller.call(node.caller_address(), &request).await;
            assert_eq!(report.outcome, Outcome::Answered, "{report:?}");
            assert!(!report.wrong && !report.truncated, "{report:?}");
            assert_eq!(run_counter.runs(&id), 1);
            let id = format!("claim-{}-{}", run_counter.total(), node.id());
            let request = CallerRequest::post(format!("/claims/{id}"), &id, vec![7; 5_000]);
            let report = caller.call(node.caller_address(), &request).await;
            assert_eq!(report.outcome, Outcome::Answered, "{report:?}");
            assert!(!report.wrong, "{report:?}");
            assert_eq!(run_counter.runs(&id), 1);
        }
    }
    let nowhere = CallerRequest::get("/nowhere", "x");
    let report = Caller::new(HANG_GUARD)
        .call(entry.caller_address(), &nowhere)
        .await;
    assert_eq!(report.outcome, Outcome::DidNotRun);
    assert_eq!(report.reason.as_deref(), Some("no-route"));
    tokio::time::timeout(HANG_GUARD, async {
        entry.stop().await;
        destination.stop().await;
    })
    .await
    .expect("a graceful stop ends");
}
