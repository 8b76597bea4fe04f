//! The parent's side of the distribution, shared by the leader and the relays.
//!
//! It tracks what each child holds, decides which updates to send, and collects the changes and
//! the evidence that the children report.

use std::{sync::Arc, time::Duration};

use trefoillock_core::{Config, Map, Members, MembersVersion, NodeId, Timestamp, data};

use crate::{
    AckSummary, ConfigId, ConfigUpdate, DeltaHistory, DownMessage, EvidenceBatch, HeldVersions,
    Hello, MembersUpdate, MinVersions, NodeRecord, Payload, Repair, Report, ReportReply, Route,
    SubtreeChange, Update,
    child::Child,
    timing::{RESEND_INTERVAL, SILENCE_TIMEOUT},
};

/// Identifies a connection from a child within the process that accepted it.
#[data(key)]
pub struct ChildKey(u64);

impl ChildKey {
    /// Creates a key from the number of the connection.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

/// The new information in a message of a child.
#[derive(Debug, Default)]
pub struct ReportedChanges {
    /// Changes of the subtree of the child.
    pub changes: Vec<SubtreeChange>,
    /// Evidence that was not received before.
    pub evidence: Option<EvidenceBatch>,
}

/// Tracks children and what each of them holds, and produces the updates that bring them to the
/// newest versions.
#[derive(Debug, Default)]
pub struct Distributor {
    node: Option<NodeId>,
    config: Option<Arc<Config>>,
    members: Arc<Members>,
    config_history: DeltaHistory<ConfigId>,
    members_history: DeltaHistory<MembersVersion>,
    children: Map<ChildKey, Child>,
}

impl Distributor {
    /// Creates the parent's side of the process `node`; `None` means the leader.
    #[must_use]
    pub fn new(node: Option<NodeId>) -> Self {
        Self {
            node,
            ..Self::default()
        }
    }

    /// Sets the configuration to distribute.
    ///
    /// `received` is the payload by which it was received, if any, and whether that is a delta.
    /// Without it the delta to the previous configuration is encoded here.
    pub fn set_config(&mut self, config: Arc<Config>, received: Option<(Payload, bool)>) {
        let id = ConfigId::from(config.as_ref());
        match (received, &self.config) {
            (Some((delta, true)), _) => self.config_history.push(id, delta),
            (Some((snapshot, false)), _) => self.config_history.reset(id, snapshot),
            (None, Some(previous)) => {
                let delta = ConfigUpdate::Delta(previous.delta_to(&config));
                self.config_history.push(id, Payload::encode(&delta));
            }
            (None, None) => self.config_history.reset(id, encode_config(&config)),
        }
        self.config = Some(config);
    }

    /// Sets the member list to distribute, with the payload by which it was received.
    ///
    /// A delta must start at the version that was set before; a snapshot clears the history.
    pub fn set_members(&mut self, members: Arc<Members>, payload: Payload, is_delta: bool) {
        if is_delta {
            self.members_history.push(members.version, payload);
        } else {
            self.members_history.reset(members.version, payload);
        }
        self.members = members;
    }

    /// Resets the member list to an empty one without a version.
    pub fn clear_members(&mut self) {
        self.members = Arc::default();
        self.members_history = DeltaHistory::default();
    }

    /// Returns the member list that is distributed.
    #[must_use]
    pub const fn members(&self) -> &Arc<Members> {
        &self.members
    }

    /// Accepts a child, or applies the full state of a child that was accepted before.
    ///
    /// If the node has another connection, the second returned value is the key of the connection
    /// with the older record, which the caller must close. `next_round` is the next confirmation
    /// round of this process.
    pub fn on_hello(
        &mut self,
        now: Timestamp,
        key: ChildKey,
        hello: &Hello,
        next_round: u64,
    ) -> (ReportedChanges, Option<ChildKey>) {
        let mut reported = ReportedChanges::default();
        let older = self.key_of(&hello.record).filter(|other| *other != key);
        if let Some(older) = older {
            let is_newer = self.children[&older].record().order() > hello.record.order();
            if is_newer {
                return (reported, Some(key));
            }
            let previous = self.children.remove(&older);
            reported.changes = previous
                .map(|child| child.orphan_losses(hello))
                .unwrap_or_default();
        }
        let parent = || self.node.clone();
        let child = self
            .children
            .entry(key)
            .or_insert_with(|| Child::new(now, hello, parent()));
        if let Some(changes) = child.apply_hello(now, hello) {
            reported.changes.extend(changes);
            child
                .confirmation_rounds_mut()
                .request(hello.report.round, next_round);
        }
        (reported, older)
    }

    /// Applies a report of a child; the report of an unknown child is ignored.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        key: ChildKey,
        report: &Report,
        next_round: u64,
    ) -> ReportedChanges {
        let mut reported = ReportedChanges::default();
        let Some(child) = self.children.get_mut(&key) else {
            return reported;
        };
        if let Some(changes) = child.apply_report(now, report) {
            reported.changes = changes;
            reported.evidence = new_evidence(child, report);
            child
                .confirmation_rounds_mut()
                .request(report.round, next_round);
        }
        reported
    }

    /// Records that a live leader confirmed a round of this process.
    pub fn confirm(&mut self, own_round: u64) {
        for child in self.children.values_mut() {
            child.confirmation_rounds_mut().confirm(own_round);
        }
    }

    /// Removes a child and returns the loss to report, if the child was accepted.
    pub fn remove(&mut self, key: ChildKey) -> Option<SubtreeChange> {
        let child = self.children.remove(&key);
        child.map(|child| child.loss())
    }

    /// Returns the children from which nothing was received for [`SILENCE_TIMEOUT`].
    #[must_use]
    pub fn silent_children(&self, now: Timestamp) -> Vec<ChildKey> {
        let is_silent = |child: &Child| now.since(child.last_received()) >= SILENCE_TIMEOUT;
        let silent = self.children.iter().filter(|(_, child)| is_silent(child));
        silent.map(|(key, _)| *key).collect()
    }

    /// Creates the reply to a report of a child; `None` if the child is unknown.
    ///
    /// `searching` is the time for which this process, or a relay above it, has searched for a
    /// parent.
    #[must_use]
    pub fn reply(
        &mut self,
        key: ChildKey,
        min_versions: MinVersions,
        searching: Duration,
        route: Route,
    ) -> Option<ReportReply> {
        let child = self.children.get_mut(&key)?;
        Some(ReportReply {
            confirmed_round: child.confirmation_rounds().confirmed(),
            min_versions,
            acknowledged_evidence: child.last_evidence(),
            needs_hello: child.needs_hello(),
            searching_ms: u64::try_from(searching.as_millis()).unwrap_or(u64::MAX),
            route: child.route_update(route),
        })
    }

    /// Returns the updates that are due for all children.
    pub fn due_updates(&mut self, now: Timestamp) -> Vec<(ChildKey, DownMessage)> {
        let keys: Vec<ChildKey> = self.children.keys().copied().collect();
        let updates = keys
            .into_iter()
            .filter_map(|key| Some((key, self.due_update(now, key)?)));
        updates.collect()
    }

    /// Returns the update that is due for one child, and records it as sent.
    ///
    /// An update that was sent is not repeated until [`RESEND_INTERVAL`] has passed, unless the
    /// child asks for a repair.
    pub fn due_update(&mut self, now: Timestamp, key: ChildKey) -> Option<DownMessage> {
        let newest = HeldVersions {
            config: self.config_history.newest(),
            members: self.members_history.newest(),
        };
        let child = self.children.get_mut(&key)?;
        let held = child.held();
        let (sent, sent_at) = child.sent();
        let repair = child.repair();
        let needs_update = held.config.version < newest.config.version
            || (self.config.is_some() && held.config == ConfigId::default())
            || held.members < newest.members
            || repair == Repair::Snapshot;
        let is_in_flight = now.since(sent_at) < RESEND_INTERVAL && repair == Repair::None;
        if !needs_update || (sent == newest && is_in_flight) {
            return None;
        }
        let base = if is_in_flight {
            max_held(held, sent)
        } else {
            held
        };
        child.record_sent(now, newest);
        let config_base = if repair == Repair::Snapshot {
            ConfigId::default()
        } else {
            base.config
        };
        let config = match &self.config {
            Some(config) if config_base.version <= newest.config.version => self
                .config_history
                .updates_from(config_base, || encode_config(config)),
            Some(_) | None => Vec::new(),
        };
        let members = if base.members < newest.members {
            let members = self.members.clone();
            self.members_history
                .updates_from(base.members, || encode_members(&members))
        } else {
            Vec::new()
        };
        let is_empty = config.is_empty() && members.is_empty();
        (!is_empty).then_some(DownMessage::Update(Update { config, members }))
    }

    /// Returns the changes of the configuration that a node lacks which is not a child, if it holds a
    /// version from which they are known.
    #[must_use]
    pub fn changes_since(&self, held: ConfigId) -> Option<DownMessage> {
        let config = self.config_history.deltas_from(held)?;
        let members = Vec::new();
        Some(DownMessage::Update(Update { config, members }))
    }

    /// Returns the number of nodes by served version, over all children and the nodes below them.
    #[must_use]
    pub fn acks(&self) -> AckSummary {
        let newest = self.config_history.newest().version;
        let mut summary = AckSummary::default();
        for child in self.children.values() {
            summary.merge(child.acks());
            if let Some((lowest, _)) = child.acks().nodes.first_key_value()
                && *lowest < newest
                && child.acks().slowest.is_empty()
            {
                summary.add_lagging(&child.record().node, *lowest);
            }
        }
        summary
    }

    /// Returns the versions that one child and the nodes below it serve.
    #[must_use]
    pub fn acks_of(&self, key: ChildKey) -> Option<&AckSummary> {
        self.children.get(&key).map(Child::acks)
    }

    /// Returns the records of the children and of all nodes below them.
    pub fn records(&self) -> impl Iterator<Item = &NodeRecord> {
        self.children.values().flat_map(Child::records)
    }

    /// Returns the children with the keys of their connections.
    pub fn children(&self) -> impl Iterator<Item = (ChildKey, &Child)> {
        self.children.iter().map(|(key, child)| (*key, child))
    }

    /// Returns the number of children.
    #[must_use]
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Returns whether there are no children.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    /// Returns whether a child was accepted on this connection.
    #[must_use]
    pub fn contains(&self, key: ChildKey) -> bool {
        self.children.contains_key(&key)
    }

    /// Returns whether a node below serves nothing until a round is confirmed.
    #[must_use]
    pub fn awaits_confirmation(&self) -> bool {
        self.children.values().any(Child::awaits_confirmation)
    }

    /// Removes all children and returns their keys.
    pub fn clear(&mut self) -> Vec<ChildKey> {
        self.children.drain().map(|(key, _)| key).collect()
    }

    fn key_of(&self, record: &NodeRecord) -> Option<ChildKey> {
        let mut children = self.children.iter();
        let found = children.find(|(_, child)| child.record().node == record.node);
        found.map(|(key, _)| *key)
    }
}

fn new_evidence(child: &mut Child, report: &Report) -> Option<EvidenceBatch> {
    let batch = report.evidence.as_ref()?;
    child.accept_evidence(batch.sequence).then(|| batch.clone())
}

fn max_held(left: HeldVersions, right: HeldVersions) -> HeldVersions {
    HeldVersions {
        config: left.config.max(right.config),
        members: left.members.max(right.members),
    }
}

fn encode_config(config: &Config) -> Payload {
    Payload::encode(&ConfigUpdate::Snapshot(config.clone()))
}

fn encode_members(members: &Members) -> Payload {
    Payload::encode(&MembersUpdate::Snapshot(members.clone()))
}

/// Creates the message that tells a child to ask again after `wait`, plus at most one millisecond.
#[must_use]
pub(crate) fn retry_message(wait: Duration) -> DownMessage {
    let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    DownMessage::Retry {
        after_ms: millis.saturating_add(1),
    }
}
