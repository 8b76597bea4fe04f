//! The metrics of the quotas of workspaces.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};

/// The labels of the metrics by workspace. The names of workspaces are bounded in number.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct QuotaLabels {
    pub(crate) workspace: String,
}

type IntGauge = Gauge<u64, AtomicU64>;

/// The metrics of the quotas of workspaces, at an entry and at a guard.
#[derive(Debug)]
pub(crate) struct QuotaMetrics {
    pub(crate) sent_bytes: IntGauge,
    pub(crate) received_bytes: IntGauge,
    pub(crate) messages: IntGauge,
    pub(crate) granted: Family<QuotaLabels, IntGauge>,
    pub(crate) empty: Family<QuotaLabels, IntGauge>,
    pub(crate) refused_calls: Family<QuotaLabels, IntGauge>,
}

impl QuotaMetrics {
    /// Creates the metrics and adds them to a registry.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let mut gauge = |name: &str, help: &str| {
            let gauge = IntGauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let sent_bytes = gauge("quota_sent_bytes", "Bytes of messages on quotas sent");
        let received_bytes = gauge(
            "quota_received_bytes",
            "Bytes of messages on quotas received",
        );
        let messages = gauge("quota_messages", "Requests for tokens sent to other nodes");
        let mut by_workspace = |name: &str, help: &str| {
            let family = Family::<QuotaLabels, IntGauge>::default();
            registry.register(name, help, family.clone());
            family
        };
        Self {
            sent_bytes,
            received_bytes,
            messages,
            granted: by_workspace(
                "quota_tokens_granted",
                "Tokens that this node granted as a guard, by workspace",
            ),
            empty: by_workspace(
                "quota_requests_empty",
                "Requests that found the bucket of this node empty, by workspace",
            ),
            refused_calls: by_workspace(
                "quota_calls_refused",
                "Calls that got no token at this node, by workspace",
            ),
        }
    }
}
