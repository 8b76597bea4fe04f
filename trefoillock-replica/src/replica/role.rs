//! The role of a replica, the rules for giving it up, and the election timer.
//!
//! A follower that heard from a leader recently withholds its vote from other candidates, because
//! the leader may hold a lease.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::RngExt;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};

use crate::{
    BatchId, HardState, Message, Refusal, Replica, ReplicaIdentity, progress::Progress,
    replica::read::PendingRead,
};

/// The divisor of the heartbeat interval that gives the election timeout of a replica that led
/// until it restarted.
const RECLAIM_DIVISOR: u32 = 2;

/// The role of a replica with its state.
#[derive(Debug, Clone)]
pub(super) enum Role {
    Follower,
    PreCandidate {
        granted: BTreeSet<ReplicaId>,
    },
    Candidate {
        granted: BTreeSet<ReplicaId>,
        /// The batch of writes with this replica's own vote, which counts once the batch is synced.
        own_vote_batch: BatchId,
    },
    Leader(Box<Leadership>),
}

/// The state of a leader.
#[derive(Debug, Clone)]
pub(super) struct Leadership {
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// The first index of the leader's own term.
    pub(super) first_index: LogIndex,
    /// The latest heartbeat round.
    pub(super) round: u64,
    /// The start times of rounds that no quorum has answered yet.
    pub(super) open_rounds: VecDeque<(u64, Timestamp)>,
    /// The latest round that a quorum answered.
    pub(super) quorum_round: u64,
    /// Whether the next effects begin a new round.
    pub(super) round_requested: bool,
    pub(super) heartbeat_due: Timestamp,
    /// The start of the latest round that a quorum answered, at first the time of the election.
    pub(super) quorum_contact_at: Timestamp,
    /// The start of the lease: that of the latest round that a quorum answered. `None` before the
    /// first such round and after a jump of the clock.
    pub(super) lease_start: Option<Timestamp>,
    pub(super) reads: Vec<PendingRead>,
    /// The size in bytes of the entries that are not committed.
    pub(super) uncommitted_bytes: usize,
}

impl Replica {
    /// Returns why the committed membership excludes a sender, if it does.
    pub(super) fn refusal(&self, from: ReplicaIdentity) -> Option<Refusal> {
        let members = self.committed_membership();
        if members.is_removed(from.id) {
            return Some(Refusal::Removed);
        }
        let disk = members.get(from.id)?.disk?;
        (disk != from.disk).then_some(Refusal::OtherDisk)
    }

    /// Adopts a higher term from a message. Returns whether the message is to be handled.
    ///
    /// Pre-votes do not raise the term. A vote request is dropped while this replica withholds its
    /// vote.
    pub(super) fn adopt_term(&mut self, message: &Message) -> bool {
        let Some(term) = message.term() else {
            return true;
        };
        if term <= self.hard_state.term {
            return true;
        }
        match message {
            Message::PreVote { .. } | Message::PreVoteAnswer { granted: true, .. } => true,
            Message::Vote { relinquished, .. } if self.withholds_vote(*relinquished) => false,
            _ => {
                self.become_follower(term, None);
                true
            }
        }
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
                led: self.hard_state.led,
            };
            self.hard_state_changed = true;
        }
        if let Role::Leader(leadership) = std::mem::replace(&mut self.role, Role::Follower) {
            let failed = leadership.reads.into_iter().map(PendingRead::into_failure);
            self.effects.extend(failed);
        }
        self.leader = leader;
        self.reset_election_timer();
    }

    /// Sets the time of the next election.
    ///
    /// It is random, so that replicas seldom campaign at the same time. A replica that may reclaim
    /// its leadership gets a short fixed delay instead.
    pub(super) fn reset_election_timer(&mut self) {
        if self.may_reclaim() {
            self.election_due = self.now() + self.timing.heartbeat / RECLAIM_DIVISOR;
            return;
        }
        let min = self.timing.election_min.as_micros();
        let max = self.timing.election_max.as_micros().max(min + 1);
        let micros = u64::try_from(self.rng.random_range(min..max)).unwrap_or(u64::MAX);
        self.election_due = self.now() + Duration::from_micros(micros);
    }

    /// Returns whether this replica led the current term until it restarted, and did so recently.
    /// No other replica can hold a lease in this case.
    fn may_reclaim(&self) -> bool {
        let term = self.hard_state.term;
        term > Term::ZERO && self.relinquished == term && self.now() < self.reclaim_until
    }

    /// Returns whether a candidate gets no vote because a leader may hold a lease.
    ///
    /// The leader of a term was elected after all earlier leases had ended, and its own lease ends
    /// when it restarts. So a candidate that led term `relinquished` and has restarted gets a vote
    /// unless the last known leader has a later term.
    pub(super) fn withholds_vote(&self, relinquished: Term) -> bool {
        self.promised_term > relinquished && self.heard_leader_recently()
    }

    /// Returns whether a leader was heard from so recently that it may hold a lease.
    fn heard_leader_recently(&self) -> bool {
        let since = match &self.role {
            Role::Leader(leadership) => leadership.quorum_contact_at,
            _ => self.leader_heard_at,
        };
        since > Timestamp::EPOCH && self.now().since(since) < self.timing.election_min
    }

    /// Returns whether this replica leads and a quorum answered within the duration of a lease.
    pub(super) fn has_quorum_contact(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        self.now().since(leadership.quorum_contact_at) < self.timing.lease
    }

    pub(super) fn other_voters(&self) -> Vec<ReplicaId> {
        let own = self.identity.id;
        let voters = self.membership().voters();
        voters.filter(|&id| id != own).collect()
    }

    pub(super) fn is_voter(&self) -> bool {
        self.membership().is_voter(self.identity.id)
    }
}
