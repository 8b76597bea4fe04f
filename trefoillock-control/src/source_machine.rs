//! The leader's side of the distribution as a state machine.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use trefoillock_core::{
    Config, CrashReport, DataCentre, Evidence, Fingerprint, Guard, Map, Members, MembersVersion,
    NodeId, Term, Timestamp,
};

use crate::{
    Admission, ChildKey, ConfigMark, Distributor, DownMessage, FleetStatus, Floor, Hello,
    MemberTable, MembersDelta, MembersUpdate, ParentAddress, Payload, Placement, Report, Route,
    SubtreeChange, TreePlan, UpMessage,
    distributor::{Taken, retry_after},
    timing::{LEADER_GRACE, LEADER_GRACE_LIMIT, MEMBERS_WINDOW},
};

/// The number of children that the leader accepts in a second.
const ADMITTED_PER_SECOND: u32 = 400;
/// The time after which a node asks again while there is no leader or no place for it.
const RETRY: Duration = Duration::from_millis(150);
/// The time for which a node waits at a replica that knows no leader; shorter than
/// [`ATTACH_TIMEOUT`](crate::timing::ATTACH_TIMEOUT), so that the node asks another one soon.
const WAIT_FOR_LEADER: Duration = Duration::from_millis(300);
/// The largest number of nodes that wait at one replica.
const MAX_WAITING: usize = 2_048;
/// The largest number of crash reports that are remembered to drop repeats.
const MAX_SEEN_CRASHES: usize = 4_096;
/// The time after which the list of members is built again without a change of the fleet.
const MEMBERS_REFRESH: Duration = Duration::from_secs(1);
/// The time after which a new leader waits for most of the known backend servers only.
const HEARD_GRACE: Duration = Duration::from_millis(1_200);
/// The time after which a new leader publishes a part of a fleet in which no node holds a list;
/// a node that holds one would have attached by then, within one [`RETRY`].
const NEW_FLEET_GRACE: Duration = Duration::from_millis(160);
/// The share of the known backend servers, in percent, that a new leader waits for then.
const HEARD_PERCENT: u64 = 90;

/// Whether a control replica leads.
///
/// `Leading` must only be given while the replica holds its lease and has applied every entry
/// that was committed before its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceRole {
    /// It leads.
    Leading {
        /// The term.
        term: Term,
    },
    /// It does not.
    Following {
        /// The address at which the leader takes nodes, if it is known.
        leader: Option<SocketAddr>,
    },
}

/// The state of a control replica that the distribution builds on.
#[derive(Debug, Clone)]
pub struct SourceState {
    /// Whether it leads.
    pub role: SourceRole,
    /// The newest configuration that it has applied.
    pub config: Arc<Config>,
    /// The mesh addresses of all control replicas.
    pub replicas: Vec<SocketAddr>,
}

/// What the machine wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceEffect {
    /// Send a message to a child.
    Send(ChildKey, DownMessage),
    /// Close the connection of a child after all messages were sent.
    Close(ChildKey),
}

/// The leader's side of the distribution.
#[derive(Debug)]
pub struct SourceMachine {
    address: SocketAddr,
    role: SourceRole,
    config: Option<Arc<Config>>,
    distributor: Distributor,
    table: MemberTable,
    plan: TreePlan,
    admission: Admission,
    version: MembersVersion,
    published: bool,
    leading_since: Timestamp,
    last_publish: Timestamp,
    servers_known: u32,
    is_dirty: bool,
    quarantined: BTreeMap<Fingerprint, Timestamp>,
    relays: Vec<(DataCentre, SocketAddr)>,
    /// The nodes that wait for a leader to be known, with the time until which they do.
    waiting: Map<ChildKey, (Hello, Timestamp)>,
    replicas: Vec<SocketAddr>,
    evidence: Evidence,
    crashes: Vec<CrashReport>,
    seen_crashes: BTreeSet<CrashReport>,
    effects: Vec<SourceEffect>,
}

impl SourceMachine {
    /// Creates the machine of a control replica that takes nodes at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            role: SourceRole::Following { leader: None },
            config: None,
            distributor: Distributor::default(),
            table: MemberTable::default(),
            plan: TreePlan::default(),
            admission: Admission::new(ADMITTED_PER_SECOND),
            version: MembersVersion::default(),
            published: false,
            leading_since: Timestamp::EPOCH,
            last_publish: Timestamp::EPOCH,
            servers_known: 0,
            is_dirty: false,
            quarantined: BTreeMap::new(),
            relays: Vec::new(),
            waiting: Map::default(),
            replicas: Vec::new(),
            evidence: Evidence::default(),
            crashes: Vec::new(),
            seen_crashes: BTreeSet::new(),
            effects: Vec::new(),
        }
    }

    /// Takes the state of the replica.
    pub fn set_state(&mut self, now: Timestamp, state: &SourceState) {
        self.set_config(&state.config);
        self.replicas.clone_from(&state.replicas);
        if state.role != self.role {
            let before = std::mem::replace(&mut self.role, state.role);
            match (before, state.role) {
                (SourceRole::Following { .. }, SourceRole::Leading { term }) => {
                    self.start_leading(now, term);
                }
                (SourceRole::Leading { .. }, SourceRole::Leading { term }) => {
                    self.version = MembersVersion::new(term, 0).max(self.version);
                    self.is_dirty = true;
                }
                (SourceRole::Leading { .. }, SourceRole::Following { .. }) => self.stop_leading(),
                (SourceRole::Following { .. }, SourceRole::Following { .. }) => {}
            }
        }
        self.answer_waiting(now);
        self.send_updates(now);
    }

    fn set_config(&mut self, config: &Arc<Config>) {
        let mark = ConfigMark::from(config.as_ref());
        let held = self.config.as_deref().map(ConfigMark::from);
        if held.is_none_or(|held| mark.version > held.version) {
            self.distributor.set_config(config.clone(), None);
            self.config = Some(config.clone());
        }
    }

    fn start_leading(&mut self, now: Timestamp, term: Term) {
        self.table = MemberTable::default();
        self.distributor.clear_members();
        self.plan = TreePlan::default();
        self.version = MembersVersion::new(term, 0).max(self.version);
        self.published = false;
        self.leading_since = now;
        self.servers_known = 0;
        self.is_dirty = true;
        self.evidence = Evidence::default();
        self.crashes.clear();
    }

    fn stop_leading(&mut self) {
        self.relays = self
            .table
            .attached()
            .map(|record| (record.data_centre.clone(), record.mesh_address))
            .collect();
        for key in self.distributor.clear() {
            self.refuse(key, retry_after(RETRY));
        }
    }

    /// Takes a message of a child.
    pub fn on_message(&mut self, now: Timestamp, key: ChildKey, message: &UpMessage) {
        match message {
            UpMessage::Hello(hello) if self.distributor.contains(key) => {
                let (taken, _) = self.distributor.hello(now, key, hello, 0);
                self.take(now, key, &hello.report, taken);
            }
            UpMessage::Hello(hello) => self.on_hello(now, key, hello),
            UpMessage::Report(report) if self.distributor.contains(key) => {
                let taken = self.distributor.report(now, key, report, 0);
                self.take(now, key, report, taken);
            }
            UpMessage::Report(_) => self.effects.push(SourceEffect::Close(key)),
        }
    }

    fn on_hello(&mut self, now: Timestamp, key: ChildKey, hello: &Hello) {
        let answer = match self.role {
            SourceRole::Leading { .. } => self.place(now, hello),
            SourceRole::Following {
                leader: Some(leader),
            } => Err(DownMessage::Redirect(ParentAddress::control(leader))),
            SourceRole::Following { leader: None } => match self.place_without_leader(hello) {
                Some(relay) => Err(relay),
                None if hello.is_probe || self.waiting.len() >= MAX_WAITING => {
                    Err(retry_after(RETRY))
                }
                // Without a membership this replica hears of a leader later than the others.
                None if self.replicas.is_empty() => {
                    self.effects.push(SourceEffect::Close(key));
                    return;
                }
                None => {
                    self.waiting
                        .insert(key, (hello.clone(), now + WAIT_FOR_LEADER));
                    return;
                }
            },
        };
        if let Err(answer) = answer {
            self.refuse(key, answer);
            return;
        }
        let (taken, older) = self.distributor.hello(now, key, hello, 0);
        if let Some(older) = older {
            self.effects.push(SourceEffect::Close(older));
        }
        if self.distributor.contains(key) {
            self.effects
                .push(SourceEffect::Send(key, DownMessage::Welcome));
            self.take(now, key, &hello.report, taken);
        }
    }

    /// Accepts a child, or returns the answer that sends it away.
    fn place(&mut self, now: Timestamp, hello: &Hello) -> Result<(), DownMessage> {
        match self.plan.place(now, &self.table, hello) {
            Placement::Under(relay) => Err(DownMessage::Redirect(ParentAddress::relay(relay))),
            Placement::Later => Err(retry_after(RETRY)),
            Placement::Direct if hello.is_probe => {
                let here = ParentAddress::control(self.address);
                Err(DownMessage::Redirect(here))
            }
            Placement::Direct => {
                let admitted = self.admission.admit(now, &hello.record.node);
                admitted.map_err(retry_after)
            }
        }
    }

    /// Sends a node to a relay that was attached when this replica last led.
    fn place_without_leader(&self, hello: &Hello) -> Option<DownMessage> {
        let is_near = |(data_centre, address): &&(DataCentre, SocketAddr)| {
            *data_centre == hello.record.data_centre
                && *address != hello.record.mesh_address
                && Some(*address) != hello.avoid
        };
        let near: Vec<_> = self.relays.iter().filter(is_near).collect();
        let at = usize::try_from(hello.record.order().attachment).unwrap_or_default();
        let (_, relay) = near.get(at % near.len().max(1))?;
        (!hello.is_probe).then(|| DownMessage::Redirect(ParentAddress::relay(*relay)))
    }

    /// Answers the nodes that waited, once a leader is known or their time is over.
    fn answer_waiting(&mut self, now: Timestamp) {
        if self.role == (SourceRole::Following { leader: None }) {
            let late: Vec<ChildKey> = self
                .waiting
                .iter()
                .filter(|(_, (_, until))| now >= *until)
                .map(|(key, _)| *key)
                .collect();
            for key in late {
                self.waiting.remove(&key);
                // The node asks another replica, which may be on the leader's side of a cut.
                self.effects.push(SourceEffect::Close(key));
            }
            return;
        }
        for (key, (hello, _)) in std::mem::take(&mut self.waiting) {
            self.on_hello(now, key, &hello);
        }
    }

    fn refuse(&mut self, key: ChildKey, answer: DownMessage) {
        self.effects.push(SourceEffect::Send(key, answer));
        self.effects.push(SourceEffect::Close(key));
    }

    fn take(&mut self, now: Timestamp, key: ChildKey, report: &Report, taken: Taken) {
        let known = report.state.as_ref().map(|state| state.servers_known);
        self.servers_known = self.servers_known.max(known.unwrap_or_default());
        self.apply(now, taken.changes);
        if let Some(batch) = taken.evidence {
            self.evidence.merge(&batch.evidence);
            for crash in batch.crashes {
                if self.seen_crashes.insert(crash.clone()) {
                    self.crashes.push(crash);
                }
            }
            while self.seen_crashes.len() > MAX_SEEN_CRASHES {
                self.seen_crashes.pop_first();
            }
        }
        self.answer(key);
        if let Some(update) = self.distributor.update(now, key) {
            self.effects.push(SourceEffect::Send(key, update));
        }
    }

    /// Answers a report: the leader confirms every question at once.
    fn answer(&mut self, key: ChildKey) {
        self.distributor.confirm(0);
        let floor = Floor {
            config: self
                .config
                .as_ref()
                .map(|config| config.version())
                .unwrap_or_default(),
            members: if self.published {
                self.version
            } else {
                MembersVersion::default()
            },
        };
        let route = Route {
            path: Vec::new(),
            alternates: self.alternates(key),
            control: self.replicas.clone(),
        };
        if let Some(beat) = self.distributor.beat(key, floor, route) {
            let beat = DownMessage::Beat(Box::new(beat));
            self.effects.push(SourceEffect::Send(key, beat));
        }
    }

    /// The other children of the same data centre.
    fn alternates(&self, key: ChildKey) -> Vec<SocketAddr> {
        let mut children = self.distributor.children();
        let Some((_, child)) = children.find(|(other, _)| *other == key) else {
            return Vec::new();
        };
        let data_centre = &child.record().data_centre;
        let others = self
            .distributor
            .children()
            .filter(|(other, child)| *other != key && child.record().data_centre == *data_centre);
        others.map(|(_, child)| child.mesh_address()).collect()
    }

    fn apply(&mut self, now: Timestamp, changes: Vec<SubtreeChange>) {
        for change in changes {
            self.is_dirty = true;
            match change {
                SubtreeChange::Joined(record) => self.table.join(now, record),
                SubtreeChange::Left(lost) => self.table.leave(now, &lost),
            }
        }
    }

    /// Notes that the connection of a child ended.
    pub fn on_closed(&mut self, now: Timestamp, key: ChildKey) {
        self.waiting.remove(&key);
        let lost = self.distributor.remove(key);
        self.apply(now, lost.into_iter().collect());
    }

    /// Does what is due at this time.
    pub fn on_tick(&mut self, now: Timestamp) {
        if !self.is_leading() {
            self.answer_waiting(now);
            return;
        }
        for key in self.distributor.silent(now) {
            self.effects.push(SourceEffect::Close(key));
            self.on_closed(now, key);
        }
        let covered = self.distributor.records();
        self.is_dirty |= self.table.expire(now, covered);
        let elapsed = now.since(self.last_publish);
        let is_due = self.is_dirty || elapsed >= MEMBERS_REFRESH;
        if is_due && elapsed >= MEMBERS_WINDOW && self.may_publish(now) {
            self.publish(now);
        }
        self.send_updates(now);
    }

    /// Whether enough of the fleet was heard for a first list of this term.
    fn may_publish(&self, now: Timestamp) -> bool {
        if self.published {
            return true;
        }
        let leading = now.since(self.leading_since);
        let heard = self.table.servers_heard() as u64 * 100;
        let known = u64::from(self.servers_known);
        // Of a fleet that starts anew nobody holds a list, so a part of it is better than none.
        let is_new_fleet = known == 0 && heard > 0;
        let is_whole = heard >= known * 100;
        let is_most = heard >= known * HEARD_PERCENT;
        leading >= LEADER_GRACE_LIMIT
            || (leading >= NEW_FLEET_GRACE && is_new_fleet)
            || (leading >= LEADER_GRACE && is_whole)
            || (leading >= HEARD_GRACE && is_most)
    }

    fn publish(&mut self, now: Timestamp) {
        self.last_publish = now;
        self.is_dirty = false;
        let old = self.distributor.members().clone();
        let servers = self.table.servers(now);
        if self.published && servers == old.servers && self.quarantined == old.quarantined {
            return;
        }
        self.version.sequence += 1;
        let members = Members {
            version: self.version,
            servers,
            quarantined: self.quarantined.clone(),
        };
        let is_delta = self.published;
        let update = if is_delta {
            MembersUpdate::Delta(MembersDelta::between(&old, &members))
        } else {
            MembersUpdate::Snapshot(members.clone())
        };
        self.published = true;
        let payload = Payload::encode(&update);
        self.distributor
            .set_members(Arc::new(members), payload, is_delta);
    }

    fn send_updates(&mut self, now: Timestamp) {
        let updates = self.distributor.updates(now);
        let sends = updates
            .into_iter()
            .map(|(key, update)| SourceEffect::Send(key, update));
        self.effects.extend(sends);
    }

    /// Sets the requests that nodes shall refuse, with the time until which they do.
    pub fn set_quarantined(&mut self, quarantined: BTreeMap<Fingerprint, Timestamp>) {
        self.is_dirty |= self.quarantined != quarantined;
        self.quarantined = quarantined;
    }

    /// Whether this replica leads.
    #[must_use]
    pub const fn is_leading(&self) -> bool {
        matches!(self.role, SourceRole::Leading { .. })
    }

    /// The list of members as last published.
    #[must_use]
    pub const fn members(&self) -> &Arc<Members> {
        self.distributor.members()
    }

    /// The nodes that can guard idempotency keys; empty until enough of the fleet was heard.
    #[must_use]
    pub fn guards(&self) -> Vec<Guard> {
        if self.published {
            self.table.guards()
        } else {
            Vec::new()
        }
    }

    /// The nodes that are known.
    pub fn known_nodes(&self) -> impl Iterator<Item = NodeId> {
        self.table.nodes().cloned()
    }

    /// Who serves what.
    #[must_use]
    pub fn status(&self) -> FleetStatus {
        let newest = self
            .config
            .as_ref()
            .map(|config| config.version())
            .unwrap_or_default();
        FleetStatus::new(
            self.is_leading(),
            newest,
            &self.distributor.acks(),
            &self.table,
        )
    }

    /// Whether every known node serves the newest version.
    #[must_use]
    pub fn is_in_force(&self) -> bool {
        let newest = self
            .config
            .as_ref()
            .map(|config| config.version())
            .unwrap_or_default();
        self.distributor.acks().at_least(newest) as usize == self.table.len()
            && self.status().is_in_force()
    }

    /// Takes the evidence that arrived since the last call.
    pub fn take_evidence(&mut self) -> Evidence {
        std::mem::take(&mut self.evidence)
    }

    /// Takes the crash reports that arrived since the last call.
    pub fn take_crashes(&mut self) -> Vec<CrashReport> {
        std::mem::take(&mut self.crashes)
    }

    /// Takes what is to be done.
    pub fn take_effects(&mut self) -> Vec<SourceEffect> {
        std::mem::take(&mut self.effects)
    }

    /// The number of children.
    #[must_use]
    pub fn children(&self) -> usize {
        self.distributor.len()
    }
}
