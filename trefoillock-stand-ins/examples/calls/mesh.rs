//! The systems that are compared: a mesh, and a naive proxy with its own backend servers.

use std::{collections::BTreeMap, error::Error, net::SocketAddr};

use trefoillock_stand_ins::{
    backend_server::BackendServerConfig, naive_proxy::NaiveProxy, test_mesh::TestMesh,
};

const TABLES: &str = r#"{
  "routes": [
    { "name": "positions", "match": { "path_prefix": "/positions" },
      "class": "lookup", "pool": "desk-v1", "timeout_ms": 2000 },
    { "name": "claims", "match": { "path_prefix": "/claims" },
      "class": "posting", "pool": "desk-v1", "timeout_ms": 2000 },
    { "name": "exports", "match": { "path_prefix": "/exports" },
      "class": "export", "pool": "desk-v1", "timeout_ms": 10000 },
    { "name": "checks", "match": { "path_prefix": "/checks" },
      "class": "background", "pool": "desk-v1", "timeout_ms": 2000 }
  ],
  "pools": [{ "name": "desk-v1", "service": "treaty-desk", "version": "1",
              "policy": { "slots": 9, "connections": 120, "queue_ms": 100,
                          "slow_start_s": 0 } }]
}"#;

/// A mesh with an entry node and one node for each backend server, and a naive proxy for the same
/// number of its own backend servers.
pub(crate) struct ComparedSystems {
    pub(crate) ours: TestMesh,
    pub(crate) naive_servers: TestMesh,
    pub(crate) naive: NaiveProxy,
}

impl ComparedSystems {
    pub(crate) async fn start(
        server: &BackendServerConfig,
        count: usize,
    ) -> Result<Self, Box<dyn Error>> {
        let ours = start(server, count).await?;
        let naive_servers = start(server, count).await?;
        let addresses = (1..=count).filter_map(|at| naive_servers.server(at));
        let addresses: Vec<SocketAddr> = addresses.map(|server| server.address()).collect();
        let naive = NaiveProxy::start(addresses)?;
        Ok(Self {
            ours,
            naive_servers,
            naive,
        })
    }

    /// The address of a backend server for direct calls without a proxy.
    pub(crate) fn direct(&self) -> Result<SocketAddr, Box<dyn Error>> {
        let server = self.naive_servers.server(1).ok_or("no backend server")?;
        Ok(server.address())
    }
}

async fn start(server: &BackendServerConfig, count: usize) -> Result<TestMesh, Box<dyn Error>> {
    let hosts = std::iter::once(None).chain(std::iter::repeat_n(Some(server.clone()), count));
    let mesh = TestMesh::start(hosts.collect()).await?;
    mesh.publish(1, TABLES, BTreeMap::new());
    mesh.wait_until_ready().await;
    Ok(mesh)
}
