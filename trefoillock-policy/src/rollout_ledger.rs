//! Counts the calls that the backend servers of one node get of the new versions of rollouts, and
//! refuses those beyond their allowance.

use std::{collections::BTreeMap, net::SocketAddr};

use trefoillock_core::{
    Incarnation, Map, MoveId, NodeId, RolloutAllowance, RolloutShare, ServerId, ServiceName,
    Timestamp, VersionLabel,
};

/// What the entry node of a call knows of the rollout by which it chose the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutClaim {
    /// The rollout.
    pub id: MoveId,
    /// Whether the calls of the new version are limited. They no longer are once the rollout has
    /// completed.
    pub is_limited: bool,
}

/// A call that is about to be sent to a backend server of this node.
#[derive(Debug, Clone, Copy)]
pub struct VersionCall<'a> {
    /// The service of the backend server.
    pub service: &'a ServiceName,
    /// The version that it runs.
    pub version: &'a VersionLabel,
    /// The address of the backend server.
    pub address: SocketAddr,
    /// What the entry node knows; `None` if it chose among all versions or an old one.
    pub claim: Option<RolloutClaim>,
}

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
    /// The calls that it may get; `None` if they are not limited.
    pub allowed: Option<u64>,
}

/// The backend server may get no more calls while the rollout of its version runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowanceSpent;

/// A rollout that the node knows, with the calls by backend server.
#[derive(Debug)]
struct Entry {
    share: RolloutShare,
    /// When this node learned of the last extension of the allowance.
    extended_at: Timestamp,
    calls: BTreeMap<SocketAddr, u64>,
}

/// The calls that the backend servers of this node got of the latest rollout of each service.
///
/// Every call passes the node beside its backend server, whichever node it entered at and whatever
/// that node knows of the rollout. So the count is complete: first attempts and repeats, calls of other services, and
/// calls of nodes that have not learned of a step. A node that has restarted begins to count anew and
/// has no part of the allowance until it gets one of its own.
#[derive(Debug)]
pub struct RolloutLedger {
    node: NodeId,
    incarnation: Incarnation,
    entries: Map<ServiceName, Entry>,
}

impl RolloutLedger {
    /// Creates the ledger of a run of a node, which knows no rollout.
    #[must_use]
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            node,
            incarnation,
            entries: Map::default(),
        }
    }

    /// Takes over the rollouts of a configuration that is not older than the last one. Returns the calls
    /// of those that have taken a step since.
    pub fn observe(
        &mut self,
        now: Timestamp,
        rollouts: &BTreeMap<ServiceName, RolloutShare>,
    ) -> Vec<VersionCalls> {
        let mut stepped = Vec::new();
        for (service, share) in rollouts {
            let known = self.entries.get_mut(service);
            let Some(entry) = known.filter(|entry| entry.share.id == share.id) else {
                let entry = Entry {
                    share: share.clone(),
                    extended_at: now,
                    calls: BTreeMap::new(),
                };
                self.entries.insert(service.clone(), entry);
                continue;
            };
            let has_stepped = entry.share.step < share.step;
            if serial(&entry.share) != serial(share) {
                entry.extended_at = now;
            }
            entry.share = share.clone();
            if has_stepped {
                let rows = self.calls_by_server(service);
                stepped.extend(rows);
            }
        }
        stepped
    }

    /// Counts a call before it is sent.
    ///
    /// # Errors
    ///
    /// Returns [`AllowanceSpent`] if the version of the backend server is limited or was rolled back, and the
    /// call exceeds what this run of the node was granted for it.
    pub fn charge(&mut self, now: Timestamp, call: &VersionCall<'_>) -> Result<(), AllowanceSpent> {
        let server = self.server_id(call.address);
        let entry = self.entries.get_mut(call.service);
        let known = entry.as_ref().map(|entry| entry.share.id);
        let is_news = |claim: RolloutClaim| known.is_none_or(|known| claim.id > known);
        match call.claim {
            // This node has not learned of the rollout, so it was granted nothing.
            Some(claim) if claim.is_limited && is_news(claim) => return Err(AllowanceSpent),
            // This node has not learned of its end.
            Some(claim) if !claim.is_limited && known <= Some(claim.id) => return Ok(()),
            _ => {}
        }
        let Some(entry) = entry else {
            return Ok(());
        };
        if entry.share.rejected.contains(call.version) {
            return Err(AllowanceSpent);
        }
        if entry.share.version != *call.version {
            return Ok(());
        }
        let calls = entry.calls.entry(call.address).or_default();
        if let Some(allowance) = &entry.share.allowance {
            let age = now.since(entry.extended_at);
            let is_over = allowance.valid_for.is_some_and(|valid_for| age > valid_for);
            if is_over || *calls >= allowance.calls_of(&server, self.incarnation) {
                return Err(AllowanceSpent);
            }
        }
        *calls += 1;
        Ok(())
    }

    /// Takes back the count of a call that was not sent after all.
    pub fn withdraw(&mut self, call: &VersionCall<'_>) {
        if let Some(entry) = self.entries.get_mut(call.service)
            && entry.share.version == *call.version
            && let Some(calls) = entry.calls.get_mut(&call.address)
        {
            *calls = calls.saturating_sub(1);
        }
    }

    fn calls_by_server(&self, service: &ServiceName) -> Vec<VersionCalls> {
        let Some(Entry { share, calls, .. }) = self.entries.get(service) else {
            return Vec::new();
        };
        let rows = calls.iter().map(|(address, calls)| VersionCalls {
            rollout: share.id,
            service: service.clone(),
            version: share.version.clone(),
            step: share.step,
            address: *address,
            calls: *calls,
            allowed: share
                .allowance
                .as_ref()
                .map(|allowance| allowance.calls_of(&self.server_id(*address), self.incarnation)),
        });
        rows.collect()
    }

    fn server_id(&self, address: SocketAddr) -> ServerId {
        ServerId {
            node: self.node.clone(),
            address,
        }
    }
}

/// The number of the last extension; `None` if the calls are not limited.
fn serial(share: &RolloutShare) -> Option<u32> {
    share
        .allowance
        .as_ref()
        .map(|RolloutAllowance { serial, .. }| *serial)
}
