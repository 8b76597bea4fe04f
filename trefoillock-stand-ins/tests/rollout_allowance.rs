//! Calls of a service whose new version may get a few of them only: none is lost, none is one too many.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use trefoillock_core::{
    Config, ConfigVersion, GuardTable, Incarnation, MoveId, RawTables, RolloutAllowance,
    RolloutShare, ServerId, ServiceName, Share, Tables, VersionLabel,
};
use trefoillock_stand_ins::{
    backend_server::BackendServerConfig,
    caller::{Caller, CallerRequest},
    test_mesh::TestMesh,
};

/// The timeout of calls and waits, so that a hanging test fails.
const HANG_GUARD: Duration = Duration::from_secs(30);

const TABLES: &str = r#"{
  "routes": [
    { "name": "premiums", "match": { "path_prefix": "/premiums" },
      "class": "posting", "pool": "ledger", "timeout_ms": 10000 },
    { "name": "balances", "match": { "path_prefix": "/balances" },
      "class": "lookup", "pool": "ledger", "timeout_ms": 10000 }
  ],
  "pools": [{ "name": "ledger", "service": "premium-ledger" }]
}"#;

/// The index of the entry node, and of those with servers of the old and the new version.
const ENTRY: usize = 0;
const OLD: [usize; 2] = [1, 2];
const NEW: [usize; 2] = [3, 4];

fn service() -> ServiceName {
    ServiceName::try_from("premium-ledger").expect("a name")
}

async fn start_mesh() -> TestMesh {
    let server =
        |version| Some(BackendServerConfig::new("premium-ledger", version).expect("valid names"));
    let servers = vec![None, server("v1"), server("v1"), server("v2"), server("v2")];
    let mesh = TestMesh::start(servers).await.expect("a mesh");
    mesh.publish(1, TABLES, BTreeMap::new());
    mesh.wait_until_ready().await;
    mesh
}

/// Gives hosts a configuration in which version v2 gets all calls, or `calls` of them if they are limited.
fn publish(mesh: &TestMesh, hosts: &[usize], version: u64, calls: Option<u64>) {
    let allowance = calls.map(|calls| {
        let servers = NEW.map(|at| {
            let server = mesh.server(at).expect("a server");
            let node = mesh.hosts()[at].node.id().clone();
            let address = server.address();
            (ServerId { node, address }, Incarnation::new(1))
        });
        RolloutAllowance::default().extended(&servers, calls)
    });
    let rollout = RolloutShare {
        id: MoveId::new(1),
        step: u32::try_from(version).expect("a small number"),
        version: VersionLabel::try_from("v2").expect("a name"),
        share: Share::FULL,
        rejected: Vec::new(),
        allowance,
    };
    let raw = RawTables::from_json(TABLES).expect("valid JSON");
    let tables = Tables::try_from(raw).expect("valid tables");
    let version = ConfigVersion::new(version);
    let config = Config::new(
        version,
        version,
        tables,
        BTreeMap::new(),
        GuardTable::default(),
    );
    let config = config.expect("a valid configuration");
    let config = Arc::new(config.with_rollouts(BTreeMap::from([(service(), rollout)])));
    for at in hosts {
        let cx = mesh.hosts()[*at].node.context().clone();
        cx.apply_config(&config).expect("a newer one");
    }
}

/// Sends calls one after the other; each must be answered. Returns how many the old and the new version got.
async fn send(mesh: &TestMesh, calls: usize, body: &str) -> (u64, u64) {
    let count = |servers: [usize; 2]| -> u64 {
        let received = servers.map(|at| mesh.server(at).expect("a server").received_calls());
        received.iter().sum()
    };
    let before = (count(OLD), count(NEW));
    let caller = Caller::new(HANG_GUARD);
    for at in 0..calls {
        let id = format!("call-{at}");
        let request = if at % 2 == 0 {
            CallerRequest::post("/premiums/17", id, body.to_owned())
        } else {
            CallerRequest::get("/balances/17", id)
        };
        let report = caller.call(mesh.caller_address(ENTRY), &request).await;
        assert!(!report.wrong, "{report:?}");
        assert_eq!(report.status.map(|status| status.as_u16()), Some(200));
    }
    (count(OLD) - before.0, count(NEW) - before.1)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_without_allowance_left_leaves_its_calls_to_the_old_versions() {
    let mesh = start_mesh().await;
    publish(&mesh, &[0, 1, 2, 3, 4], 2, Some(7));
    assert_eq!(send(&mesh, 20, "entry").await, (13, 7));
    publish(&mesh, &[0, 1, 2, 3, 4], 3, None);
    assert_eq!(send(&mesh, 20, "entry").await, (0, 20), "completed");
    mesh.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_node_that_is_ahead_does_not_make_a_version_exceed_its_allowance() {
    let mesh = start_mesh().await;
    publish(&mesh, &[ENTRY], 2, Some(7));
    assert_eq!(send(&mesh, 10, "entry").await, (10, 0), "not granted yet");
    publish(&mesh, &NEW, 2, Some(4));
    publish(&mesh, &[ENTRY], 3, Some(9));
    assert_eq!(send(&mesh, 10, "entry").await, (6, 4));
    publish(&mesh, &[ENTRY], 4, None);
    assert_eq!(send(&mesh, 10, "entry").await, (0, 10), "completed");
    mesh.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_cannot_be_sent_again_goes_to_the_old_versions() {
    let mesh = start_mesh().await;
    publish(&mesh, &[0, 1, 2, 3, 4], 2, Some(20));
    let body = "x".repeat(200 * 1024);
    assert_eq!(send(&mesh, 10, &body).await, (5, 5));
    mesh.stop().await;
}
