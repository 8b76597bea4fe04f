//! The metrics of a process, exposed as OpenMetrics text.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use trefoillock_node::WorkspaceSeries;

use crate::quota_metrics::QuotaMetrics;

/// The labels of the `calls` metric.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CallLabels {
    pub(crate) route: String,
    pub(crate) class: String,
    pub(crate) outcome: String,
}

/// The labels of the `workspace_calls` metric.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WorkspaceLabels {
    /// The name of the workspace; empty for all that have no series of their own.
    pub(crate) workspace: String,
    pub(crate) outcome: &'static str,
}

/// The labels of the `moves` metric.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct MoveLabels {
    pub(crate) state: String,
}

/// The label of the workspaces that have no series of their own. No workspace can have it, because a
/// name is not empty.
const OTHER_WORKSPACES: &str = "";

type IntGauge = Gauge<u64, AtomicU64>;

/// The metrics of a process. Nodes and control replicas update the ones that apply to them; the
/// others stay zero.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) config_version: IntGauge,
    pub(crate) nodes: IntGauge,
    pub(crate) nodes_current: IntGauge,
    pub(crate) term: IntGauge,
    pub(crate) is_leader: IntGauge,
    pub(crate) control_sent: IntGauge,
    pub(crate) control_received: IntGauge,
    pub(crate) server_limit_changes: IntGauge,
    pub(crate) servers_leaving: IntGauge,
    pub(crate) server_statements_ignored: IntGauge,
    pub(crate) evacuated_data_centres: IntGauge,
    pub(crate) evacuation_refusals: IntGauge,
    pub(crate) server_cold_phases: IntGauge,
    pub(crate) quotas: QuotaMetrics,
    pub(crate) load_asks_sent: IntGauge,
    pub(crate) load_asks_answered: IntGauge,
    pub(crate) load_asks_failed: IntGauge,
    pub(crate) calls: Family<CallLabels, IntGauge>,
    pub(crate) workspace_calls: Family<WorkspaceLabels, IntGauge>,
    pub(crate) unknown_key_calls: IntGauge,
    pub(crate) abandoned_calls: IntGauge,
    pub(crate) moves: Family<MoveLabels, IntGauge>,
    pub(crate) edits_accepted: Counter,
    pub(crate) edits_refused: Counter,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("trefoillock");
        let mut gauge = |name: &str, help: &str| {
            let gauge = IntGauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let config_version = gauge("config_version", "Version of the configuration held");
        let nodes = gauge("nodes", "Nodes known to the leader");
        let nodes_current = gauge("nodes_current", "Nodes that serve the newest version");
        let term = gauge("term", "Term of the replicated log");
        let is_leader = gauge("is_leader", "Whether this replica leads");
        let control_sent = gauge("control_sent_bytes", "Bytes of control messages sent");
        let control_received = gauge(
            "control_received_bytes",
            "Bytes of control messages received",
        );
        let server_limit_changes = gauge(
            "server_limit_changes",
            "Limits on the rate of calls that local backend servers have stated or ended",
        );
        let servers_leaving = gauge(
            "servers_leaving",
            "Local backend servers that have said in an answer that they leave",
        );
        let server_statements_ignored = gauge(
            "server_statements_ignored",
            "Statements of local backend servers that could not be read",
        );
        let evacuated_data_centres = gauge("evacuated_data_centres", "Evacuated data centres");
        let evacuation_refusals = gauge(
            "evacuation_refusals",
            "Calls to local backend servers refused because the data centre is evacuated",
        );
        let server_cold_phases = gauge(
            "server_cold_phases",
            "Times that local backend servers turned cold and their calls were limited",
        );
        let unknown_key_calls = gauge(
            "unknown_key_calls",
            "Calls that entered here and were refused because they carried no known key",
        );
        let abandoned_calls = gauge("abandoned_calls", "Calls whose caller disconnected");
        let load_asks_sent = gauge(
            "load_asks_sent",
            "Asks for the load of backend servers sent to other nodes",
        );
        let load_asks_answered = gauge(
            "load_asks_answered",
            "Asks for the load of backend servers that were answered",
        );
        let load_asks_failed = gauge(
            "load_asks_failed",
            "Asks for the load of backend servers that were not answered in time or without a report",
        );
        let quotas = QuotaMetrics::register(&mut registry);
        let workspace_calls = Family::default();
        registry.register(
            "workspace_calls",
            "Calls that entered here, by workspace and outcome; an empty name stands for all other workspaces",
            workspace_calls.clone(),
        );
        let calls = Family::default();
        registry.register(
            "calls",
            "Calls that entered here, by outcome",
            calls.clone(),
        );
        let moves = Family::default();
        registry.register("moves", "Moves by state", moves.clone());
        let edits_accepted = Counter::default();
        registry.register("edits_accepted", "Edits accepted", edits_accepted.clone());
        let edits_refused = Counter::default();
        registry.register("edits_refused", "Edits refused", edits_refused.clone());
        Self {
            registry,
            config_version,
            nodes,
            nodes_current,
            term,
            is_leader,
            control_sent,
            control_received,
            server_limit_changes,
            servers_leaving,
            server_statements_ignored,
            evacuated_data_centres,
            evacuation_refusals,
            server_cold_phases,
            quotas,
            load_asks_sent,
            load_asks_answered,
            load_asks_failed,
            calls,
            workspace_calls,
            unknown_key_calls,
            abandoned_calls,
            moves,
            edits_accepted,
            edits_refused,
        }
    }

    /// Encodes the metrics as OpenMetrics text; empty if the encoding fails.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            text.clear();
        }
        text
    }
}

impl Metrics {
    /// Sets the numbers of calls by workspace.
    pub(crate) fn set_workspace_calls(&self, series: &WorkspaceSeries) {
        let named = series.named.iter();
        let named = named.map(|(name, counts)| (name.as_str(), counts));
        let other = (series.other.total() > 0).then_some((OTHER_WORKSPACES, &series.other));
        for (workspace, counts) in named.chain(other) {
            let outcomes = [
                ("answered", counts.answered),
                ("refused", counts.refused),
                ("failed", counts.failed),
            ];
            for (outcome, count) in outcomes {
                let labels = WorkspaceLabels {
                    workspace: workspace.to_owned(),
                    outcome,
                };
                self.workspace_calls.get_or_create(&labels).set(count);
            }
        }
    }

    /// Sets the number of moves in each state.
    pub(crate) fn set_moves(&self, moves: &[trefoillock_core::Move]) {
        self.moves.clear();
        for m in moves {
            let labels = MoveLabels {
                state: m.state.as_str().to_owned(),
            };
            self.moves.get_or_create(&labels).inc();
        }
    }
}
