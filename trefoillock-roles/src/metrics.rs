//! The metrics of a process.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// The labels of calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CallLabels {
    pub(crate) route: String,
    pub(crate) class: String,
    pub(crate) outcome: String,
}

/// The labels of moves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct MoveLabels {
    pub(crate) state: String,
}

type Number = Gauge<u64, AtomicU64>;

/// The metrics of a process, in OpenMetrics form.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) config_version: Number,
    pub(crate) nodes: Number,
    pub(crate) nodes_current: Number,
    pub(crate) term: Number,
    pub(crate) is_leader: Number,
    pub(crate) control_sent: Number,
    pub(crate) control_received: Number,
    pub(crate) calls: Family<CallLabels, Number>,
    pub(crate) moves: Family<MoveLabels, Number>,
    pub(crate) edits_accepted: Counter,
    pub(crate) edits_refused: Counter,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("trefoillock");
        let mut gauge = |name: &str, help: &str| {
            let gauge = Number::default();
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
            calls,
            moves,
            edits_accepted,
            edits_refused,
        }
    }

    /// The metrics as text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            text.clear();
        }
        text
    }
}

impl Metrics {
    /// Counts the moves by state.
    pub(crate) fn set_moves(&self, moves: &[trefoillock_core::Move]) {
        self.moves.clear();
        for running in moves {
            let labels = MoveLabels {
                state: running.state.as_str().to_owned(),
            };
            self.moves.get_or_create(&labels).inc();
        }
    }
}
