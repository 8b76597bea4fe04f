//! The role of a node: serves callers, other nodes and the backend servers beside it, and takes
//! part in the distribution tree.
//!
//! From the tree the node receives configurations and member lists; to the tree it reports evidence
//! on moves, service-level counts and crashes.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::{
    sync::{broadcast::error::RecvError, mpsc, watch},
    time::Instant,
};
use tokio_util::task::TaskTracker;
use trefoillock_backend::{BackendRegistry, DepartureLog, LocalServers, ServerChange, ServerEvent};
use trefoillock_control::{
    Confirmation, DepartureRecorder, LocalEvidence, NodeAgent, NodeIdentity, NodeInputs,
    NodeOutputs,
};
use trefoillock_core::{CallRate, Departure, Error, Evidence, Incarnation, Members};
use trefoillock_moves::LocalAnalysis;
use trefoillock_node::{CallLog, NodeContext, NodeView, QuotaEvent, WorkspaceSeriesChooser};
use trefoillock_policy::VersionCalls;
use trefoillock_process::{Event, NodeSettings};
use trefoillock_rpc::{RpcServer, TrafficCounter};

use crate::{
    event_log::EventLog, logged_departures::LoggedDepartures, metrics::CallLabels,
    parent_event_log::write_parent_event, process_context::ProcessContext,
    quota_metrics::QuotaLabels,
};

/// The time between two reports of evidence.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two reports of service-level counts. They are not urgent, so they are sent
/// less often than evidence on moves.
const BURN_INTERVAL: Duration = Duration::from_secs(10);
/// The capacity of the queue of evidence reports that wait for the link to the tree.
const EVIDENCE_QUEUE_CAPACITY: usize = 16;

/// A running node.
pub(crate) struct NodeRole {
    call_servers: TaskTracker,
    node: Arc<NodeContext>,
}

impl NodeRole {
    /// Opens the sockets of the node and starts its tasks.
    pub(crate) async fn start(
        context: &ProcessContext,
        settings: &NodeSettings,
    ) -> Result<Self, Error> {
        let callers = context.listen(settings.callers).await?;
        let peers = context.listen(settings.peers).await?;
        let mesh = context.listen(settings.mesh).await?;
        let backend = context.listen(settings.backend).await?;
        context
            .health
            .node_lacks_config
            .store(true, Ordering::Relaxed);

        let protocol = &context.protocol;
        let registry = BackendRegistry::with_dialect(
            context.clock,
            protocol.announcement_lease(),
            protocol.dialect(),
        );
        let incarnation = Incarnation::new(context.clock.now().as_micros());
        let (name, data_centre) = (
            context.settings.name.clone(),
            context.settings.data_centre.clone(),
        );
        let call_log = CallLog::new(context.settings.log.format, protocol.request_id_header());
        let node = NodeContext::new(
            name.clone(),
            incarnation,
            data_centre.clone(),
            context.token.clone(),
            context.clock,
            registry.servers(),
        );
        let node = Arc::new(
            node.with_call_settings(context.settings.calls)
                .with_call_log(call_log)
                .with_quota_bound(settings.quotas)
                .with_link(settings.link_bytes_per_s),
        );
        let (evidence_tx, evidence) = mpsc::channel(EVIDENCE_QUEUE_CAPACITY);
        let traffic = Arc::new(TrafficCounter::new());
        let identity = NodeIdentity {
            node: name,
            incarnation,
            data_centre,
            peer_address: settings.peers,
            mesh_address: settings.mesh,
        };
        let inputs = NodeInputs {
            announcements: registry.subscribe(),
            evidence,
        };
        let control = settings.control.clone();
        let (agent, outputs) = NodeAgent::new(
            identity,
            control,
            context.token.clone(),
            traffic.clone(),
            inputs,
        );
        let departures = departure_log(context, &outputs, traffic.clone());
        let registry = Arc::new(registry.with_departure_log(departures));
        let server = RpcServer::new(context.token.clone(), traffic.clone());
        let server = agent.add_rpc_handlers(server);

        let call_servers = TaskTracker::new();
        call_servers.spawn(protocol.serve_callers(
            callers,
            node.clone(),
            context.stop_accepting.clone(),
        ));
        call_servers.spawn(trefoillock_node::serve_peer(
            peers,
            node.clone(),
            context.stop_accepting.clone(),
        ));
        context.spawn_server("mesh", server.serve(mesh, context.shutdown.clone()));
        let backend = protocol.serve_backend(backend, registry.clone(), context.shutdown.clone());
        context.spawn_server("backend", backend);
        context.tasks.spawn(agent.run(context.shutdown.clone()));
        let role = Self {
            call_servers,
            node: node.clone(),
        };
        let tasks = NodeTasks {
            context: context.clone(),
            node,
            registry: registry.clone(),
            traffic,
        };
        let confirmed_round = outputs.confirmed_round.clone();
        context.tasks.spawn(tasks.clone().apply_updates(outputs));
        context
            .tasks
            .spawn(tasks.report_evidence(evidence_tx, confirmed_round));
        let server_events = log_server_events(context.clone(), registry.servers());
        context.tasks.spawn(server_events);
        let announcements = log_announcements(context.clone(), registry);
        context.tasks.spawn(announcements);
        Ok(role)
    }

    /// Returns the node's current configuration and member list.
    pub(crate) fn view(&self) -> Arc<NodeView> {
        self.node.view().clone()
    }

    /// Notes that the process stops and that the calls in flight are cut after `limit`.
    pub(crate) fn begin_stop(&self, limit: Duration) {
        self.node.begin_stop(Instant::now() + limit);
    }

    /// Refuses new calls that may last longer than the stop.
    pub(crate) fn refuse_calls_to_cut(&self) {
        self.node.refuse_calls_to_cut();
    }

    /// Waits until the calls in flight have ended. `stop_accepting` must have been cancelled
    /// before.
    pub(crate) async fn wait_until_drained(self) {
        self.call_servers.close();
        self.call_servers.wait().await;
    }
}

/// Creates the log in which the departures of the backend servers beside the node are recorded.
fn departure_log(
    context: &ProcessContext,
    outputs: &NodeOutputs,
    traffic: Arc<TrafficCounter>,
) -> Arc<dyn DepartureLog> {
    let (name, token) = (context.settings.name.clone(), context.token.clone());
    let recorder = DepartureRecorder::new(name, outputs.control.clone(), token, traffic);
    Arc::new(LoggedDepartures::new(recorder, context.events))
}

/// Background tasks between the calls and the distribution tree: applies configurations and member
/// lists, and reports evidence.
#[derive(Clone)]
struct NodeTasks {
    context: ProcessContext,
    node: Arc<NodeContext>,
    registry: Arc<BackendRegistry>,
    traffic: Arc<TrafficCounter>,
}

impl NodeTasks {
    /// Applies each new configuration and member list, and marks the process as not ready once the
    /// graceful stop begins.
    async fn apply_updates(self, mut outputs: NodeOutputs) {
        outputs.config.mark_changed();
        outputs.members.mark_changed();
        loop {
            tokio::select! {
                () = self.context.shutdown.cancelled() => return,
                () = self.context.stop.cancelled(), if !self.is_stopping() => {
                    self.context.health.stopping.store(true, Ordering::Relaxed);
                }
                Some(event) = outputs.parent_events.recv() => {
                    write_parent_event(self.context.events, &event);
                }
                Ok(()) = outputs.members.changed() => {
                    let members = outputs.members.borrow_and_update().clone();
                    self.apply_recorded_departures(&members);
                    self.node.view().set_members(members);
                }
                Ok(()) = outputs.confirmation.changed() => {
                    let confirmation = *outputs.confirmation.borrow_and_update();
                    if let Some(Confirmation { asked_at, version }) = confirmation {
                        self.node.quotas().confirm(version, asked_at);
                    }
                }
                Ok(()) = outputs.config.changed() => {
                    let config = outputs.config.borrow_and_update().clone();
                    if let Some(config) = config {
                        self.apply_config(&config);
                    }
                }
                else => return,
            }
        }
    }

    /// Lets the backend servers beside this node leave whose departure an earlier process of this
    /// node has reported.
    fn apply_recorded_departures(&self, members: &Members) {
        let name = &self.context.settings.name;
        let own = members.servers.values().filter(|m| m.id.node == *name);
        for member in own.filter(|member| !member.is_up()) {
            self.registry
                .apply_departure(&Departure::from(&member.announcement));
        }
    }

    fn is_stopping(&self) -> bool {
        self.context.health.stopping.load(Ordering::Relaxed)
    }

    fn apply_config(&self, config: &Arc<trefoillock_core::Config>) {
        let version = config.version();
        let (routes, pools) = (
            config.tables().routes().len(),
            config.tables().pools().len(),
        );
        let was_evacuated = self.node.local_servers().is_evacuated();
        if let Some(stepped) = self.node.apply_config(config) {
            self.log_evacuation(was_evacuated, config);
            for calls in stepped {
                self.log_version_calls(&calls);
            }
            self.context
                .health
                .node_lacks_config
                .store(false, Ordering::Relaxed);
            self.context.metrics.config_version.set(version.get());
            let fields: [(&str, &dyn std::fmt::Display); 3] = [
                ("version", &version),
                ("routes", &routes),
                ("pools", &pools),
            ];
            self.context.events.write(Event::ConfigTaken, &fields);
        }
    }

    /// Writes an event if the evacuation of this node's data centre began or ended with `config`.
    fn log_evacuation(&self, was_evacuated: bool, config: &trefoillock_core::Config) {
        let (data_centre, version) = (self.node.data_centre(), config.version());
        match (was_evacuated, config.evacuations().get(data_centre)) {
            (false, Some(ordered)) => self.context.events.write(
                Event::EvacuationApplied,
                &[
                    ("data-centre", data_centre),
                    ("version", &version),
                    ("ordered", ordered),
                ],
            ),
            (true, None) => self.context.events.write(
                Event::EvacuationLifted,
                &[
                    ("data-centre", data_centre),
                    ("version", &version),
                    ("refused", &self.node.evacuation_refusals()),
                ],
            ),
            (false, None) | (true, Some(_)) => {}
        }
    }

    fn log_version_calls(&self, calls: &VersionCalls) {
        let allowed = calls.allowed;
        let allowed = allowed.map_or_else(|| "all".to_owned(), |allowed| allowed.to_string());
        let fields: [(&str, &dyn std::fmt::Display); 7] = [
            ("rollout", &calls.rollout),
            ("service", &calls.service),
            ("version", &calls.version),
            ("step", &calls.step),
            ("server", &calls.address),
            ("calls", &calls.calls),
            ("allowed", &allowed),
        ];
        self.context.events.write(Event::VersionCalls, &fields);
    }

    /// Reports evidence on moves every [`EVIDENCE_INTERVAL`] and service-level counts every
    /// [`BURN_INTERVAL`]. `confirmed_round` changes whenever a live leader answers a confirmation request.
    async fn report_evidence(
        self,
        evidence: mpsc::Sender<LocalEvidence>,
        mut confirmed_round: watch::Receiver<u64>,
    ) {
        let mut service_counts = Evidence::default();
        let mut last_counted = self.context.clock.now();
        let mut analysis = LocalAnalysis::new();
        let mut workspace_series = WorkspaceSeriesChooser::default();
        let mut tick = tokio::time::interval(EVIDENCE_INTERVAL);
        while self
            .context
            .shutdown
            .run_until_cancelled(tick.tick())
            .await
            .is_some()
        {
            let drained = self.node.recorder().drain();
            service_counts.merge(&Evidence {
                service_levels: drained.service_levels,
                ..Evidence::default()
            });
            let mut report = Evidence {
                moves: drained.moves,
                ..Evidence::default()
            };
            if confirmed_round.has_changed().unwrap_or(false) {
                confirmed_round.mark_unchanged();
                analysis.record_confirmation(self.context.clock.now());
            }
            self.apply_local_cuts(&mut analysis, &mut report);
            let now = self.context.clock.now();
            if now.since(last_counted) >= BURN_INTERVAL {
                last_counted = now;
                report.merge(&std::mem::take(&mut service_counts));
                // With a longer time between two choices, the largest workspaces are known at the first.
                let totals = self.node.recorder().workspace_totals();
                let series = workspace_series.divide(&totals);
                self.context.metrics.set_workspace_calls(&series);
            }
            let crashes = self.node.recorder().drain_crashes();
            self.update_metrics();
            self.write_quota_events();
            if !report.is_empty() || !crashes.is_empty() {
                // The queue is full only if the link to the tree does not make progress. Dropping
                // the counts then only delays decisions.
                let _ = evidence.try_send(LocalEvidence {
                    evidence: report,
                    crashes,
                });
            }
        }
    }

    /// Stops sending calls to the new pool of a move if this node's own evidence shows that the
    /// pool is bad, or if no live leader has answered a confirmation request for too long. Cuts of
    /// the first kind are logged and reported once.
    fn apply_local_cuts(&self, analysis: &mut LocalAnalysis, report: &mut Evidence) {
        let Some(config) = self.node.view().config() else {
            return;
        };
        analysis.apply(&config);
        for id in analysis.analyse_counts(report) {
            if let Some(evidence) = report.moves.get_mut(&id) {
                evidence.local_cuts = 1;
            }
            let route = config.moves().iter().find(|(_, share)| share.id == id);
            let route = route.map_or_else(String::new, |(route, _)| route.to_string());
            let fields: [(&str, &dyn std::fmt::Display); 2] = [("route", &route), ("move", &id)];
            self.context.events.write(Event::LocalCut, &fields);
        }
        let moves = config.moves().values().map(|share| share.id);
        let unsupervised = analysis.is_unsupervised(self.context.clock.now());
        let cuts = moves
            .filter(|id| unsupervised || analysis.is_cut(*id))
            .collect();
        self.node.recorder().set_local_cuts(cuts);
    }

    fn update_quota_metrics(&self) {
        let (quotas, metrics) = (self.node.quotas(), &self.context.metrics.quotas);
        metrics.sent_bytes.set(quotas.traffic().bytes_sent());
        metrics
            .received_bytes
            .set(quotas.traffic().bytes_received());
        metrics.messages.set(quotas.messages());
        for (workspace, row) in quotas.counts().rows() {
            let labels = QuotaLabels {
                workspace: workspace.to_owned(),
            };
            let granted = metrics.granted.get_or_create(&labels);
            granted.set(row.granted);
            let empty = metrics.empty.get_or_create(&labels);
            empty.set(row.empty);
            let refused = metrics.refused_calls.get_or_create(&labels);
            refused.set(row.refused_calls);
        }
    }

    fn write_quota_events(&self) {
        for event in self.node.quotas().take_events() {
            write_quota_event(self.context.events, &event);
        }
    }

    /// Updates the metrics of control traffic and of calls.
    fn update_metrics(&self) {
        self.context
            .metrics
            .control_sent
            .set(self.traffic.bytes_sent());
        self.context
            .metrics
            .control_received
            .set(self.traffic.bytes_received());
        let statements = self.node.local_servers().statement_counts();
        let metrics = &self.context.metrics;
        metrics.server_limit_changes.set(statements.limit_changes);
        metrics.servers_leaving.set(statements.leaving);
        metrics.server_statements_ignored.set(statements.invalid);
        self.update_quota_metrics();
        metrics
            .evacuation_refusals
            .set(self.node.evacuation_refusals());
        self.context
            .metrics
            .unknown_key_calls
            .set(self.node.recorder().unknown_keys());
        metrics
            .abandoned_calls
            .set(self.node.recorder().abandoned_calls());
        let cold_phases = self.node.local_servers().cold_phases();
        metrics.server_cold_phases.set(cold_phases);
        let asks = self.node.ask_counts();
        metrics.load_asks_sent.set(asks.sent);
        metrics.load_asks_answered.set(asks.answered);
        metrics.load_asks_failed.set(asks.failed);
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
                self.context.metrics.calls.get_or_create(&labels).set(count);
            }
        }
    }
}

/// Writes an event about quotas.
fn write_quota_event(log: EventLog, event: &QuotaEvent) {
    match event {
        QuotaEvent::Exceeded { workspace, refused } => log.write(
            Event::QuotaExceeded,
            &[("workspace", workspace), ("refused", refused)],
        ),
        QuotaEvent::Unavailable { workspace, refused } => log.write(
            Event::QuotaGuardsUnreachable,
            &[("workspace", workspace), ("refused", refused)],
        ),
        QuotaEvent::GuardStarted { workspaces } => {
            log.write(Event::QuotaGuardStarted, &[("workspaces", workspaces)]);
        }
        QuotaEvent::GuardStopped { workspaces } => {
            log.write(Event::QuotaGuardStopped, &[("workspaces", workspaces)]);
        }
    }
}

/// Writes the events about statements and warm-ups of the backend servers beside the node.
async fn log_server_events(context: ProcessContext, servers: Arc<LocalServers>) {
    let mut events = servers.subscribe_events();
    let mut lagged = 0;
    while let Some(received) = context.shutdown.run_until_cancelled(events.recv()).await {
        match received {
            Ok(event) => write_server_event(context.events, &event, std::mem::take(&mut lagged)),
            Err(RecvError::Lagged(count)) => lagged += count,
            Err(RecvError::Closed) => return,
        }
    }
}

/// Writes an event about a statement or a warm-up of a backend server. `lagged` events before it were not
/// written because the log was too slow.
fn write_server_event(log: EventLog, event: &ServerEvent, lagged: u64) {
    let text = |limit: Option<CallRate>| limit.map_or("none".to_owned(), |rate| rate.to_string());
    let (number, details) = match &event.change {
        ServerChange::Limit { limit, previous } => (
            Event::RateLimitChanged,
            vec![("limit", text(*limit)), ("previous", text(*previous))],
        ),
        ServerChange::Cold { limit, left } => (
            Event::ServerCold,
            vec![
                ("limit", limit.to_string()),
                ("left-millis", left.as_millis().to_string()),
            ],
        ),
        ServerChange::Warm => (Event::ServerWarm, Vec::new()),
        ServerChange::Leaving => (Event::ServerDeparting, Vec::new()),
        ServerChange::Invalid(invalid) => (
            Event::StatementIgnored,
            vec![("error", invalid.to_string())],
        ),
    };
    let omitted = event.omitted + lagged;
    let mut fields: Vec<(&'static str, &dyn std::fmt::Display)> =
        vec![("address", &event.address), ("omitted", &omitted)];
    for (name, value) in &details {
        fields.push((name, value));
    }
    log.write(number, &fields);
}

/// Writes an event when a backend server beside the node is announced, changes or is lost.
async fn log_announcements(context: ProcessContext, registry: Arc<BackendRegistry>) {
    let mut announcements = registry.subscribe();
    let mut previous = Vec::new();
    while let Some(Ok(())) = context
        .shutdown
        .run_until_cancelled(announcements.changed())
        .await
    {
        let current = announcements.borrow_and_update().clone();
        for server in current.iter().filter(|server| !previous.contains(*server)) {
            let state = format!("{:?}", server.state).to_lowercase();
            let fields: [(&str, &dyn std::fmt::Display); 4] = [
                ("address", &server.address),
                ("service", &server.service),
                ("version", &server.version),
                ("state", &state),
            ];
            context.events.write(Event::ServerAnnounced, &fields);
        }
        let lost_servers = previous
            .iter()
            .filter(|old: &&trefoillock_core::Announcement| {
                !current.iter().any(|server| server.address == old.address)
            });
        for server in lost_servers {
            context
                .events
                .write(Event::ServerLost, &[("address", &server.address)]);
        }
        previous = current;
    }
}
