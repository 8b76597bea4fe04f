//! The parts of quotas that one node keeps as a guard.

use std::collections::BTreeMap;

use trefoillock_core::{
    Config, ConfigVersion, Guard, GuardSlot, Incarnation, NodeId, Quota, QuotaBound, Timestamp,
    WorkspaceName,
};

use super::{
    LEASE, QuotaPart, ReleaseAnswer, ReleaseRequest, TokenAnswer, TokenBucket, TokenRequest,
    quota_slot, slot_part::SlotPart,
};

/// What a guard has granted of one workspace's quota, and how often its bucket was empty.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BucketUse {
    /// The number of tokens granted.
    pub granted: u64,
    /// The number of requests that found the bucket empty.
    pub refused: u64,
}

#[derive(Debug, Clone)]
struct KeptQuota {
    slot: GuardSlot,
    quota: Quota,
    bucket: TokenBucket,
    usage: BucketUse,
}

/// The parts of quotas that one incarnation of a node keeps.
///
/// The parent module states the rules. The slots of a node can be divided among several keepers,
/// each behind its own lock. All times are on one clock that also counts the time for which the VM
/// was suspended.
#[derive(Debug, Clone)]
pub struct QuotaKeeper {
    node: NodeId,
    incarnation: Incarnation,
    bound: QuotaBound,
    shard: u16,
    shards: u16,
    version: ConfigVersion,
    /// When the newest confirmation was asked for that covers the applied configuration.
    confirmed_at: Option<Timestamp>,
    /// A confirmation of a configuration that is not applied yet.
    unapplied: Option<(ConfigVersion, Timestamp)>,
    slots: BTreeMap<GuardSlot, SlotPart>,
    quotas: BTreeMap<WorkspaceName, KeptQuota>,
}

impl QuotaKeeper {
    /// Creates a keeper without quotas for one incarnation of a node.
    #[must_use]
    pub const fn new(node: NodeId, incarnation: Incarnation, bound: QuotaBound) -> Self {
        Self {
            node,
            incarnation,
            bound,
            shard: 0,
            shards: 1,
            version: ConfigVersion::ZERO,
            confirmed_at: None,
            unapplied: None,
            slots: BTreeMap::new(),
            quotas: BTreeMap::new(),
        }
    }

    /// Restricts the keeper to the slots whose number modulo `shards` is `shard`.
    #[must_use]
    pub fn for_shard(mut self, shard: u16, shards: u16) -> Self {
        self.shard = shard;
        self.shards = shards.max(1);
        self
    }

    /// Applies a newer configuration.
    pub fn sync(&mut self, now: Timestamp, config: &Config) {
        if config.version() <= self.version {
            return;
        }
        self.version = config.version();
        self.advance(now);
        for (slot, set) in config.guards() {
            if slot.get() % self.shards != self.shard {
                continue;
            }
            let is_guard = set.guards.iter().any(|guard| self.is_self(guard));
            if is_guard || self.slots.contains_key(slot) {
                let part = self.slots.entry(*slot).or_default();
                part.apply(now, set, &self.node, self.incarnation);
            }
        }
        let mut kept = std::mem::take(&mut self.quotas);
        let workspaces = config.tables().workspaces().into_iter().flatten();
        for (name, workspace) in workspaces {
            let slot = quota_slot(name);
            let part = self.slots.get(&slot).filter(|part| part.is_guard());
            let (Some(part), Some(quota)) = (part, workspace.quota) else {
                continue;
            };
            let own_part = quota_part(&self.bound, part, &quota);
            let entry = match kept.remove(name) {
                Some(mut entry) => {
                    entry.quota = quota;
                    entry.bucket.set_part(now, own_part);
                    entry
                }
                None => KeptQuota {
                    slot,
                    quota,
                    bucket: TokenBucket::new(now, own_part),
                    usage: BucketUse::default(),
                },
            };
            self.quotas.insert(name.clone(), entry);
        }
        self.apply_confirmation();
    }

    /// Records that a live leader has confirmed `version` as its newest configuration in answer to
    /// a question that this node began to ask at `asked_at`.
    pub fn confirm(&mut self, version: ConfigVersion, asked_at: Timestamp) {
        if version <= self.version {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        } else {
            self.unapplied = Some((version, asked_at));
        }
    }

    fn apply_confirmation(&mut self) {
        if let Some((version, asked_at)) = self.unapplied
            && version <= self.version
        {
            self.unapplied = None;
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
    }

    /// Answers a request for tokens.
    pub fn answer(&mut self, now: Timestamp, req: &TokenRequest) -> TokenAnswer {
        if req.to != self.incarnation || !self.has_lease(now) {
            return TokenAnswer::Inactive;
        }
        self.advance(now);
        let Some(entry) = self.quotas.get_mut(&req.workspace) else {
            return TokenAnswer::Inactive;
        };
        let slot = self.slots.get(&entry.slot);
        if slot.and_then(SlotPart::current).is_none() {
            return TokenAnswer::Inactive;
        }
        let granted = entry.bucket.take(now, req.need, req.ahead, req.is_flooded);
        entry.usage.granted += u64::from(granted);
        if granted > 0 || req.need == 0 {
            return TokenAnswer::Granted(granted);
        }
        entry.usage.refused += 1;
        let wait = entry.bucket.wait(now, req.need.saturating_add(req.ahead));
        let wait = wait.as_millis();
        TokenAnswer::Empty(u32::try_from(wait).unwrap_or(u32::MAX).max(1))
    }

    /// The requests by which this node learns that earlier guards have released their parts. The
    /// caller sends them repeatedly until none is left. There are none while no quota depends on
    /// them.
    #[must_use]
    pub fn release_requests(&self, now: Timestamp) -> Vec<(Guard, ReleaseRequest)> {
        if self.quotas.is_empty() {
            return Vec::new();
        }
        let mut requests = Vec::new();
        for (slot, part) in &self.slots {
            let request = |guard: &Guard| ReleaseRequest {
                to: guard.incarnation,
                slot: *slot,
                epoch: part.epoch(),
            };
            let unreleased = part.unreleased(now).iter();
            requests.extend(unreleased.map(|guard| (guard.clone(), request(guard))));
        }
        requests
    }

    /// Answers a request for the release of a part. `None` if it is for another run of this node,
    /// or if this node has not applied the set of guards.
    #[must_use]
    pub fn answer_release(&self, req: &ReleaseRequest) -> Option<ReleaseAnswer> {
        let part = self.slots.get(&req.slot)?;
        let is_released = req.to == self.incarnation && part.epoch() >= req.epoch;
        is_released.then(|| ReleaseAnswer {
            slot: req.slot,
            epoch: part.epoch(),
            previous_was_clean: part.previous_was_clean(),
        })
    }

    /// Records that a guard has released its part.
    pub fn record_release(&mut self, now: Timestamp, from: &Guard, answer: &ReleaseAnswer) {
        if let Some(part) = self.slots.get_mut(&answer.slot) {
            part.record_release(now, from, answer.epoch, answer.previous_was_clean);
        }
        self.advance(now);
    }

    /// Whether a live leader has confirmed the applied configuration recently enough.
    #[must_use]
    pub fn has_lease(&self, now: Timestamp) -> bool {
        let confirmed = self.confirmed_at;
        confirmed.is_some_and(|asked_at| now.since(asked_at) < LEASE)
    }

    /// The number of workspaces whose quotas this node keeps a part of, now or after a handover.
    #[must_use]
    pub fn len(&self) -> usize {
        self.quotas.len()
    }

    /// Whether this node keeps no quota.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.quotas.is_empty()
    }

    /// What was granted of each workspace's quota since this node began to keep a part of it.
    pub fn usage(&self) -> impl Iterator<Item = (&WorkspaceName, BucketUse)> {
        self.quotas.iter().map(|(name, kept)| (name, kept.usage))
    }

    fn is_self(&self, guard: &Guard) -> bool {
        guard.node == self.node && guard.incarnation == self.incarnation
    }

    /// Starts to use the parts whose time has come.
    fn advance(&mut self, now: Timestamp) {
        for (slot, part) in &mut self.slots {
            let Some(at) = part.advance(now) else {
                continue;
            };
            let entries = self.quotas.values_mut().filter(|kept| kept.slot == *slot);
            for entry in entries {
                let own_part = quota_part(&self.bound, part, &entry.quota);
                entry.bucket.set_part(at, own_part);
            }
        }
    }
}

fn quota_part(bound: &QuotaBound, part: &SlotPart, quota: &Quota) -> QuotaPart {
    let guards = part.current();
    guards.map_or(QuotaPart::NONE, |guards| {
        QuotaPart::of(quota, bound, guards)
    })
}
