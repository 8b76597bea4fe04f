//! Counts the calls that the backend servers of one node get of the new versions of rollouts.

use std::{collections::BTreeMap, net::SocketAddr};

use trefoillock_core::{Map, MoveId, RolloutShare, ServiceName, VersionLabel};

/// The calls that one backend server got during a rollout of its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionCalls {
    /// The rollout.
    pub rollout: MoveId,
    /// The service of the rollout.
    pub service: ServiceName,
    /// The new version.
    pub version: VersionLabel,
    /// The step that this node has learned of.
    pub step: u32,
    /// The address of the backend server.
    pub address: SocketAddr,
    /// The calls that were sent to the backend server since this node learned of the rollout.
    pub calls: u64,
}

/// A rollout that the node knows, with the calls by backend server.
#[derive(Debug)]
struct Entry {
    share: RolloutShare,
    calls: BTreeMap<SocketAddr, u64>,
}

/// The calls that the backend servers of this node got of the latest rollout of each service.
///
/// Every call passes the node beside its backend server, whichever node it entered at and whatever
/// that node knows of the rollout, so the count is complete.
#[derive(Debug, Default)]
pub struct RolloutLedger {
    entries: Map<ServiceName, Entry>,
}

impl RolloutLedger {
    /// Creates a ledger that knows no rollout.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the rollouts of a configuration. Returns the calls of those that have taken a
    /// step since the last configuration.
    pub fn observe(&mut self, rollouts: &BTreeMap<ServiceName, RolloutShare>) -> Vec<VersionCalls> {
        let mut stepped = Vec::new();
        for (service, share) in rollouts {
            match self.entries.get_mut(service) {
                Some(entry) if entry.share.id == share.id => {
                    if entry.share.step < share.step {
                        stepped.extend(calls_by_server(service, share, &entry.calls));
                    }
                    entry.share = share.clone();
                }
                _ => {
                    let entry = Entry {
                        share: share.clone(),
                        calls: BTreeMap::new(),
                    };
                    self.entries.insert(service.clone(), entry);
                }
            }
        }
        stepped
    }

    /// Counts a call that is sent to a backend server of this node.
    pub fn record(&mut self, service: &ServiceName, version: &VersionLabel, address: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(service)
            && entry.share.version == *version
        {
            *entry.calls.entry(address).or_default() += 1;
        }
    }

    /// Takes back the count of a call that was not sent after all.
    pub fn withdraw(&mut self, service: &ServiceName, version: &VersionLabel, address: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(service)
            && entry.share.version == *version
            && let Some(calls) = entry.calls.get_mut(&address)
        {
            *calls = calls.saturating_sub(1);
        }
    }
}

fn calls_by_server(
    service: &ServiceName,
    share: &RolloutShare,
    calls: &BTreeMap<SocketAddr, u64>,
) -> Vec<VersionCalls> {
    let rows = calls.iter().map(|(address, calls)| VersionCalls {
        rollout: share.id,
        service: service.clone(),
        version: share.version.clone(),
        step: share.step,
        address: *address,
        calls: *calls,
    });
    rows.collect()
}
