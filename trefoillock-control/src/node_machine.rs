//! The node's side of the distribution as a state machine.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand_pcg::Pcg64Mcg;
use trefoillock_core::{
    Announcement, Config, ConfigError, CrashReport, DataCentre, Evidence, Incarnation, Members,
    NodeId, Timestamp, data,
};

use crate::{
    AckSummary, Admission, Beat, ChildKey, ChildState, ConfigHolder, ConfigUpdate, Distributor,
    DownMessage, EvidenceOutbox, Floor, Held, Hello, LinkAction, LinkId, MembersHolder,
    MembersUpdate, NodeRecord, ParentAddress, Payload, Repair, Report, SubtreeChange,
    SubtreeDigest, UpMessage, Update, Uplink,
    timing::{MIN_REPORT_INTERVAL, REPORT_INTERVAL},
};

mod relay;

/// The number of children that a relay accepts in a second.
const ADMITTED_PER_SECOND: u32 = 100;
/// The largest number of other parents that are remembered.
const MAX_ALTERNATES: usize = 4;
/// The largest number of relays above a node.
const MAX_DEPTH: usize = 12;

/// Who a node is.
#[data]
pub struct NodeIdentity {
    /// The node.
    pub node: NodeId,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The address on which it takes calls from other nodes.
    pub peer_address: SocketAddr,
    /// The address on which it takes children.
    pub mesh_address: SocketAddr,
}

/// What the machine wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeEffect {
    /// Open a connection to a parent.
    Open(LinkId, ParentAddress),
    /// Send a message to a parent.
    SendUp(LinkId, UpMessage),
    /// Close the connection to a parent.
    CloseLink(LinkId),
    /// Send a message to a child.
    SendDown(ChildKey, DownMessage),
    /// Close the connection of a child after all messages were sent.
    CloseChild(ChildKey),
}

/// The node's side of the distribution: holds configuration and members, passes them on to
/// children, and sums what the children report.
#[derive(Debug)]
pub struct NodeMachine {
    record: NodeRecord,
    config: ConfigHolder,
    members: MembersHolder,
    uplink: Uplink,
    distributor: Distributor,
    admission: Admission,
    outbox: EvidenceOutbox,
    rng: Pcg64Mcg,
    floor: Floor,
    path: Vec<NodeId>,
    alternates: Vec<SocketAddr>,
    round: u64,
    confirmed_round: u64,
    sequence: u64,
    repair: Repair,
    reported: Option<ChildState>,
    changes: Vec<SubtreeChange>,
    is_prompt: bool,
    last_report: Timestamp,
    effects: Vec<NodeEffect>,
}

impl NodeMachine {
    /// Creates the machine of a node that holds nothing yet.
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
            admission: Admission::new(ADMITTED_PER_SECOND),
            outbox: EvidenceOutbox::default(),
            rng,
            floor: Floor::default(),
            path: Vec::new(),
            alternates: Vec::new(),
            round: 0,
            confirmed_round: 0,
            sequence: 0,
            repair: Repair::None,
            reported: None,
            changes: Vec::new(),
            is_prompt: false,
            last_report: Timestamp::EPOCH,
            effects: Vec::new(),
        }
    }

    /// Sets the backend servers beside this node.
    ///
    /// Of two that name the same address, the later run counts.
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
            self.note(SubtreeChange::Joined(self.record.clone()));
        }
    }

    /// Adds evidence that was gathered on this node.
    pub fn add_evidence(&mut self, evidence: &Evidence, crashes: Vec<CrashReport>) {
        self.is_prompt |= !crashes.is_empty();
        self.outbox.add(evidence, crashes);
    }

    fn note(&mut self, change: SubtreeChange) {
        self.changes.push(change);
        self.is_prompt = true;
    }

    /// Does what is due at this time.
    pub fn on_tick(&mut self, now: Timestamp) {
        for key in self.distributor.silent(now) {
            self.effects.push(NodeEffect::CloseChild(key));
            self.on_child_closed(key);
        }
        self.uplink.on_tick(now, &mut self.rng);
        self.run_links();
        self.report(now);
        self.send_updates(now);
    }

    fn run_links(&mut self) {
        for action in self.uplink.take_actions() {
            match action {
                LinkAction::Open {
                    link,
                    address,
                    is_probe,
                } => {
                    self.effects.push(NodeEffect::Open(link, address));
                    if !is_probe {
                        self.change_parent();
                    }
                    let hello = UpMessage::Hello(Box::new(self.hello(is_probe)));
                    self.effects.push(NodeEffect::SendUp(link, hello));
                }
                LinkAction::Close(link) => self.effects.push(NodeEffect::CloseLink(link)),
            }
        }
    }

    /// Starts a new attachment.
    fn change_parent(&mut self) {
        self.record.attachment += 1;
        self.record.revision += 1;
        self.record.parent = None;
        self.sequence = 0;
        self.path.clear();
        self.outbox.change_parent();
    }

    fn hello(&mut self, is_probe: bool) -> Hello {
        if !is_probe {
            self.changes.clear();
        }
        let report = self.next_report(is_probe);
        if !is_probe {
            self.reported.clone_from(&report.state);
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
            is_urgent: self.is_urgent(),
            repair: self.repair,
            state: Some(self.state()),
            changes: Vec::new(),
            evidence: None,
        }
    }

    fn state(&self) -> ChildState {
        let known = self.members.held().servers.len();
        ChildState {
            held: self.held(),
            servers_known: u32::try_from(known).unwrap_or(u32::MAX),
            acks: self.acks(),
            below: SubtreeDigest::of(self.distributor.records()),
        }
    }

    /// Whether this node or one below it serves nothing yet.
    fn is_urgent(&self) -> bool {
        self.config.serving().is_none() || self.distributor.is_urgent()
    }

    /// The versions that this node and those below it serve.
    fn acks(&self) -> AckSummary {
        let mut acks = self.distributor.acks();
        acks.add(self.config.serving_version());
        acks
    }

    fn report(&mut self, now: Timestamp) {
        let Some(link) = self.uplink.attached() else {
            return;
        };
        let elapsed = now.since(self.last_report);
        let is_due = elapsed >= REPORT_INTERVAL;
        let is_prompt = self.is_prompt && elapsed >= MIN_REPORT_INTERVAL;
        if is_due || is_prompt {
            self.last_report = now;
            self.is_prompt = false;
            let mut report = self.next_report(false);
            if report.state == self.reported {
                report.state = None;
            } else {
                self.reported.clone_from(&report.state);
            }
            report.changes = std::mem::take(&mut self.changes);
            report.evidence = self.outbox.batch(now);
            let report = UpMessage::Report(Box::new(report));
            self.effects.push(NodeEffect::SendUp(link, report));
        }
    }

    /// Takes a message of a parent.
    pub fn on_down(&mut self, now: Timestamp, link: LinkId, message: &DownMessage) {
        match message {
            DownMessage::Welcome => {
                self.uplink.on_welcome(now, link);
                self.is_prompt = true;
            }
            DownMessage::Redirect(to) => {
                self.uplink.on_redirect(now, link, *to, &mut self.rng);
                self.uplink.on_tick(now, &mut self.rng);
            }
            DownMessage::Retry { after_ms } => {
                let after = Duration::from_millis(*after_ms);
                self.uplink.on_retry(now, link, after, &mut self.rng);
            }
            DownMessage::Beat(beat) if self.uplink.attached() == Some(link) => {
                self.on_beat(now, link, beat);
            }
            DownMessage::Update(update) if self.uplink.attached() == Some(link) => {
                self.uplink.on_heard(now, link, false);
                self.on_update(now, update);
            }
            DownMessage::Beat(_) | DownMessage::Update(_) => {}
        }
        self.run_links();
        self.report(now);
    }

    fn on_beat(&mut self, now: Timestamp, link: LinkId, beat: &Beat) {
        if let Some(route) = &beat.route {
            let path = &route.path;
            if path.contains(&self.record.node) || path.len() > MAX_DEPTH {
                self.path.clear();
                self.uplink.on_loop(now, link, &mut self.rng);
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
            self.uplink.learn_control(&route.control);
        }
        let is_confirmed = beat.confirmed_round > self.confirmed_round;
        self.uplink.on_heard(now, link, is_confirmed);
        self.outbox.confirm(beat.evidence_taken);
        if is_confirmed {
            self.confirmed_round = beat.confirmed_round;
            self.floor.config = self.floor.config.max(beat.floor.config);
            self.floor.members = self.floor.members.max(beat.floor.members);
            let before = self.config.serving_version();
            self.config.confirm(beat.floor.config);
            self.members.confirm(beat.floor.members);
            self.is_prompt |= self.config.serving_version() != before;
            self.distributor.confirm(self.confirmed_round);
            self.answer_urgent();
        }
        if beat.wants_hello {
            let hello = UpMessage::Hello(Box::new(self.hello(false)));
            self.effects.push(NodeEffect::SendUp(link, hello));
        }
    }

    fn on_update(&mut self, now: Timestamp, update: &Update) {
        for payload in &update.config {
            self.take_config(payload);
        }
        for payload in &update.members {
            self.take_members(payload);
        }
        self.send_updates(now);
    }

    fn take_config(&mut self, payload: &Payload) {
        let Some(update) = payload.decode::<ConfigUpdate>() else {
            self.repair = Repair::Snapshot;
            return;
        };
        let is_delta = matches!(update, ConfigUpdate::Delta(_));
        match self.config.take(update) {
            Ok(true) => {
                self.is_prompt = true;
                self.repair = Repair::None;
                if let Some(config) = self.config.held() {
                    let passed = Some((payload.clone(), is_delta));
                    self.distributor.set_config(config.clone(), passed);
                }
            }
            Ok(false) => {}
            Err(error) => {
                self.repair = match error {
                    ConfigError::WrongBase { .. } | ConfigError::NotNewer { .. } => Repair::Resend,
                    ConfigError::WrongHash(_) | ConfigError::DanglingPool(..) => Repair::Snapshot,
                };
                self.is_prompt = true;
            }
        }
    }

    fn take_members(&mut self, payload: &Payload) {
        let Some(update) = payload.decode::<MembersUpdate>() else {
            return;
        };
        let is_delta = matches!(update, MembersUpdate::Delta(_));
        match self.members.take(update) {
            Some(true) => {
                let members = self.members.held().clone();
                self.distributor
                    .set_members(members, payload.clone(), is_delta);
            }
            Some(false) => {}
            None => {
                self.repair = self.repair.max(Repair::Resend);
                self.is_prompt = true;
            }
        }
    }

    fn send_updates(&mut self, now: Timestamp) {
        let updates = self.distributor.updates(now);
        let sends = updates
            .into_iter()
            .map(|(key, update)| NodeEffect::SendDown(key, update));
        self.effects.extend(sends);
    }

    /// Notes that the connection to a parent ended.
    pub fn on_link_closed(&mut self, now: Timestamp, link: LinkId) {
        self.uplink.on_closed(now, link, &mut self.rng);
        self.run_links();
    }

    /// The configuration that calls are served by, if there is one.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.serving()
    }

    /// The list of members that calls are served by, if there is one.
    #[must_use]
    pub fn members(&self) -> Option<&Arc<Members>> {
        self.members.serving()
    }

    /// The last round of confirmations of a live leader that reached this node.
    #[must_use]
    pub const fn confirmed_round(&self) -> u64 {
        self.confirmed_round
    }

    /// What is held, served or not.
    #[must_use]
    pub fn held(&self) -> Held {
        Held {
            config: self.config.mark(),
            members: self.members.version(),
        }
    }

    /// Whether a parent has accepted this node.
    #[must_use]
    pub const fn is_attached(&self) -> bool {
        self.uplink.attached().is_some()
    }

    /// The number of children.
    #[must_use]
    pub fn children(&self) -> usize {
        self.distributor.len()
    }

    /// Takes what is to be done.
    pub fn take_effects(&mut self) -> Vec<NodeEffect> {
        std::mem::take(&mut self.effects)
    }
}
