//! The state that a parent keeps of one child: its record, the nodes below it, the versions it
//! holds and the updates that were sent to it.

use std::{collections::BTreeMap, net::SocketAddr};

use trefoillock_core::{NodeId, Timestamp};

use crate::{
    AckSummary, ChildState, HeldVersions, Hello, LostNode, NodeRecord, Repair, Report, Route,
    SubtreeChange, SubtreeDigest, confirmation_rounds::ConfirmationRounds,
};

/// The number of replies after which the route is sent again even if it did not change.
const ROUTE_REFRESH_REPLIES: u32 = 16;

/// The state that a parent keeps of one child and of the nodes below it.
#[derive(Debug)]
pub struct Child {
    parent: Option<NodeId>,
    record: NodeRecord,
    subtree: BTreeMap<NodeId, NodeRecord>,
    last_received: Timestamp,
    next_sequence: u64,
    needs_hello: bool,
    state: ChildState,
    route: Option<Route>,
    replies_since_route: u32,
    sent: HeldVersions,
    sent_at: Timestamp,
    repair: Repair,
    awaits_confirmation: bool,
    last_evidence: u64,
    confirmation_rounds: ConfirmationRounds,
}

impl Child {
    /// Creates the state of a child that `parent` accepted; `None` means the leader.
    #[must_use]
    pub fn new(now: Timestamp, hello: &Hello, parent: Option<NodeId>) -> Self {
        Self {
            parent,
            record: hello.record.clone(),
            subtree: BTreeMap::new(),
            last_received: now,
            next_sequence: 0,
            needs_hello: false,
            state: ChildState::default(),
            route: None,
            replies_since_route: 0,
            sent: HeldVersions::default(),
            sent_at: Timestamp::EPOCH,
            repair: Repair::None,
            awaits_confirmation: false,
            last_evidence: 0,
            confirmation_rounds: ConfirmationRounds::default(),
        }
    }

    /// Applies the full state of the child and returns the changes to report upwards, or `None`
    /// if the state is older than the known one.
    pub fn apply_hello(&mut self, now: Timestamp, hello: &Hello) -> Option<Vec<SubtreeChange>> {
        let is_older = hello.record.order() < self.record.order();
        if is_older || hello.report.sequence < self.next_sequence {
            return None;
        }
        self.record = self.with_parent(&hello.record);
        let subtree = hello.subtree.iter().map(|r| (r.node.clone(), r.clone()));
        let before = std::mem::replace(&mut self.subtree, subtree.collect());
        let gone = before
            .values()
            .filter(|r| !self.subtree.contains_key(&r.node));
        let mut changes: Vec<SubtreeChange> = gone.map(orphan_loss).collect();
        changes.push(SubtreeChange::Joined(self.record.clone()));
        changes.extend(hello.subtree.iter().cloned().map(SubtreeChange::Joined));
        self.needs_hello = false;
        self.record_report(now, &hello.report);
        Some(changes)
    }

    /// Applies a report and returns the changes below the child, or `None` if the report is a
    /// duplicate.
    ///
    /// After a gap in the sequence numbers the child is asked for its full state.
    pub fn apply_report(&mut self, now: Timestamp, report: &Report) -> Option<Vec<SubtreeChange>> {
        if report.sequence < self.next_sequence {
            return None;
        }
        if report.sequence > self.next_sequence {
            self.needs_hello = true;
        }
        let mut changes = report.changes.clone();
        for change in &mut changes {
            if let SubtreeChange::Joined(record) = change
                && record.node == self.record.node
            {
                *record = self.with_parent(record);
            }
            self.apply_change(change);
        }
        self.record_report(now, report);
        self.needs_hello |= SubtreeDigest::of(self.subtree.values()) != self.state.below;
        Some(changes)
    }

    /// Returns the child's own record with this process set as its parent.
    fn with_parent(&self, record: &NodeRecord) -> NodeRecord {
        NodeRecord {
            parent: self.parent.clone(),
            ..record.clone()
        }
    }

    fn apply_change(&mut self, change: &SubtreeChange) {
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
                if held.is_some_and(|held| lost.matches(held)) {
                    self.remove_below(&lost.node);
                }
            }
        }
    }

    /// Removes a node and all nodes below it.
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

    fn record_report(&mut self, now: Timestamp, report: &Report) {
        self.last_received = now;
        self.next_sequence = report.sequence + 1;
        self.repair = report.repair;
        self.awaits_confirmation = report.awaits_confirmation;
        if let Some(state) = &report.state {
            self.state.clone_from(state);
        }
    }

    /// Records the sequence number of an evidence batch and returns whether the batch is new.
    pub const fn accept_evidence(&mut self, sequence: u64) -> bool {
        let is_new = sequence > self.last_evidence;
        if is_new {
            self.last_evidence = sequence;
        }
        is_new
    }

    /// Records the versions that were sent to the child.
    pub const fn record_sent(&mut self, now: Timestamp, sent: HeldVersions) {
        self.sent = sent;
        self.sent_at = now;
        self.repair = Repair::None;
    }

    /// Returns the change to report when the child is lost; it covers the nodes below it too.
    #[must_use]
    pub fn loss(&self) -> SubtreeChange {
        SubtreeChange::Left(LostNode::new(&self.record, false))
    }

    /// Returns the losses to report for nodes that were below the child on its old connection and
    /// are missing from the `hello` of its new one.
    #[must_use]
    pub fn orphan_losses(&self, hello: &Hello) -> Vec<SubtreeChange> {
        let is_kept = |node: &NodeId| hello.subtree.iter().any(|record| record.node == *node);
        let gone = self
            .subtree
            .values()
            .filter(|record| !is_kept(&record.node));
        gone.map(orphan_loss).collect()
    }

    /// Returns the records of the child and of the nodes below it.
    pub fn records(&self) -> impl Iterator<Item = &NodeRecord> {
        std::iter::once(&self.record).chain(self.subtree.values())
    }

    /// Returns the child's own record.
    #[must_use]
    pub const fn record(&self) -> &NodeRecord {
        &self.record
    }

    /// Returns the address on which the child accepts children of its own.
    #[must_use]
    pub const fn mesh_address(&self) -> SocketAddr {
        self.record.mesh_address
    }

    /// Returns the time at which the last message of the child was received.
    #[must_use]
    pub const fn last_received(&self) -> Timestamp {
        self.last_received
    }

    /// Returns the versions that the child holds.
    #[must_use]
    pub const fn held(&self) -> HeldVersions {
        self.state.held
    }

    /// Returns the versions that were last sent to the child, and when.
    #[must_use]
    pub const fn sent(&self) -> (HeldVersions, Timestamp) {
        (self.sent, self.sent_at)
    }

    /// Returns the repair that the child asked for after an update that it could not apply.
    #[must_use]
    pub const fn repair(&self) -> Repair {
        self.repair
    }

    /// Returns whether the child must send its full state, because a report was lost or the view
    /// of the nodes below it differs from the child's own.
    #[must_use]
    pub const fn needs_hello(&self) -> bool {
        self.needs_hello
    }

    /// Returns whether the child or a node below it serves nothing until the leader answers its
    /// confirmation request.
    #[must_use]
    pub const fn awaits_confirmation(&self) -> bool {
        self.awaits_confirmation
    }

    /// Returns the versions that the child and the nodes below it serve.
    #[must_use]
    pub const fn acks(&self) -> &AckSummary {
        &self.state.acks
    }

    /// Returns the route if it must be sent with the next reply: when it changed, or after
    /// [`ROUTE_REFRESH_REPLIES`] replies without it.
    pub fn route_update(&mut self, route: Route) -> Option<Route> {
        self.replies_since_route += 1;
        let is_due = self.replies_since_route >= ROUTE_REFRESH_REPLIES
            || self.route.as_ref() != Some(&route);
        if !is_due {
            return None;
        }
        self.replies_since_route = 0;
        self.route = Some(route.clone());
        Some(route)
    }

    /// Returns the sequence number of the last accepted evidence batch.
    #[must_use]
    pub const fn last_evidence(&self) -> u64 {
        self.last_evidence
    }

    /// Returns the pending confirmation requests of the child, to add or confirm some.
    pub const fn confirmation_rounds_mut(&mut self) -> &mut ConfirmationRounds {
        &mut self.confirmation_rounds
    }

    /// Returns the pending confirmation requests of the child.
    #[must_use]
    pub const fn confirmation_rounds(&self) -> &ConfirmationRounds {
        &self.confirmation_rounds
    }
}

fn orphan_loss(record: &NodeRecord) -> SubtreeChange {
    SubtreeChange::Left(LostNode::new(record, true))
}
