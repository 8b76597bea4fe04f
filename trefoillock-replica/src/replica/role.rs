//! The role of a replica and what ends it.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::RngExt;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};

use crate::{
    HardState, Message, Refusal, Replica, Sender, Ticket, progress::Progress,
    replica::read::PendingRead,
};

/// The part of a heartbeat after which the leader before a restart campaigns.
const RECLAIM_DIVISOR: u32 = 2;

#[derive(Debug, Clone)]
pub(super) enum Role {
    Follower,
    PreCandidate {
        granted: BTreeSet<ReplicaId>,
    },
    Candidate {
        granted: BTreeSet<ReplicaId>,
        own_vote: Ticket,
    },
    Leader(Box<Leadership>),
}

#[derive(Debug, Clone)]
pub(super) struct Leadership {
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// The first index of the leader's own term.
    pub(super) first_index: LogIndex,
    pub(super) round: u64,
    /// The beginnings of rounds that no quorum has answered yet.
    pub(super) rounds: VecDeque<(u64, Timestamp)>,
    pub(super) quorum_round: u64,
    pub(super) round_wanted: bool,
    pub(super) heartbeat_at: Timestamp,
    /// The beginning of the latest round that a quorum answered, or of the leadership.
    pub(super) contact: Timestamp,
    /// The beginning of the latest round that a quorum answered, for the lease.
    pub(super) lease_start: Option<Timestamp>,
    pub(super) reads: Vec<PendingRead>,
    /// The size of the entries that are not committed, in bytes.
    pub(super) uncommitted_bytes: usize,
}

impl Replica {
    /// The reason why a sender takes no part any more, by the committed membership.
    pub(super) fn refusal(&self, from: Sender) -> Option<Refusal> {
        let members = self.committed_membership();
        if members.is_removed(from.id) {
            return Some(Refusal::Removed);
        }
        let disk = members.get(from.id)?.disk?;
        (disk != from.disk).then_some(Refusal::OtherDisk)
    }

    /// Takes a higher term over. Returns whether the message is to be looked at.
    pub(super) fn adopt_term(&mut self, message: &Message) -> bool {
        let Some(term) = message.term() else {
            return true;
        };
        if term <= self.hard_state.term {
            return true;
        }
        match message {
            Message::PreVote { .. } | Message::PreVoteAnswer { granted: true, .. } => true,
            Message::Vote { relinquished, .. } if self.keeps_promise(*relinquished) => false,
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
            let failed = leadership.reads.into_iter().map(PendingRead::failed);
            self.effects.extend(failed);
        }
        self.leader = leader;
        self.reset_election();
    }

    pub(super) fn reset_election(&mut self) {
        if self.reclaims() {
            self.election_at = self.now() + self.timing.heartbeat / RECLAIM_DIVISOR;
            return;
        }
        let min = self.timing.election_min.as_micros();
        let max = self.timing.election_max.as_micros().max(min + 1);
        let micros = u64::try_from(self.rng.random_range(min..max)).unwrap_or(u64::MAX);
        self.election_at = self.now() + Duration::from_micros(micros);
    }

    /// Whether this replica led until it restarted, so that no other one can hold a lease.
    fn reclaims(&self) -> bool {
        let term = self.hard_state.term;
        term > Term::ZERO && self.relinquished == term && self.now() < self.reclaim_until
    }

    /// Whether a candidate may get no vote, because a leader may hold a lease.
    ///
    /// The leader of a term was elected after all earlier leases had ended. So a candidate that
    /// led in a term, and lost its own lease in a restart, ends the promises to the leaders up to
    /// that term.
    pub(super) fn keeps_promise(&self, relinquished: Term) -> bool {
        self.promised > relinquished && self.leader_is_alive()
    }

    /// Whether a leader was heard of so lately that it may hold a lease.
    fn leader_is_alive(&self) -> bool {
        let since = match &self.role {
            Role::Leader(leadership) => leadership.contact,
            _ => self.heard_at,
        };
        since > Timestamp::EPOCH && self.now().since(since) < self.timing.election_min
    }

    /// Whether this replica leads and a quorum answered lately.
    pub(super) fn has_quorum_contact(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        self.now().since(leadership.contact) < self.timing.lease
    }

    pub(super) fn others(&self) -> Vec<ReplicaId> {
        let own = self.identity.id;
        let voters = self.membership().voters();
        voters.filter(|&id| id != own).collect()
    }

    pub(super) fn is_voter(&self) -> bool {
        self.membership().is_voter(self.identity.id)
    }
}
