//! A deployment with three core machines and some nodes with upstreams beside them.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::Duration,
};

use crate::system::*;

pub struct Mesh {
    pub nodes: Vec<(u8, Machine)>,
    pub controls: Vec<Machine>,
    pub deployment: Deployment,
}

impl Mesh {
    /// Starts `cores` machines of the core and the nodes; `nodes` holds the machine and the service of each.
    pub fn start(record: &Record, tolerated: u32, cores: u8, config: &str, nodes: &[(u8, &str)]) -> Outcome<Self> {
        let deployment = Deployment::new(tolerated)?;
        let mut controls = Vec::new();
        for host in 1..=cores {
            controls.push(deployment.control(host, true)?);
        }
        let mut started = Vec::new();
        for (host, service) in nodes {
            started.push((*host, deployment.node(*host, service)?));
        }
        let mesh = Self { nodes: started, controls, deployment };
        let first = order(record, &mesh.admins(), "POST", "/-/Config.Replace", config, Duration::from_secs(30));
        if first.is_none_or(|answer| answer.status != 200) {
            return Err(CannotRun("the first configuration was not accepted".to_owned()));
        }
        Ok(mesh)
    }

    pub fn admins(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(|m| m.address(ADMIN)).collect()
    }

    pub fn node(&self, host: u8) -> &Machine {
        let found = self.nodes.iter().find(|(other, _)| *other == host);
        &found.expect("a node of the mesh").1
    }

    pub fn entry(&self, host: u8) -> SocketAddr {
        self.node(host).address(OUTBOUND)
    }

    pub fn upstream(
        &self,
        record: &Record,
        host: u8,
        service: &str,
        version: &str,
        slots: u32,
        handler: Arc<Handler>,
    ) -> Outcome<Arc<Upstream>> {
        let address = (self.deployment.ip(host), APP).into();
        let up = Upstream::start(record, address, &format!("i-{host}"), service, version, slots, handler)?;
        up.keep_beating(self.node(host).address(ADMIN));
        Ok(up)
    }

    /// Waits until a request is answered with 200 at each of the nodes.
    pub fn wait_until_served(&self, hosts: &[u8], call: &dyn Fn(&str) -> Vec<u8>) -> Outcome<()> {
        for host in hosts {
            let entry = self.entry(*host);
            let mut number = 0;
            let served = eventually(Duration::from_secs(20), || {
                number += 1;
                let bytes = call(&format!("warm-{host}-{number}"));
                exchange(entry, &bytes, Duration::from_secs(3)).is_ok_and(|a| a.status == 200)
            });
            if !served {
                return Err(CannotRun(format!("the node on machine {host} does not serve")));
            }
        }
        thread::sleep(Duration::from_secs(1));
        Ok(())
    }

    /// Which machine of the core answers orders by itself.
    pub fn leader(&self) -> Option<usize> {
        let read = request("GET", "/-/Config.Get", "control", "", "");
        (0..self.controls.len()).find(|at| {
            let address = self.controls[*at].address(ADMIN);
            exchange(address, &read, Duration::from_secs(1)).is_ok_and(|a| a.status == 200)
        })
    }
}
