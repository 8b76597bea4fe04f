//! The distribution over real sockets: relays, redirects to the leader, a killed relay, and
//! delivery of evidence.

mod common;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;
use trefoillock_control::{
    ControlAgent, ControlInputs, ControlOutputs, ControlState, LeadershipRole, LocalEvidence,
    NodeAgent, NodeIdentity, NodeInputs, NodeOutputs,
};
use trefoillock_core::{
    Announcement, Config, ConfigVersion, CrashReport, Evidence, Fingerprint, Incarnation,
    MemberState, Members, MoveEvidence, MoveId, NodeId, PoolEvidence, ServerId, Term, Timestamp,
};
use trefoillock_process::BootInstant;
use trefoillock_rpc::{RpcServer, Token, TrafficCounter};

/// The time after which a test that still waits fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A lease that lasts longer than any test.
const LEASE: Duration = Duration::from_hours(1);

struct ControlReplica {
    address: SocketAddr,
    state: watch::Sender<ControlState>,
    _quarantined: watch::Sender<BTreeMap<Fingerprint, Timestamp>>,
    outputs: ControlOutputs,
    stop: CancellationToken,
}

impl ControlReplica {
    async fn start(role: LeadershipRole, config: Arc<Config>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let (state, state_rx) = watch::channel(ControlState {
            role,
            config,
            replicas: Vec::new(),
        });
        let (quarantined, quarantined_rx) = watch::channel(BTreeMap::new());
        let lease_end = BootInstant::now() + LEASE;
        let inputs = ControlInputs {
            state: state_rx,
            lease: watch::channel(Some(lease_end)).1,
            quarantined: quarantined_rx,
            departures: watch::channel(Arc::default()).1,
        };
        let (agent, outputs) = ControlAgent::new(address, inputs);
        let stop = CancellationToken::new();
        let server = agent.add_rpc_handlers(RpcServer::new(Token::new("t"), Arc::default()));
        tokio::spawn(server.serve(listener, stop.clone()));
        tokio::spawn(agent.run(stop.clone()));
        Self {
            address,
            state,
            _quarantined: quarantined,
            outputs,
            stop,
        }
    }

    fn set_config(&self, config: Arc<Config>) {
        self.state.send_modify(|state| state.config = config);
    }
}

struct Node {
    id: NodeId,
    outputs: NodeOutputs,
    announcements: watch::Sender<Vec<Announcement>>,
    evidence: mpsc::Sender<LocalEvidence>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    async fn start(number: u16, incarnation: u64, control: &[SocketAddr]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let id = NodeId::try_from(format!("node-{number}")).expect("a valid name");
        let identity = NodeIdentity {
            node: id.clone(),
            incarnation: Incarnation::new(incarnation),
            data_centre: "wa-west-a".try_into().expect("a valid name"),
            peer_address: address,
            mesh_address: address,
        };
        let server_address = SocketAddr::from(([127, 0, 0, 1], 9_000));
        let (announcements, announcements_rx) =
            watch::channel(vec![common::announcement(server_address, incarnation)]);
        let (evidence, evidence_rx) = mpsc::channel(8);
        let inputs = NodeInputs {
            announcements: announcements_rx,
            evidence: evidence_rx,
        };
        let (agent, outputs) = NodeAgent::new(
            identity,
            control.to_vec(),
            Token::new("t"),
            Arc::new(TrafficCounter::new()),
            inputs,
        );
        let stop = CancellationToken::new();
        let server = agent.add_rpc_handlers(RpcServer::new(Token::new("t"), Arc::default()));
        let serve = server.serve(listener, stop.clone());
        let tasks = vec![
            tokio::spawn(async move { serve.await.expect("the server failed") }),
            tokio::spawn(agent.run(stop)),
        ];
        Self {
            id,
            outputs,
            announcements,
            evidence,
            tasks,
        }
    }

    /// Aborts the tasks of the node without closing its connections in order.
    fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
    }

    async fn wait_config(&self, version: u64) {
        let version = ConfigVersion::new(version);
        let mut config = self.outputs.config.clone();
        wait(&mut config, |config| {
            config.as_ref().is_some_and(|c| c.version() == version)
        })
        .await;
    }

    async fn wait_members(&self, condition: impl FnMut(&Arc<Members>) -> bool) {
        wait(&mut self.outputs.members.clone(), condition).await;
    }
}

async fn wait<T>(rx: &mut watch::Receiver<T>, condition: impl FnMut(&T) -> bool) {
    let result = tokio::time::timeout(TEST_TIMEOUT, rx.wait_for(condition)).await;
    result.expect("timed out").expect("the sender was dropped");
}

const LEADING: LeadershipRole = LeadershipRole::Leading { term: Term::new(1) };

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_receive_versions_through_relays_redirects_and_a_killed_relay() {
    let mut leader = ControlReplica::start(LEADING, common::config(1)).await;
    let follower = ControlReplica::start(
        LeadershipRole::Following {
            leader: Some(leader.address),
        },
        common::config(1),
    )
    .await;
    let control = [follower.address];
    let mut nodes = Vec::new();
    for number in 0..8 {
        nodes.push(Node::start(number, 1, &control).await);
    }
    for node in &nodes {
        node.wait_config(1).await;
        node.wait_members(|members| members.servers.len() == 8)
            .await;
    }

    leader.set_config(common::config(5));
    for node in &nodes {
        node.wait_config(5).await;
    }
    wait(&mut leader.outputs.fleet, |status| {
        status.nodes == 8 && status.has_converged()
    })
    .await;
    wait(&mut leader.outputs.guards, |guards| guards.len() == 8).await;

    // The nodes that attach first are placed directly below the leader and relay for the others, so
    // the first node started is most likely a relay.
    let relay = nodes.remove(0);
    let lost = relay.id.clone();
    relay.kill();
    leader.set_config(common::config(6));
    for node in &nodes {
        node.wait_config(6).await;
        node.wait_members(|members| !members.servers.keys().any(|id| id.node == lost))
            .await;
    }
    wait(&mut leader.outputs.fleet, |status| {
        status.nodes == 7 && status.has_converged()
    })
    .await;

    nodes[3].announcements.send_modify(|announcements| {
        for announcement in announcements {
            announcement.state = MemberState::Draining;
        }
    });
    for node in &nodes {
        node.wait_members(|members| members.servers.values().filter(|m| m.is_up()).count() == 6)
            .await;
    }

    let restarted = Node::start(0, 2, &control).await;
    restarted.wait_config(6).await;
    restarted
        .wait_members(|members| members.servers.len() == 8)
        .await;

    check_evidence(&mut leader, &nodes).await;
    leader.stop.cancel();
    follower.stop.cancel();
}

async fn check_evidence(leader: &mut ControlReplica, nodes: &[Node]) {
    for node in nodes {
        let mut evidence = Evidence::default();
        let counts = PoolEvidence {
            calls: 10,
            ..PoolEvidence::default()
        };
        let move_evidence = MoveEvidence {
            old: counts.clone(),
            new: counts,
            ..MoveEvidence::default()
        };
        evidence.moves.insert(MoveId::new(3), move_evidence);
        let crash = CrashReport {
            fingerprint: Fingerprint::new(7),
            server: ServerId {
                node: node.id.clone(),
                address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
            },
            incarnation: Incarnation::new(1),
        };
        let local = LocalEvidence {
            evidence,
            crashes: vec![crash],
        };
        node.evidence.send(local).await.expect("the agent stopped");
    }
    let expected_calls = 10 * nodes.len() as u64;
    let mut calls = 0;
    while calls < expected_calls {
        let evidence = tokio::time::timeout(TEST_TIMEOUT, leader.outputs.evidence.recv()).await;
        let evidence = evidence.expect("timed out").expect("the agent stopped");
        let move_evidence = &evidence.moves[&MoveId::new(3)];
        assert_eq!(
            move_evidence.old, move_evidence.new,
            "the counts of both pools arrive together"
        );
        calls += move_evidence.old.calls;
    }
    assert_eq!(calls, expected_calls, "no count arrives twice");
    for _ in nodes {
        let crash = tokio::time::timeout(TEST_TIMEOUT, leader.outputs.crashes.recv()).await;
        assert!(crash.expect("timed out").is_some());
    }
}
