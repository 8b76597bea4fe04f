//! The role of a node: callers, other nodes, the backend server beside it, and the tree.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::sync::{mpsc, watch};
use tokio_util::task::TaskTracker;
use trefoillock_backend::BackendInterface;
use trefoillock_control::{LocalEvidence, NodeAgent, NodeIdentity, NodeInputs, NodeOutputs};
use trefoillock_core::{Error, Evidence, Incarnation};
use trefoillock_moves::LocalJudge;
use trefoillock_node::{CallLog, NodeContext, NodeView};
use trefoillock_process::{Event, NodeSettings};
use trefoillock_rpc::{RpcServer, Traffic};

use crate::{cx::Cx, metrics::CallLabels};

/// The time between two reports of evidence.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two reports of service-level counts.
const BURN_INTERVAL: Duration = Duration::from_secs(10);
/// The number of reports that wait for the link to the tree.
const EVIDENCE_QUEUE: usize = 16;

/// A running node.
pub(crate) struct NodeRole {
    serving: TaskTracker,
    view: Arc<NodeView>,
}

impl NodeRole {
    /// Opens the sockets of the node and starts its tasks.
    pub(crate) async fn start(cx: &Cx, settings: &NodeSettings) -> Result<Self, Error> {
        let callers = cx.listen(settings.callers).await?;
        let peers = cx.listen(settings.peers).await?;
        let mesh = cx.listen(settings.mesh).await?;
        let backend = cx.listen(settings.backend).await?;
        cx.health.node_waits.store(true, Ordering::Relaxed);

        let edges = &cx.edges;
        let interface =
            BackendInterface::with(cx.clock, edges.announcement_lease(), edges.dialect());
        let interface = Arc::new(interface);
        let incarnation = Incarnation::new(cx.clock.now().as_micros());
        let (name, data_centre) = (cx.settings.name.clone(), cx.settings.data_centre.clone());
        let call_log = CallLog::new(cx.settings.log.format, edges.request_id_header());
        let node = NodeContext::new(
            name.clone(),
            incarnation,
            data_centre.clone(),
            cx.token.clone(),
            cx.clock,
            interface.servers(),
        );
        let node = Arc::new(node.with_calls(cx.settings.calls).with_call_log(call_log));
        let (evidence_tx, evidence) = mpsc::channel(EVIDENCE_QUEUE);
        let traffic = Arc::new(Traffic::new());
        let identity = NodeIdentity {
            node: name,
            incarnation,
            data_centre,
            peer_address: settings.peers,
            mesh_address: settings.mesh,
        };
        let inputs = NodeInputs {
            announcements: interface.subscribe(),
            evidence,
        };
        let control = settings.control.clone();
        let (agent, outputs) =
            NodeAgent::new(identity, control, cx.token.clone(), traffic.clone(), inputs);
        let server = RpcServer::new(cx.token.clone(), traffic.clone());
        let server = agent.rpc_routes(server);

        let serving = TaskTracker::new();
        serving.spawn(edges.serve_callers(callers, node.clone(), cx.close.clone()));
        serving.spawn(trefoillock_node::serve_peer(
            peers,
            node.clone(),
            cx.close.clone(),
        ));
        cx.spawn_server("mesh", server.serve(mesh, cx.finish.clone()));
        let backend = edges.serve_backend(backend, interface.clone(), cx.finish.clone());
        cx.spawn_server("backend", backend);
        cx.tasks.spawn(agent.run(cx.finish.clone()));
        let view = node.view().clone();
        let pump = Pump {
            cx: cx.clone(),
            node,
            traffic,
        };
        let confirmed = outputs.confirmed_round.clone();
        cx.tasks.spawn(pump.clone().follow(outputs));
        cx.tasks.spawn(pump.report(evidence_tx, confirmed));
        let announcements = watch_announcements(cx.clone(), interface);
        cx.tasks.spawn(announcements);
        Ok(Self { serving, view })
    }

    /// What the node holds.
    pub(crate) fn view(&self) -> Arc<NodeView> {
        self.view.clone()
    }

    /// Waits until the calls in flight have ended after the stop began.
    pub(crate) async fn drained(self) {
        self.serving.close();
        self.serving.wait().await;
    }
}

/// Carries configuration and members to the calls, and evidence to the tree.
#[derive(Clone)]
struct Pump {
    cx: Cx,
    node: Arc<NodeContext>,
    traffic: Arc<Traffic>,
}

impl Pump {
    /// Takes over each newer configuration and list of members.
    async fn follow(self, mut outputs: NodeOutputs) {
        outputs.config.mark_changed();
        outputs.members.mark_changed();
        loop {
            tokio::select! {
                () = self.cx.finish.cancelled() => return,
                () = self.cx.stop.cancelled(), if !self.is_stopping() => {
                    self.cx.health.stopping.store(true, Ordering::Relaxed);
                }
                Ok(()) = outputs.members.changed() => {
                    let members = outputs.members.borrow_and_update().clone();
                    self.node.view().set_members(members);
                }
                Ok(()) = outputs.config.changed() => {
                    let config = outputs.config.borrow_and_update().clone();
                    if let Some(config) = config {
                        self.take(config);
                    }
                }
                else => return,
            }
        }
    }

    fn is_stopping(&self) -> bool {
        self.cx.health.stopping.load(Ordering::Relaxed)
    }

    fn take(&self, config: Arc<trefoillock_core::Config>) {
        let version = config.version();
        let (routes, pools) = (
            config.tables().routes().len(),
            config.tables().pools().len(),
        );
        if self.node.view().set_config(config) {
            self.cx.health.node_waits.store(false, Ordering::Relaxed);
            self.cx.metrics.config_version.set(version.get());
            let fields: [(&str, &dyn std::fmt::Display); 3] = [
                ("version", &version),
                ("routes", &routes),
                ("pools", &pools),
            ];
            self.cx.events.write(Event::ConfigTaken, &fields);
        }
    }

    /// Reports evidence on moves often and service-level counts seldom.
    async fn report(
        self,
        evidence: mpsc::Sender<LocalEvidence>,
        mut confirmed: watch::Receiver<u64>,
    ) {
        let mut counts = Evidence::default();
        let mut counted = self.cx.clock.now();
        let mut judge = LocalJudge::new();
        let mut tick = tokio::time::interval(EVIDENCE_INTERVAL);
        while self
            .cx
            .finish
            .run_until_cancelled(tick.tick())
            .await
            .is_some()
        {
            let drained = self.node.recorder().drain();
            counts.merge(&Evidence {
                service_levels: drained.service_levels,
                ..Evidence::default()
            });
            let mut report = Evidence {
                moves: drained.moves,
                ..Evidence::default()
            };
            if confirmed.has_changed().unwrap_or(false) {
                confirmed.mark_unchanged();
                judge.confirm(self.cx.clock.now());
            }
            self.cut(&mut judge, &mut report);
            let now = self.cx.clock.now();
            if now.since(counted) >= BURN_INTERVAL {
                counted = now;
                report.merge(&std::mem::take(&mut counts));
            }
            let crashes = self.node.recorder().drain_crashes();
            self.measure();
            if !report.is_empty() || !crashes.is_empty() {
                // A full queue means that the link is stuck; the counts are then lost, which
                // only delays decisions.
                let _ = evidence.try_send(LocalEvidence {
                    evidence: report,
                    crashes,
                });
            }
        }
    }

    /// Cuts new pools that are bad on this node's own evidence, and reports each cut once.
    fn cut(&self, judge: &mut LocalJudge, report: &mut Evidence) {
        let Some(config) = self.node.view().config() else {
            return;
        };
        judge.apply(&config);
        for id in judge.judge(report) {
            if let Some(evidence) = report.moves.get_mut(&id) {
                evidence.local_cuts = 1;
            }
            let route = config.moves().iter().find(|(_, share)| share.id == id);
            let route = route.map_or_else(String::new, |(route, _)| route.to_string());
            let fields: [(&str, &dyn std::fmt::Display); 2] = [("route", &route), ("move", &id)];
            self.cx.events.write(Event::LocalCut, &fields);
        }
        let moves = config.moves().values().map(|share| share.id);
        let unsupervised = judge.is_unsupervised(self.cx.clock.now());
        let cuts = moves.filter(|id| unsupervised || judge.cut(*id)).collect();
        self.node.recorder().set_cuts(cuts);
    }

    /// Brings the metrics up to date.
    fn measure(&self) {
        self.cx.metrics.control_sent.set(self.traffic.sent());
        self.cx
            .metrics
            .control_received
            .set(self.traffic.received());
        for row in self.node.recorder().totals() {
            let outcomes = [
                ("answered", row.counts.answered),
                ("did-not-run", row.counts.did_not_run),
                ("may-have-run", row.counts.may_have_run),
            ];
            for (outcome, count) in outcomes {
                let labels = CallLabels {
                    route: row.route.to_string(),
                    class: row.class.as_str().to_owned(),
                    outcome: outcome.to_owned(),
                };
                self.cx.metrics.calls.get_or_create(&labels).set(count);
            }
        }
    }
}

/// Writes an event for each change of the backend servers beside the node.
async fn watch_announcements(cx: Cx, interface: Arc<BackendInterface>) {
    let mut list = interface.subscribe();
    let mut held = Vec::new();
    while let Some(Ok(())) = cx.finish.run_until_cancelled(list.changed()).await {
        let now = list.borrow_and_update().clone();
        for server in now.iter().filter(|server| !held.contains(*server)) {
            let state = format!("{:?}", server.state).to_lowercase();
            let fields: [(&str, &dyn std::fmt::Display); 4] = [
                ("address", &server.address),
                ("service", &server.service),
                ("version", &server.version),
                ("state", &state),
            ];
            cx.events.write(Event::ServerAnnounced, &fields);
        }
        let gone = held.iter().filter(|old: &&trefoillock_core::Announcement| {
            !now.iter().any(|server| server.address == old.address)
        });
        for server in gone {
            cx.events
                .write(Event::ServerLost, &[("address", &server.address)]);
        }
        held = now;
    }
}
