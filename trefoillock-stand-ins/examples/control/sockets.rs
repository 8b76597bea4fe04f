//! Measures a fleet whose processes are connected by real sockets, all in one process.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{StreamExt, future::join_all, stream};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};
use tokio_util::sync::CancellationToken;
use trefoillock_control::{
    ConfigUpdate, ControlAgent, ControlInputs, ControlState, LeadershipRole, NodeAgent,
    NodeIdentity, NodeInputs, NodeOutputs, Payload,
};
use trefoillock_core::{Config, ConfigVersion, Incarnation, Term};
use trefoillock_process::BootInstant;
use trefoillock_rpc::{RpcClient, RpcServer, Streaming, Token, TrafficCounter};
use trefoillock_stand_ins::fleet::sample;

use crate::{
    figures::{SocketFigures, Times},
    process::{processor_time, resident_bytes},
};

/// The number of services in the configuration.
const SERVICES: usize = 190;
const DATA_CENTRES: usize = 5;
/// The number of changes whose convergence is measured.
const CHANGES: u64 = 3;
/// How long an idle fleet is measured.
const IDLE_DURATION: Duration = Duration::from_secs(4);
/// The RPC path of the naive push.
const NAIVE_PATH: &str = "/naive/subscribe";
/// The timeout when waiting for a change to reach a node.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct Node {
    outputs: NodeOutputs,
    traffic: Arc<TrafficCounter>,
    _announcements: watch::Sender<Vec<trefoillock_core::Announcement>>,
    _evidence: mpsc::Sender<trefoillock_control::LocalEvidence>,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn config(version: u64, nodes: usize) -> Arc<Config> {
    sample::config(version, SERVICES, sample::guards(nodes))
}

pub(crate) async fn measure(nodes: usize) -> SocketFigures {
    let mut figures = SocketFigures {
        nodes,
        ..SocketFigures::default()
    };
    measure_ours(nodes, &mut figures).await;
    measure_naive(nodes, &mut figures).await;
    figures
}

/// A lease that lasts longer than the measurement.
const LEASE: Duration = Duration::from_hours(1);

async fn measure_ours(nodes: usize, figures: &mut SocketFigures) {
    let stop = CancellationToken::new();
    let (listener, address) = listen().await;
    let role = LeadershipRole::Leading { term: Term::new(1) };
    let (state, state_rx) = watch::channel(ControlState {
        role,
        config: config(1, nodes),
        replicas: Vec::new(),
    });
    let (_quarantined, quarantined_rx) = watch::channel(BTreeMap::new());
    let lease_end = BootInstant::now() + LEASE;
    let inputs = ControlInputs {
        state: state_rx,
        lease: watch::channel(Some(lease_end)).1,
        quarantined: quarantined_rx,
        departures: watch::channel(Arc::default()).1,
    };
    let (agent, outputs) = ControlAgent::new(address, inputs);
    let source_traffic = Arc::new(TrafficCounter::new());
    let server = agent.add_rpc_handlers(RpcServer::new(Token::none(), source_traffic.clone()));
    tokio::spawn(server.serve(listener, stop.clone()));
    tokio::spawn(agent.run(stop.clone()));

    let before = resident_bytes();
    let start = Instant::now();
    let mut fleet = Vec::new();
    for at in 0..nodes {
        fleet.push(start_node(at, address, &stop).await);
    }
    figures.cold_start = Times::of(wait_for_version(&fleet, 1, start).await);
    let mut status = outputs.fleet.clone();
    let joined = status.wait_for(|status| status.nodes as usize == nodes && status.has_converged());
    let have_all_joined = tokio::time::timeout(WAIT_TIMEOUT, joined)
        .await
        .is_ok_and(|found| found.is_ok());
    assert!(
        have_all_joined,
        "not all nodes joined and served the configuration in time"
    );
    tokio::time::sleep(Duration::from_secs(4)).await;
    figures.memory_per_node_bytes = resident_bytes().saturating_sub(before) / nodes as u64;

    let busy = processor_time();
    let sent: u64 = fleet.iter().map(|node| node.traffic.bytes_sent()).sum();
    tokio::time::sleep(IDLE_DURATION).await;
    let per_node = IDLE_DURATION.as_secs_f64() * nodes as f64;
    let busy = processor_time().saturating_sub(busy).as_secs_f64();
    figures.idle_core_percent_per_node = busy / per_node * 100.0;
    let sent_after: u64 = fleet.iter().map(|node| node.traffic.bytes_sent()).sum();
    figures.idle_sent_bytes_per_s = (sent_after - sent) as f64 / per_node;

    let mut times = Vec::new();
    let mut bytes = 0;
    for version in 2..2 + CHANGES {
        let config = config(version, nodes);
        let sent = source_traffic.bytes_sent();
        let start = Instant::now();
        state.send_modify(|state| state.config = config);
        times.extend(wait_for_version(&fleet, version, start).await);
        bytes += source_traffic.bytes_sent() - sent;
    }
    figures.change = Times::of(times);
    figures.source_bytes_per_change = bytes / CHANGES;
    stop.cancel();
}

async fn start_node(at: usize, control: SocketAddr, stop: &CancellationToken) -> Node {
    let (listener, address) = listen().await;
    let data_centre = format!("dc-{}", at % DATA_CENTRES);
    let identity = NodeIdentity {
        node: format!("vm-{at:04}").try_into().expect("a name"),
        incarnation: Incarnation::new(1),
        data_centre: data_centre.try_into().expect("a name"),
        peer_address: address,
        mesh_address: address,
    };
    let (announcements, announcements_rx) =
        watch::channel(vec![sample::announcement(at, 1, SERVICES)]);
    let (evidence, evidence_rx) = mpsc::channel(8);
    let inputs = NodeInputs {
        announcements: announcements_rx,
        evidence: evidence_rx,
    };
    let traffic = Arc::new(TrafficCounter::new());
    let (agent, outputs) = NodeAgent::new(
        identity,
        vec![control],
        Token::none(),
        traffic.clone(),
        inputs,
    );
    let server = agent.add_rpc_handlers(RpcServer::new(Token::none(), traffic.clone()));
    tokio::spawn(server.serve(listener, stop.clone()));
    tokio::spawn(agent.run(stop.clone()));
    Node {
        outputs,
        traffic,
        _announcements: announcements,
        _evidence: evidence,
    }
}

/// Waits for all nodes and returns the time from `start` until each serves a version.
async fn wait_for_version(fleet: &[Node], version: u64, start: Instant) -> Vec<Duration> {
    let version = ConfigVersion::new(version);
    let waits = fleet.iter().map(|node| {
        let mut config = node.outputs.config.clone();
        async move {
            let wanted = config.wait_for(|c| c.as_ref().is_some_and(|c| c.version() >= version));
            let _ = tokio::time::timeout(WAIT_TIMEOUT, wanted).await;
            start.elapsed()
        }
    });
    join_all(waits).await
}

/// Measures the naive baseline: on each change, the source encodes and sends the whole
/// configuration to each node.
async fn measure_naive(nodes: usize, figures: &mut SocketFigures) {
    let stop = CancellationToken::new();
    let (listener, address) = listen().await;
    let (state, state_rx) = watch::channel(config(1, nodes));
    let source_traffic = Arc::new(TrafficCounter::new());
    let server = RpcServer::new(Token::none(), source_traffic.clone()).streaming(
        NAIVE_PATH,
        move |_: Streaming<u64>| {
            let state = state_rx.clone();
            async move { Ok(push_stream(state)) }
        },
    );
    tokio::spawn(server.serve(listener, stop.clone()));
    let mut versions = Vec::new();
    for _ in 0..nodes {
        let (tx, rx) = watch::channel(ConfigVersion::ZERO);
        tokio::spawn(naive_node(address, tx, stop.clone()));
        versions.push(rx);
    }
    wait_for_naive_version(&versions, 1, Instant::now()).await;
    let mut times = Vec::new();
    let mut bytes = 0;
    for version in 2..2 + CHANGES {
        let config = config(version, nodes);
        let sent = source_traffic.bytes_sent();
        let start = Instant::now();
        state.send_replace(config);
        times.extend(wait_for_naive_version(&versions, version, start).await);
        bytes += source_traffic.bytes_sent() - sent;
    }
    figures.naive_change = Times::of(times);
    figures.naive_source_bytes_per_change = bytes / CHANGES;
    stop.cancel();
}

/// Sends the current configuration, and the newest one after a change, as encoded snapshots.
fn push_stream(
    mut state: watch::Receiver<Arc<Config>>,
) -> impl futures::Stream<Item = Result<Payload, trefoillock_rpc::Status>> {
    state.mark_changed();
    stream::unfold(state, |mut state| async move {
        state.changed().await.ok()?;
        let config = state.borrow_and_update().clone();
        let payload = Payload::encode(&ConfigUpdate::Snapshot(config.as_ref().clone()));
        Some((Ok(payload), state))
    })
}

async fn naive_node(
    address: SocketAddr,
    version: watch::Sender<ConfigVersion>,
    stop: CancellationToken,
) {
    let client = RpcClient::new(address, Token::none(), Arc::default());
    let no_requests = stream::pending::<u64>();
    let Ok(mut updates) = client
        .streaming::<_, Payload, _>(NAIVE_PATH, no_requests)
        .await
    else {
        return;
    };
    while let Some(Some(Ok(payload))) = stop.run_until_cancelled(updates.next()).await {
        if let Some(ConfigUpdate::Snapshot(config)) = payload.decode() {
            version.send_replace(config.version());
        }
    }
}

/// Waits for all naive nodes and returns the time from `start` until each has a version.
async fn wait_for_naive_version(
    versions: &[watch::Receiver<ConfigVersion>],
    wanted: u64,
    start: Instant,
) -> Vec<Duration> {
    let wanted = ConfigVersion::new(wanted);
    let waits = versions.iter().map(|version| {
        let mut version = version.clone();
        async move {
            let _ =
                tokio::time::timeout(WAIT_TIMEOUT, version.wait_for(|held| *held >= wanted)).await;
            start.elapsed()
        }
    });
    join_all(waits).await
}
