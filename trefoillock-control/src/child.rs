//! What a parent knows of one child.

use std::{collections::BTreeMap, net::SocketAddr};

use trefoillock_core::{NodeId, Timestamp};

use crate::{
    AckSummary, ChildState, Held, Hello, LostNode, NodeRecord, Repair, Report, Route,
    SubtreeChange, SubtreeDigest, rounds::Rounds,
};

/// The number of beats after which the route is sent although it did not change.
const ROUTE_INTERVAL: u32 = 16;

/// What a parent knows of one child and of the nodes below it.
#[derive(Debug)]
pub struct Child {
    owner: Option<NodeId>,
    record: NodeRecord,
    subtree: BTreeMap<NodeId, NodeRecord>,
    last_heard: Timestamp,
    next_sequence: u64,
    wants_hello: bool,
    state: ChildState,
    route: Option<Route>,
    beats: u32,
    sent: Held,
    sent_at: Timestamp,
    repair: Repair,
    is_urgent: bool,
    evidence_taken: u64,
    rounds: Rounds,
}

impl Child {
    /// Creates the state of a child that `owner` accepted; `None` stands for the leader.
    #[must_use]
    pub fn new(now: Timestamp, hello: &Hello, owner: Option<NodeId>) -> Self {
        Self {
            owner,
            record: hello.record.clone(),
            subtree: BTreeMap::new(),
            last_heard: now,
            next_sequence: 0,
            wants_hello: false,
            state: ChildState::default(),
            route: None,
            beats: 0,
            sent: Held::default(),
            sent_at: Timestamp::EPOCH,
            repair: Repair::None,
            is_urgent: false,
            evidence_taken: 0,
            rounds: Rounds::default(),
        }
    }

    /// Takes the state as a whole and returns what changed, or `None` if it is older than what
    /// is known.
    pub fn replace(&mut self, now: Timestamp, hello: &Hello) -> Option<Vec<SubtreeChange>> {
        let is_older = hello.record.order() < self.record.order();
        if is_older || hello.report.sequence < self.next_sequence {
            return None;
        }
        self.record = self.owned(&hello.record);
        let subtree = hello.subtree.iter().map(|r| (r.node.clone(), r.clone()));
        let before = std::mem::replace(&mut self.subtree, subtree.collect());
        let gone = before
            .values()
            .filter(|r| !self.subtree.contains_key(&r.node));
        let mut changes: Vec<SubtreeChange> = gone.map(orphaned).collect();
        changes.push(SubtreeChange::Joined(self.record.clone()));
        changes.extend(hello.subtree.iter().cloned().map(SubtreeChange::Joined));
        self.wants_hello = false;
        self.note(now, &hello.report);
        Some(changes)
    }

    /// Takes a report and returns what changed below the child.
    ///
    /// A report that arrives again is dropped; after a gap the state as a whole is wanted.
    pub fn report(&mut self, now: Timestamp, report: &Report) -> Option<Vec<SubtreeChange>> {
        if report.sequence < self.next_sequence {
            return None;
        }
        if report.sequence > self.next_sequence {
            self.wants_hello = true;
        }
        let mut changes = report.changes.clone();
        for change in &mut changes {
            if let SubtreeChange::Joined(record) = change
                && record.node == self.record.node
            {
                *record = self.owned(record);
            }
            self.apply(change);
        }
        self.note(now, report);
        self.wants_hello |= SubtreeDigest::of(self.subtree.values()) != self.state.below;
        Some(changes)
    }

    /// The child's own record, with its parent.
    fn owned(&self, record: &NodeRecord) -> NodeRecord {
        NodeRecord {
            parent: self.owner.clone(),
            ..record.clone()
        }
    }

    fn apply(&mut self, change: &SubtreeChange) {
        match change {
            SubtreeChange::Joined(record) if record.node == self.record.node => {
                if record.order() >= self.record.order() {
                    self.record = record.clone();
                }
            }
            SubtreeChange::Left(lost) if lost.node == self.record.node => {}
            SubtreeChange::Joined(record) => {
                let held = self.subtree.get(&record.node);
                if held.is_none_or(|held| held.order() <= record.order()) {
                    self.subtree.insert(record.node.clone(), record.clone());
                }
            }
            SubtreeChange::Left(lost) => {
                let held = self.subtree.get(&lost.node);
                if held.is_some_and(|held| lost.is_of(held)) {
                    self.remove_below(&lost.node);
                }
            }
        }
    }

    /// Removes a node and the nodes below it.
    fn remove_below(&mut self, node: &NodeId) {
        self.subtree.remove(node);
        let below = self
            .subtree
            .values()
            .filter(|r| r.parent.as_ref() == Some(node));
        let below: Vec<NodeId> = below.map(|record| record.node.clone()).collect();
        for node in below {
            self.remove_below(&node);
        }
    }

    fn note(&mut self, now: Timestamp, report: &Report) {
        self.last_heard = now;
        self.next_sequence = report.sequence + 1;
        self.repair = report.repair;
        self.is_urgent = report.is_urgent;
        if let Some(state) = &report.state {
            self.state.clone_from(state);
        }
    }

    /// Notes that evidence arrived and returns whether it is new.
    pub const fn take_evidence(&mut self, sequence: u64) -> bool {
        let is_new = sequence > self.evidence_taken;
        if is_new {
            self.evidence_taken = sequence;
        }
        is_new
    }

    /// Notes what was sent to the child.
    pub const fn note_sent(&mut self, now: Timestamp, sent: Held) {
        self.sent = sent;
        self.sent_at = now;
        self.repair = Repair::None;
    }

    /// The loss to report when the child is lost; the nodes below it are lost with it.
    #[must_use]
    pub fn loss(&self) -> SubtreeChange {
        SubtreeChange::Left(LostNode::new(&self.record, false))
    }

    /// The losses to report when the child has started again without the nodes below it.
    #[must_use]
    pub fn orphans(&self, hello: &Hello) -> Vec<SubtreeChange> {
        let stays = |node: &NodeId| hello.subtree.iter().any(|record| record.node == *node);
        let gone = self.subtree.values().filter(|record| !stays(&record.node));
        gone.map(orphaned).collect()
    }

    /// The child and the nodes below it.
    pub fn records(&self) -> impl Iterator<Item = &NodeRecord> {
        std::iter::once(&self.record).chain(self.subtree.values())
    }

    /// The child.
    #[must_use]
    pub const fn record(&self) -> &NodeRecord {
        &self.record
    }

    /// The child's address for children.
    #[must_use]
    pub const fn mesh_address(&self) -> SocketAddr {
        self.record.mesh_address
    }

    /// The time of the last message.
    #[must_use]
    pub const fn last_heard(&self) -> Timestamp {
        self.last_heard
    }

    /// What the child holds.
    #[must_use]
    pub const fn held(&self) -> Held {
        self.state.held
    }

    /// What was last sent to the child, and when.
    #[must_use]
    pub const fn sent(&self) -> (Held, Timestamp) {
        (self.sent, self.sent_at)
    }

    /// What the child asked for after an update that did not fit.
    #[must_use]
    pub const fn repair(&self) -> Repair {
        self.repair
    }

    /// Whether a report was lost.
    #[must_use]
    pub const fn wants_hello(&self) -> bool {
        self.wants_hello
    }

    /// Whether a node serves nothing until the leader's versions are known.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// The versions that are served below.
    #[must_use]
    pub const fn acks(&self) -> &AckSummary {
        &self.state.acks
    }

    /// The route to send with a beat, if it is due.
    pub fn route_update(&mut self, route: Route) -> Option<Route> {
        self.beats += 1;
        let is_due = self.beats >= ROUTE_INTERVAL || self.route.as_ref() != Some(&route);
        if !is_due {
            return None;
        }
        self.beats = 0;
        self.route = Some(route.clone());
        Some(route)
    }

    /// The last batch of evidence that was taken.
    #[must_use]
    pub const fn evidence_taken(&self) -> u64 {
        self.evidence_taken
    }

    /// The questions for the leader's versions.
    pub const fn rounds_mut(&mut self) -> &mut Rounds {
        &mut self.rounds
    }

    /// The questions for the leader's versions.
    #[must_use]
    pub const fn rounds(&self) -> &Rounds {
        &self.rounds
    }
}

fn orphaned(record: &NodeRecord) -> SubtreeChange {
    SubtreeChange::Left(LostNode::new(record, true))
}
