//! A control replica's side of the distribution as a state machine without I/O.
//!
//! Inputs are the replica's role and configuration, messages of nodes, closed connections and the
//! current time. Outputs are [`ControlEffect`]s, the member list, the fleet status and the received
//! evidence. On the leader it accepts nodes and distributes versions; on other replicas it
//! redirects nodes to the leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use trefoillock_core::{
    Config, CrashReport, DataCentre, DrainedRuns, Evidence, Fingerprint, Guard, Map, Members,
    MembersVersion, NodeId, Term, Timestamp,
};

use crate::{
    AttachLimiter, ChildKey, ConfigId, Distributor, DownMessage, FleetStatus, Hello, MinVersions,
    NodeTable, Report, Route, SubtreeChange, TreePlanner, UpMessage,
    distributor::{ReportedChanges, retry_message},
    timing::MEMBERS_WINDOW,
};

mod admission;
mod publication;

/// The number of children that the leader accepts per second.
const ADMITTED_PER_SECOND: u32 = 400;
/// The delay after which a node asks again while there is no leader or no place for it.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The largest number of crash reports that are kept to detect duplicates.
const MAX_SEEN_CRASHES: usize = 4_096;
/// The interval at which the member list is rebuilt even without a change of the fleet, since
/// damped backend servers become visible by time alone.
const MEMBERS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Whether a control replica leads, and the leader's address if it does not.
///
/// The caller may set `Leading` only while the replica holds its lease and has applied every entry
/// that was committed before its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipRole {
    /// The replica is the leader.
    Leading {
        /// The term in which it leads.
        term: Term,
    },
    /// The replica was elected but cannot confirm at present that it still leads, because its lease
    /// has ended or its state is not known to be current.
    Unconfirmed {
        /// The term in which it was elected.
        term: Term,
    },
    /// The replica is not the leader.
    Following {
        /// The address on which the leader accepts nodes; `None` if no leader is known.
        leader: Option<SocketAddr>,
    },
}

/// The state of a control replica that the distribution depends on.
#[derive(Debug, Clone)]
pub struct ControlState {
    /// The role of the replica.
    pub role: LeadershipRole,
    /// The newest configuration that the replica has applied.
    pub config: Arc<Config>,
    /// The mesh addresses of all control replicas; empty while the replica knows no membership.
    pub replicas: Vec<SocketAddr>,
}

/// An action that the caller of the state machine must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlEffect {
    /// Send a message to a child.
    Send(ChildKey, DownMessage),
    /// Close the connection of a child after all queued messages were sent.
    Close(ChildKey),
}

/// A control replica's side of the distribution.
#[derive(Debug)]
pub struct ControlMachine {
    address: SocketAddr,
    role: LeadershipRole,
    /// Whether the lease of this replica holds at present; only then is its role as leader certain.
    holds_lease: bool,
    config: Option<Arc<Config>>,
    distributor: Distributor,
    node_table: NodeTable,
    planner: TreePlanner,
    attach_limiter: AttachLimiter,
    version: MembersVersion,
    /// Whether a member list was published since this replica became the leader.
    has_published: bool,
    leading_since: Timestamp,
    last_publish: Timestamp,
    /// The largest number of backend servers in a member list that a node reported to hold.
    max_servers_known: u32,
    /// Whether the member list may have changed since it was last built.
    is_dirty: bool,
    quarantined: BTreeMap<Fingerprint, Timestamp>,
    /// The runs of backend servers whose departure is in the replicated log.
    departures: Arc<DrainedRuns>,
    /// The nodes that were attached when this replica last stopped leading.
    last_relays: Vec<(DataCentre, SocketAddr)>,
    /// The nodes that wait until a leader is known, each with the end of its wait.
    waiting: Map<ChildKey, (Hello, Timestamp)>,
    replicas: Vec<SocketAddr>,
    evidence: Evidence,
    crashes: Vec<CrashReport>,
    seen_crashes: BTreeSet<CrashReport>,
    effects: Vec<ControlEffect>,
}

impl ControlMachine {
    /// Creates the state machine of a control replica that accepts nodes on `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            role: LeadershipRole::Following { leader: None },
            holds_lease: true,
            config: None,
            distributor: Distributor::default(),
            node_table: NodeTable::default(),
            planner: TreePlanner::default(),
            attach_limiter: AttachLimiter::new(ADMITTED_PER_SECOND),
            version: MembersVersion::default(),
            has_published: false,
            leading_since: Timestamp::EPOCH,
            last_publish: Timestamp::EPOCH,
            max_servers_known: 0,
            is_dirty: false,
            quarantined: BTreeMap::new(),
            departures: Arc::default(),
            last_relays: Vec::new(),
            waiting: Map::default(),
            replicas: Vec::new(),
            evidence: Evidence::default(),
            crashes: Vec::new(),
            seen_crashes: BTreeSet::new(),
            effects: Vec::new(),
        }
    }

    /// Applies a new role, configuration and list of replicas.
    pub fn set_state(&mut self, now: Timestamp, state: &ControlState) {
        self.set_config(&state.config);
        self.replicas.clone_from(&state.replicas);
        self.set_role(now, self.next_role(state.role));
        self.answer_waiting_nodes(now);
        self.send_updates(now);
    }

    /// Sets whether the lease of this replica holds. It may have ended, for instance while the VM was
    /// suspended, before [`Self::set_state`] is told that the replica does not lead any more.
    pub const fn set_lease_held(&mut self, holds_lease: bool) {
        self.holds_lease = holds_lease;
    }

    /// Returns the role of this replica as far as it is certain at present.
    const fn certain_role(&self) -> LeadershipRole {
        match self.role {
            LeadershipRole::Leading { term } if !self.holds_lease => {
                LeadershipRole::Unconfirmed { term }
            }
            role => role,
        }
    }

    /// Returns the role to take. A replica that was elected but has not led in this term does not
    /// know the fleet, so nodes are treated as while no leader is known.
    fn next_role(&self, role: LeadershipRole) -> LeadershipRole {
        match (self.role, role) {
            (
                LeadershipRole::Leading { term } | LeadershipRole::Unconfirmed { term },
                LeadershipRole::Unconfirmed { term: elected_in },
            ) if term == elected_in => role,
            (_, LeadershipRole::Unconfirmed { .. }) => LeadershipRole::Following { leader: None },
            _ => role,
        }
    }

    fn set_role(&mut self, now: Timestamp, role: LeadershipRole) {
        use LeadershipRole::{Following, Leading, Unconfirmed};
        let before = std::mem::replace(&mut self.role, role);
        match (before, role) {
            (Following { .. }, Leading { term }) => self.start_leading(now, term),
            (Leading { term: old }, Leading { term }) => {
                if old != term {
                    self.version = MembersVersion::new(term, 0).max(self.version);
                    self.is_dirty = true;
                }
            }
            (Unconfirmed { term: old }, Leading { term }) if old == term => self.is_dirty = true,
            (Unconfirmed { .. }, Leading { term }) => {
                self.stop_leading();
                self.start_leading(now, term);
            }
            (Leading { .. } | Unconfirmed { .. }, Following { .. }) => self.stop_leading(),
            (_, Unconfirmed { .. }) | (Following { .. }, Following { .. }) => {}
        }
    }

    fn set_config(&mut self, config: &Arc<Config>) {
        let id = ConfigId::from(config.as_ref());
        let held = self.config.as_deref().map(ConfigId::from);
        if held.is_none_or(|held| id.version > held.version) {
            self.distributor.set_config(config.clone(), None);
            self.config = Some(config.clone());
        }
    }

    fn start_leading(&mut self, now: Timestamp, term: Term) {
        self.node_table = NodeTable::default();
        self.node_table
            .set_recorded_departures(self.departures.clone());
        self.distributor.clear_members();
        self.planner = TreePlanner::default();
        self.version = MembersVersion::new(term, 0).max(self.version);
        self.has_published = false;
        self.leading_since = now;
        self.max_servers_known = 0;
        self.is_dirty = true;
        self.evidence = Evidence::default();
        self.crashes.clear();
    }

    fn stop_leading(&mut self) {
        self.last_relays = self
            .node_table
            .attached()
            .map(|record| (record.data_centre.clone(), record.mesh_address))
            .collect();
        for key in self.distributor.clear() {
            self.reject(key, retry_message(RETRY_DELAY));
        }
    }

    /// Handles a message of a child.
    pub fn on_child_message(&mut self, now: Timestamp, key: ChildKey, message: &UpMessage) {
        match message {
            UpMessage::Hello(hello) if self.distributor.contains(key) => {
                let (reported, _) = self.distributor.on_hello(now, key, hello, 0);
                self.process_changes(now, key, &hello.report, reported);
            }
            UpMessage::Hello(hello) => self.on_hello(now, key, hello),
            UpMessage::Report(report) if self.distributor.contains(key) => {
                let reported = self.distributor.on_report(now, key, report, 0);
                self.process_changes(now, key, report, reported);
            }
            UpMessage::Report(_) => self.effects.push(ControlEffect::Close(key)),
        }
    }

    fn reject(&mut self, key: ChildKey, answer: DownMessage) {
        self.effects.push(ControlEffect::Send(key, answer));
        self.effects.push(ControlEffect::Close(key));
    }

    fn process_changes(
        &mut self,
        now: Timestamp,
        key: ChildKey,
        report: &Report,
        reported: ReportedChanges,
    ) {
        let known = report.state.as_ref().map(|state| state.servers_known);
        self.max_servers_known = self.max_servers_known.max(known.unwrap_or_default());
        self.apply_changes(now, reported.changes);
        if let Some(batch) = reported.evidence {
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
        self.send_reply(key);
        if let Some(update) = self.distributor.due_update(now, key) {
            self.effects.push(ControlEffect::Send(key, update));
        }
    }

    /// Replies to a report. The leader itself confirms every round at once; a replica that may have
    /// been replaced confirms none.
    fn send_reply(&mut self, key: ChildKey) {
        if self.is_leading() {
            self.distributor.confirm(0);
        }
        let min_versions = MinVersions {
            config: self
                .config
                .as_ref()
                .map(|config| config.version())
                .unwrap_or_default(),
            members: if self.has_published {
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
        if let Some(reply) = self
            .distributor
            .reply(key, min_versions, Duration::ZERO, route)
        {
            let reply = DownMessage::ReportReply(Box::new(reply));
            self.effects.push(ControlEffect::Send(key, reply));
        }
    }

    /// Returns the mesh addresses of the other children in the same data centre.
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

    fn apply_changes(&mut self, now: Timestamp, changes: Vec<SubtreeChange>) {
        for change in changes {
            self.is_dirty = true;
            match change {
                SubtreeChange::Joined(record) => self.node_table.insert_record(now, record),
                SubtreeChange::Left(lost) => self.node_table.mark_lost(now, &lost),
            }
        }
    }

    /// Handles the end of a child's connection.
    pub fn on_child_closed(&mut self, now: Timestamp, key: ChildKey) {
        self.waiting.remove(&key);
        let lost = self.distributor.remove(key);
        self.apply_changes(now, lost.into_iter().collect());
    }

    /// Runs the timers: drops silent children, expires leases, and publishes and sends what is due.
    pub fn on_tick(&mut self, now: Timestamp) {
        self.answer_waiting_nodes(now);
        if matches!(self.role, LeadershipRole::Following { .. }) {
            return;
        }
        for key in self.distributor.silent_children(now) {
            self.effects.push(ControlEffect::Close(key));
            self.on_child_closed(now, key);
        }
        let reported = self.distributor.records();
        self.is_dirty |= self.node_table.expire(now, reported);
        let elapsed = now.since(self.last_publish);
        let is_due = self.is_dirty || elapsed >= MEMBERS_REFRESH_INTERVAL;
        if self.is_leading() && is_due && elapsed >= MEMBERS_WINDOW && self.may_publish(now) {
            self.publish(now);
        }
        self.send_updates(now);
    }

    fn send_updates(&mut self, now: Timestamp) {
        let updates = self.distributor.due_updates(now);
        let sends = updates
            .into_iter()
            .map(|(key, update)| ControlEffect::Send(key, update));
        self.effects.extend(sends);
    }

    /// Sets the request fingerprints that nodes must refuse, each with the end of its quarantine.
    pub fn set_quarantined(&mut self, quarantined: BTreeMap<Fingerprint, Timestamp>) {
        self.is_dirty |= self.quarantined != quarantined;
        self.quarantined = quarantined;
    }

    /// Sets the runs of backend servers whose departure is in the replicated log.
    pub fn set_departures(&mut self, departures: Arc<DrainedRuns>) {
        self.departures = departures.clone();
        self.node_table.set_recorded_departures(departures);
        self.is_dirty = true;
    }

    /// Returns whether this replica is the leader and its lease holds.
    #[must_use]
    pub const fn is_leading(&self) -> bool {
        matches!(self.certain_role(), LeadershipRole::Leading { .. })
    }

    /// Returns the last published member list.
    #[must_use]
    pub const fn members(&self) -> &Arc<Members> {
        self.distributor.members()
    }

    /// Returns the nodes that can guard idempotency keys; empty until the leader has published its
    /// first member list.
    #[must_use]
    pub fn guards(&self) -> Vec<Guard> {
        if self.has_published {
            self.node_table.guards()
        } else {
            Vec::new()
        }
    }

    /// Returns the identifiers of the known nodes.
    pub fn known_nodes(&self) -> impl Iterator<Item = NodeId> {
        self.node_table.nodes().cloned()
    }

    /// Returns the status of the fleet.
    #[must_use]
    pub fn status(&self) -> FleetStatus {
        let newest = self
            .config
            .as_ref()
            .map(|config| config.version())
            .unwrap_or_default();
        FleetStatus::new(
            self.is_leading(),
            self.has_published,
            newest,
            &self.distributor.acks(),
            &self.node_table,
        )
    }

    /// Returns whether every known node is attached and serves the newest version.
    #[must_use]
    pub fn has_converged(&self) -> bool {
        let newest = self
            .config
            .as_ref()
            .map(|config| config.version())
            .unwrap_or_default();
        self.distributor.acks().nodes_at_least(newest) as usize == self.node_table.len()
            && self.status().has_converged()
    }

    /// Removes and returns the evidence received since the last call.
    pub fn take_evidence(&mut self) -> Evidence {
        std::mem::take(&mut self.evidence)
    }

    /// Removes and returns the crash reports received since the last call.
    pub fn take_crashes(&mut self) -> Vec<CrashReport> {
        std::mem::take(&mut self.crashes)
    }

    /// Removes and returns the effects to carry out, in order.
    pub fn take_effects(&mut self) -> Vec<ControlEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the number of children.
    #[must_use]
    pub fn child_count(&self) -> usize {
        self.distributor.len()
    }
}
