//! The parent's side of the tree, for the leader and for relays alike.

use std::{sync::Arc, time::Duration};

use trefoillock_core::{Config, Map, Members, MembersVersion, NodeId, Timestamp, data};

use crate::{
    AckSummary, Beat, ConfigMark, ConfigUpdate, DownMessage, EvidenceBatch, Floor, Held, Hello,
    History, MembersUpdate, NodeRecord, Payload, Repair, Report, Route, SubtreeChange, Update,
    child::Child,
    timing::{RESEND_INTERVAL, SILENCE_TIMEOUT},
};

/// A connection from a child, numbered by the process that accepted it.
#[data(key)]
pub struct ChildKey(u64);

impl ChildKey {
    /// Creates a key from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

/// What came of a message of a child.
#[derive(Debug, Default)]
pub struct Taken {
    /// Changes of the tree below.
    pub changes: Vec<SubtreeChange>,
    /// Evidence that was not taken before.
    pub evidence: Option<EvidenceBatch>,
}

/// Children, what each of them holds, and the updates that bring them to the newest versions.
#[derive(Debug, Default)]
pub struct Distributor {
    owner: Option<NodeId>,
    config: Option<Arc<Config>>,
    members: Arc<Members>,
    config_history: History<ConfigMark>,
    members_history: History<MembersVersion>,
    children: Map<ChildKey, Child>,
}

impl Distributor {
    /// Creates the parent's side of a node; `None` stands for the leader.
    #[must_use]
    pub fn new(owner: Option<NodeId>) -> Self {
        Self {
            owner,
            ..Self::default()
        }
    }

    /// Sets the configuration to pass on, with the payload that led to it if there is one.
    pub fn set_config(&mut self, config: Arc<Config>, payload: Option<(Payload, bool)>) {
        let mark = ConfigMark::from(config.as_ref());
        match (payload, &self.config) {
            (Some((delta, true)), _) => self.config_history.push(mark, delta),
            (Some((snapshot, false)), _) => self.config_history.restart(mark, snapshot),
            (None, Some(before)) => {
                let delta = ConfigUpdate::Delta(before.delta_to(&config));
                self.config_history.push(mark, Payload::encode(&delta));
            }
            (None, None) => self.config_history.restart(mark, encode_config(&config)),
        }
        self.config = Some(config);
    }

    /// Sets the list of members to pass on, with the payload that led to it.
    ///
    /// A difference is only kept if it starts at the version that was set before.
    pub fn set_members(&mut self, members: Arc<Members>, payload: Payload, is_delta: bool) {
        if is_delta {
            self.members_history.push(members.version, payload);
        } else {
            self.members_history.restart(members.version, payload);
        }
        self.members = members;
    }

    /// Forgets the list of members.
    pub fn clear_members(&mut self) {
        self.members = Arc::default();
        self.members_history = History::default();
    }

    /// The list of members that is passed on.
    #[must_use]
    pub const fn members(&self) -> &Arc<Members> {
        &self.members
    }

    /// Accepts a child, or takes the whole state of a child that was accepted before.
    ///
    /// An older connection of the same node is closed; its key is returned.
    pub fn hello(
        &mut self,
        now: Timestamp,
        key: ChildKey,
        hello: &Hello,
        next_round: u64,
    ) -> (Taken, Option<ChildKey>) {
        let mut taken = Taken::default();
        let older = self.key_of(&hello.record).filter(|other| *other != key);
        if let Some(older) = older {
            let is_newer = self.children[&older].record().order() > hello.record.order();
            if is_newer {
                return (taken, Some(key));
            }
            let before = self.children.remove(&older);
            taken.changes = before.map(|child| child.orphans(hello)).unwrap_or_default();
        }
        let owner = || self.owner.clone();
        let child = self
            .children
            .entry(key)
            .or_insert_with(|| Child::new(now, hello, owner()));
        if let Some(changes) = child.replace(now, hello) {
            taken.changes.extend(changes);
            child.rounds_mut().ask(hello.report.round, next_round);
        }
        (taken, older)
    }

    /// Takes a report of a child that was accepted.
    pub fn report(
        &mut self,
        now: Timestamp,
        key: ChildKey,
        report: &Report,
        next_round: u64,
    ) -> Taken {
        let mut taken = Taken::default();
        let Some(child) = self.children.get_mut(&key) else {
            return taken;
        };
        if let Some(changes) = child.report(now, report) {
            taken.changes = changes;
            taken.evidence = new_evidence(child, report);
            child.rounds_mut().ask(report.round, next_round);
        }
        taken
    }

    /// Notes that a live leader answered a question of this parent.
    pub fn confirm(&mut self, own_round: u64) {
        for child in self.children.values_mut() {
            child.rounds_mut().confirm(own_round);
        }
    }

    /// Removes a child and returns the loss to report.
    pub fn remove(&mut self, key: ChildKey) -> Option<SubtreeChange> {
        let child = self.children.remove(&key);
        child.map(|child| child.loss())
    }

    /// The children that were silent for too long.
    #[must_use]
    pub fn silent(&self, now: Timestamp) -> Vec<ChildKey> {
        let is_silent = |child: &Child| now.since(child.last_heard()) >= SILENCE_TIMEOUT;
        let silent = self.children.iter().filter(|(_, child)| is_silent(child));
        silent.map(|(key, _)| *key).collect()
    }

    /// The answer to a report of a child.
    #[must_use]
    pub fn beat(&mut self, key: ChildKey, floor: Floor, route: Route) -> Option<Beat> {
        let child = self.children.get_mut(&key)?;
        Some(Beat {
            confirmed_round: child.rounds().confirmed(),
            floor,
            evidence_taken: child.evidence_taken(),
            wants_hello: child.wants_hello(),
            route: child.route_update(route),
        })
    }

    /// The updates that are due for all children.
    pub fn updates(&mut self, now: Timestamp) -> Vec<(ChildKey, DownMessage)> {
        let keys: Vec<ChildKey> = self.children.keys().copied().collect();
        let due = keys
            .into_iter()
            .filter_map(|key| Some((key, self.update(now, key)?)));
        due.collect()
    }

    /// The update that is due for one child.
    pub fn update(&mut self, now: Timestamp, key: ChildKey) -> Option<DownMessage> {
        let newest = Held {
            config: self.config_history.newest(),
            members: self.members_history.newest(),
        };
        let child = self.children.get_mut(&key)?;
        let held = child.held();
        let (sent, sent_at) = child.sent();
        let repair = child.repair();
        let needs = held.config.version < newest.config.version
            || (self.config.is_some() && held.config == ConfigMark::default())
            || held.members < newest.members
            || repair == Repair::Snapshot;
        let is_in_flight = now.since(sent_at) < RESEND_INTERVAL && repair == Repair::None;
        if !needs || (sent == newest && is_in_flight) {
            return None;
        }
        let base = if is_in_flight {
            max_held(held, sent)
        } else {
            held
        };
        child.note_sent(now, newest);
        let config_base = if repair == Repair::Snapshot {
            ConfigMark::default()
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

    /// The versions that are served below, summed.
    #[must_use]
    pub fn acks(&self) -> AckSummary {
        let newest = self.config_history.newest().version;
        let mut sum = AckSummary::default();
        for child in self.children.values() {
            sum.merge(child.acks());
            if let Some((lowest, _)) = child.acks().nodes.first_key_value()
                && *lowest < newest
                && child.acks().slowest.is_empty()
            {
                sum.name(&child.record().node, *lowest);
            }
        }
        sum
    }

    /// The nodes below.
    pub fn records(&self) -> impl Iterator<Item = &NodeRecord> {
        self.children.values().flat_map(Child::records)
    }

    /// The children.
    pub fn children(&self) -> impl Iterator<Item = (ChildKey, &Child)> {
        self.children.iter().map(|(key, child)| (*key, child))
    }

    /// The number of children.
    #[must_use]
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether there are no children.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    /// Whether a child was accepted on this connection.
    #[must_use]
    pub fn contains(&self, key: ChildKey) -> bool {
        self.children.contains_key(&key)
    }

    /// Whether a node below serves nothing until the leader's versions are known.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.children.values().any(Child::is_urgent)
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
    child.take_evidence(batch.sequence).then(|| batch.clone())
}

fn max_held(left: Held, right: Held) -> Held {
    Held {
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

/// The time that a told retry time stands for, as a message.
#[must_use]
pub(crate) fn retry_after(wait: Duration) -> DownMessage {
    let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    DownMessage::Retry {
        after_ms: millis.saturating_add(1),
    }
}
