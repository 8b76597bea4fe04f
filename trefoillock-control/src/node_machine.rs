//! The node's side of the distribution as a state machine without I/O.
//!
//! Inputs are messages of the parent and of children, closed connections, local announcements and
//! evidence, and the current time. Outputs are [`NodeEffect`]s and the served configuration and
//! member list.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand_pcg::Pcg64Mcg;
use trefoillock_core::{
    Announcement, Config, ConfigError, ConfigVersion, CrashReport, DataCentre, Evidence,
    Incarnation, Members, NodeId, Timestamp, data,
};

use crate::{
    AckSummary, AttachLimiter, ChildKey, ChildState, ConfigHolder, ConfigUpdate, Distributor,
    DownMessage, EvidenceOutbox, HeldVersions, Hello, LinkAction, LinkEnd, LinkId, MembersHolder,
    MembersUpdate, MinVersions, NodeRecord, ParentAddress, ParentEvent, Payload, Repair, Report,
    ReportReply, SubtreeChange, SubtreeDigest, UpMessage, Update, Uplink,
    timing::{MIN_REPORT_INTERVAL, REPORT_INTERVAL},
};

mod relay;

/// The number of children that a relay accepts per second.
const ADMITTED_PER_SECOND: u32 = 100;
/// The largest number of alternative parents that are kept.
const MAX_ALTERNATES: usize = 4;
/// The largest number of relays above a node; a longer path is treated as a loop.
const MAX_PATH_LENGTH: usize = 12;

/// The identity and the addresses of a node.
#[data]
pub struct NodeIdentity {
    /// The identifier of the node.
    pub node: NodeId,
    /// The incarnation of the node; it rises with each start of its process.
    pub incarnation: Incarnation,
    /// The data centre of the node.
    pub data_centre: DataCentre,
    /// The address on which the node accepts calls from other nodes.
    pub peer_address: SocketAddr,
    /// The address on which the node accepts children.
    pub mesh_address: SocketAddr,
}

/// An action that the caller of the state machine must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeEffect {
    /// Open a connection to a parent.
    OpenLink(LinkId, ParentAddress),
    /// Send a message to a parent.
    SendUp(LinkId, UpMessage),
    /// Close the connection to a parent.
    CloseLink(LinkId),
    /// Send a message to a child.
    SendDown(ChildKey, DownMessage),
    /// Close the connection of a child after all queued messages were sent.
    CloseChild(ChildKey),
}

/// The node's side of the distribution: holds the configuration and the member list, forwards them
/// to children, and aggregates the reports of the children for the parent.
#[derive(Debug)]
pub struct NodeMachine {
    record: NodeRecord,
    config: ConfigHolder,
    members: MembersHolder,
    uplink: Uplink,
    distributor: Distributor,
    attach_limiter: AttachLimiter,
    evidence_outbox: EvidenceOutbox,
    rng: Pcg64Mcg,
    min_versions: MinVersions,
    /// The relays above this node, starting at the leader's own child.
    path: Vec<NodeId>,
    alternates: Vec<SocketAddr>,
    /// The last confirmation round that this node started.
    round: u64,
    confirmed_round: u64,
    /// The sequence number of the next report.
    sequence: u64,
    repair: Repair,
    last_reported_state: Option<ChildState>,
    changes: Vec<SubtreeChange>,
    /// Whether to report after [`MIN_REPORT_INTERVAL`] instead of [`REPORT_INTERVAL`].
    needs_early_report: bool,
    last_report: Timestamp,
    effects: Vec<NodeEffect>,
}

impl NodeMachine {
    /// Creates the state machine of a node that holds nothing yet.
    ///
    /// `control` are the mesh addresses of the control replicas.
    #[must_use]
    pub fn new(identity: NodeIdentity, control: Vec<SocketAddr>, mut rng: Pcg64Mcg) -> Self {
        Self {
            record: NodeRecord {
                node: identity.node.clone(),
                incarnation: identity.incarnation,
                attachment: 0,
                revision: 0,
                data_centre: identity.data_centre,
                peer_address: identity.peer_address,
                mesh_address: identity.mesh_address,
                parent: None,
                announcements: Vec::new(),
            },
            config: ConfigHolder::new(),
            members: MembersHolder::default(),
            uplink: Uplink::new(control, &mut rng),
            distributor: Distributor::new(Some(identity.node.clone())),
            attach_limiter: AttachLimiter::new(ADMITTED_PER_SECOND),
            evidence_outbox: EvidenceOutbox::default(),
            rng,
            min_versions: MinVersions::default(),
            path: Vec::new(),
            alternates: Vec::new(),
            round: 0,
            confirmed_round: 0,
            sequence: 0,
            repair: Repair::None,
            last_reported_state: None,
            changes: Vec::new(),
            needs_early_report: false,
            last_report: Timestamp::EPOCH,
            effects: Vec::new(),
        }
    }

    /// Sets the backend servers on this node's VM.
    ///
    /// If two announcements have the same address, the later incarnation wins.
    pub fn set_announcements(&mut self, announcements: &[Announcement]) {
        let mut by_address: BTreeMap<SocketAddr, &Announcement> = BTreeMap::new();
        for announcement in announcements {
            let known = by_address.get(&announcement.address);
            if known.is_none_or(|known| known.incarnation < announcement.incarnation) {
                by_address.insert(announcement.address, announcement);
            }
        }
        let announcements: Vec<_> = by_address.into_values().cloned().collect();
        if announcements != self.record.announcements {
            self.record.announcements = announcements;
            self.record.revision += 1;
            self.queue_change(SubtreeChange::Joined(self.record.clone()));
        }
    }

    /// Adds evidence that was collected on this node.
    pub fn add_evidence(&mut self, evidence: &Evidence, crashes: Vec<CrashReport>) {
        self.needs_early_report |= !crashes.is_empty();
        self.evidence_outbox.add(evidence, crashes);
        self.needs_early_report |= self.evidence_outbox.is_urgent();
    }

    fn queue_change(&mut self, change: SubtreeChange) {
        self.changes.push(change);
        self.needs_early_report = true;
    }

    /// Runs the timers: drops silent children, reconnects, and sends due reports and updates.
    pub fn on_tick(&mut self, now: Timestamp) {
        for key in self.distributor.silent_children(now) {
            self.effects.push(NodeEffect::CloseChild(key));
            self.on_child_closed(key);
        }
        self.uplink.on_tick(now, &mut self.rng);
        self.apply_link_actions();
        self.send_due_report(now);
        self.send_updates(now);
    }

    fn apply_link_actions(&mut self) {
        for action in self.uplink.take_actions() {
            match action {
                LinkAction::Open {
                    link,
                    address,
                    is_probe,
                } => {
                    self.effects.push(NodeEffect::OpenLink(link, address));
                    if !is_probe {
                        self.start_attachment();
                    }
                    let hello = UpMessage::Hello(Box::new(self.hello(is_probe)));
                    self.effects.push(NodeEffect::SendUp(link, hello));
                }
                LinkAction::Close(link) => self.effects.push(NodeEffect::CloseLink(link)),
            }
        }
    }

    /// Starts a new attachment to another parent.
    fn start_attachment(&mut self) {
        self.record.attachment += 1;
        self.record.revision += 1;
        self.record.parent = None;
        self.sequence = 0;
        self.path.clear();
        self.evidence_outbox.discard_outstanding();
    }

    /// Sends the full state again to the parent that accepted this node, as a later attachment than
    /// those that other peers may have accepted meanwhile.
    fn renew_attachment(&mut self, link: LinkId) {
        self.record.attachment += 1;
        self.record.revision += 1;
        let hello = UpMessage::Hello(Box::new(self.hello(false)));
        self.effects.push(NodeEffect::SendUp(link, hello));
    }

    fn hello(&mut self, is_probe: bool) -> Hello {
        if !is_probe {
            self.changes.clear();
        }
        let report = self.next_report(is_probe);
        if !is_probe {
            self.last_reported_state.clone_from(&report.state);
        }
        Hello {
            record: self.record.clone(),
            is_probe,
            avoid: self.uplink.avoid(),
            subtree: self.distributor.records().cloned().collect(),
            report,
        }
    }

    fn next_report(&mut self, is_probe: bool) -> Report {
        let sequence = self.sequence;
        if !is_probe {
            self.sequence += 1;
            self.round += 1;
        }
        Report {
            sequence,
            round: self.round,
            awaits_confirmation: self.awaits_confirmation(),
            repair: self.repair,
            state: Some(self.state()),
            changes: Vec::new(),
            evidence: None,
        }
    }

    fn state(&self) -> ChildState {
        let known = self.members.held().servers.len();
        ChildState {
            held: self.held_versions(),
            servers_known: u32::try_from(known).unwrap_or(u32::MAX),
            acks: self.acks(),
            below: SubtreeDigest::of(self.distributor.records()),
        }
    }

    /// Returns whether this node or one below it serves no configuration yet.
    fn awaits_confirmation(&self) -> bool {
        self.config.serving().is_none() || self.distributor.awaits_confirmation()
    }

    /// Returns the number of nodes by served version, for this node and those below it.
    fn acks(&self) -> AckSummary {
        let mut acks = self.distributor.acks();
        acks.add_node(self.config.serving_version());
        acks
    }

    fn send_due_report(&mut self, now: Timestamp) {
        let Some(link) = self.uplink.attached() else {
            return;
        };
        let elapsed = now.since(self.last_report);
        let is_due = elapsed >= REPORT_INTERVAL;
        let is_early = self.needs_early_report && elapsed >= MIN_REPORT_INTERVAL;
        if is_due || is_early {
            self.last_report = now;
            self.needs_early_report = false;
            let mut report = self.next_report(false);
            if report.state == self.last_reported_state {
                report.state = None;
            } else {
                self.last_reported_state.clone_from(&report.state);
            }
            report.changes = std::mem::take(&mut self.changes);
            report.evidence = self.evidence_outbox.due_batch(now);
            let report = UpMessage::Report(Box::new(report));
            self.effects.push(NodeEffect::SendUp(link, report));
        }
    }

    /// Handles a message of a parent.
    pub fn on_parent_message(&mut self, now: Timestamp, link: LinkId, message: &DownMessage) {
        match message {
            DownMessage::Welcome => {
                if self.uplink.on_welcome(now, link) {
                    self.renew_attachment(link);
                }
                self.needs_early_report = true;
                self.reply_to_children(now);
            }
            DownMessage::Redirect(to) => {
                self.uplink.on_redirect(now, link, *to, &mut self.rng);
                self.uplink.on_tick(now, &mut self.rng);
            }
            DownMessage::Retry { after_ms } => {
                let after = Duration::from_millis(*after_ms);
                self.uplink.on_retry(now, link, after, &mut self.rng);
            }
            DownMessage::ReportReply(reply) if self.uplink.attached() == Some(link) => {
                self.on_reply(now, link, reply);
            }
            DownMessage::Update(update) if self.uplink.attached() == Some(link) => {
                self.uplink.on_parent_message(now, link, false);
                self.on_update(now, update);
            }
            DownMessage::Update(update) if self.uplink.is_asking(link) => {
                self.on_update(now, update);
            }
            DownMessage::ReportReply(_) | DownMessage::Update(_) => {}
        }
        self.apply_link_actions();
        self.send_due_report(now);
    }

    fn on_reply(&mut self, now: Timestamp, link: LinkId, reply: &ReportReply) {
        if let Some(route) = &reply.route {
            let path = &route.path;
            if path.contains(&self.record.node) || path.len() > MAX_PATH_LENGTH {
                self.path.clear();
                self.uplink.on_routing_loop(now, link, &mut self.rng);
                return;
            }
            self.path.clone_from(path);
            self.alternates = route
                .alternates
                .iter()
                .copied()
                .take(MAX_ALTERNATES)
                .collect();
            self.uplink.set_alternates(&self.alternates);
            self.uplink.set_learned_control(&route.control);
        }
        let is_confirmed = reply.confirmed_round > self.confirmed_round;
        self.uplink.on_parent_message(now, link, is_confirmed);
        let searching = Duration::from_millis(reply.searching_ms);
        self.uplink.set_parent_search(now, searching);
        self.evidence_outbox
            .acknowledge(reply.acknowledged_evidence);
        self.needs_early_report |= self.evidence_outbox.is_urgent();
        if is_confirmed {
            self.confirmed_round = reply.confirmed_round;
            self.min_versions.config = self.min_versions.config.max(reply.min_versions.config);
            self.min_versions.members = self.min_versions.members.max(reply.min_versions.members);
            let before = self.config.serving_version();
            self.config.confirm(reply.min_versions.config);
            self.members.confirm(reply.min_versions.members);
            self.needs_early_report |= self.config.serving_version() != before;
            self.distributor.confirm(self.confirmed_round);
            self.reply_to_awaiting_children(now);
        }
        if reply.needs_hello {
            let hello = UpMessage::Hello(Box::new(self.hello(false)));
            self.effects.push(NodeEffect::SendUp(link, hello));
        }
    }

    fn on_update(&mut self, now: Timestamp, update: &Update) {
        for payload in &update.config {
            self.apply_config(payload);
        }
        for payload in &update.members {
            self.apply_members(payload);
        }
        self.send_updates(now);
    }

    fn apply_config(&mut self, payload: &Payload) {
        let Some(update) = payload.decode::<ConfigUpdate>() else {
            log::warn!("a configuration cannot be read; a snapshot is asked for");
            self.repair = Repair::Snapshot;
            return;
        };
        let is_delta = matches!(update, ConfigUpdate::Delta(_));
        match self.config.apply(update) {
            Ok(true) => {
                self.needs_early_report = true;
                self.repair = Repair::None;
                if let Some(config) = self.config.held() {
                    let received = Some((payload.clone(), is_delta));
                    self.distributor.set_config(config.clone(), received);
                }
            }
            Ok(false) => {}
            Err(error) => {
                self.repair = match error {
                    ConfigError::WrongBase { .. } | ConfigError::NotNewer { .. } => Repair::Resend,
                    ConfigError::WrongHash(_) | ConfigError::DanglingPool(..) => Repair::Snapshot,
                };
                self.needs_early_report = true;
            }
        }
    }

    fn apply_members(&mut self, payload: &Payload) {
        let Some(update) = payload.decode::<MembersUpdate>() else {
            log::warn!("a member list cannot be read; the parent sends it again");
            return;
        };
        let is_delta = matches!(update, MembersUpdate::Delta(_));
        match self.members.apply(update) {
            Some(true) => {
                let members = self.members.held().clone();
                self.distributor
                    .set_members(members, payload.clone(), is_delta);
            }
            Some(false) => {}
            None => {
                self.repair = self.repair.max(Repair::Resend);
                self.needs_early_report = true;
            }
        }
    }

    fn send_updates(&mut self, now: Timestamp) {
        let updates = self.distributor.due_updates(now);
        let sends = updates
            .into_iter()
            .map(|(key, update)| NodeEffect::SendDown(key, update));
        self.effects.extend(sends);
    }

    /// Handles the end of the connection to a parent.
    pub fn on_link_closed(&mut self, now: Timestamp, link: LinkId, reason: LinkEnd) {
        self.uplink.on_closed(now, link, reason, &mut self.rng);
        self.apply_link_actions();
    }

    /// Returns the configuration by which the node may serve calls, if there is one.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.serving()
    }

    /// Returns the member list by which the node may serve calls, if there is one.
    #[must_use]
    pub fn members(&self) -> Option<&Arc<Members>> {
        self.members.serving()
    }

    /// Returns this node's last round that a live leader confirmed; zero if there is none.
    #[must_use]
    pub const fn confirmed_round(&self) -> u64 {
        self.confirmed_round
    }

    /// Returns the last confirmation round that this node started; zero if there is none.
    #[must_use]
    pub const fn round(&self) -> u64 {
        self.round
    }

    /// Returns the newest version of the configuration with which a live leader has confirmed a
    /// round of this node.
    #[must_use]
    pub const fn confirmed_config(&self) -> ConfigVersion {
        self.min_versions.config
    }

    /// Returns the versions that are held, served or not.
    #[must_use]
    pub fn held_versions(&self) -> HeldVersions {
        HeldVersions {
            config: self.config.held_id(),
            members: self.members.version(),
        }
    }

    /// Returns the mesh addresses of all known control replicas.
    #[must_use]
    pub fn control_replicas(&self) -> &[SocketAddr] {
        self.uplink.control_replicas()
    }

    /// Returns whether a parent has accepted this node.
    #[must_use]
    pub fn is_attached(&self) -> bool {
        self.uplink.attached().is_some()
    }

    /// Returns the number of attached children.
    #[must_use]
    pub fn child_count(&self) -> usize {
        self.distributor.len()
    }

    /// Removes and returns what happened to the connections to parents, in order.
    pub fn take_parent_events(&mut self) -> Vec<ParentEvent> {
        self.uplink.take_events()
    }

    /// Removes and returns the effects to carry out, in order.
    pub fn take_effects(&mut self) -> Vec<NodeEffect> {
        std::mem::take(&mut self.effects)
    }
}
