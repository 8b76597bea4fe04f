//! Elections: pre-votes, votes and the transition to leader.
//!
//! A replica starts an election only after a quorum granted pre-votes, so that an isolated one does
//! not raise the term.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use trefoillock_core::{ReplicaId, Term};

use crate::{
    Content, Entry, Message, Position, Replica,
    progress::Progress,
    replica::{Leadership, Role},
};

impl Replica {
    /// Requests pre-votes from the other voters, if this replica may campaign.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        self.leader = None;
        if !self.may_campaign() || self.refused.is_some() || self.disk_hangs() {
            return;
        }
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([self.identity.id]),
        };
        let message = Message::PreVote {
            term: self.hard_state.term.next(),
            last: self.log.last(),
            relinquished: self.relinquished,
        };
        for peer in self.other_voters() {
            self.send(peer, message.clone());
        }
        self.count_pre_votes();
    }

    /// Returns whether this replica is a voter of the latest or of the committed membership.
    ///
    /// A replica whose removal has not committed may campaign, because its log, which contains the
    /// removal, may be the only one that the other voters vote for. Its own vote counts only if it
    /// is a voter of the latest membership.
    fn may_campaign(&self) -> bool {
        self.is_voter() || self.committed_membership().is_voter(self.identity.id)
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last: Position,
        relinquished: Term,
    ) {
        let granted = term > self.hard_state.term
            && last >= self.log.last()
            && !self.withholds_vote(relinquished);
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, Message::PreVoteAnswer { term, granted });
    }

    pub(super) fn on_pre_vote_answer(&mut self, from: ReplicaId, term: Term, is_granted: bool) {
        let Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        if is_granted && term == self.hard_state.term.next() {
            granted.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate { granted } = &self.role else {
            return;
        };
        if self.membership().is_quorum(|id| granted.contains(&id)) {
            self.start_election();
        }
    }

    fn start_election(&mut self) {
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.voted_for = Some(self.identity.id);
        self.hard_state_changed = true;
        self.reset_election_timer();
        // This replica's own vote counts once the batch with the new term and vote is synced.
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
            own_vote_batch: self.last_batch.next(),
        };
        let message = Message::Vote {
            term: self.hard_state.term,
            last: self.log.last(),
            relinquished: self.relinquished,
        };
        for peer in self.other_voters() {
            self.send(peer, message.clone());
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last: Position,
        relinquished: Term,
    ) {
        let may_vote = match self.hard_state.voted_for {
            None => matches!(self.role, Role::Follower | Role::PreCandidate { .. }),
            Some(candidate) => candidate == from,
        };
        let current = term == self.hard_state.term && !self.withholds_vote(relinquished);
        let granted = current && may_vote && last >= self.log.last();
        if granted {
            self.role = Role::Follower;
            self.hard_state_changed |= self.hard_state.voted_for.is_none();
            self.hard_state.voted_for = Some(from);
            self.reset_election_timer();
        }
        let term = self.hard_state.term;
        self.send(from, Message::VoteAnswer { term, granted });
    }

    pub(super) fn on_vote_answer(&mut self, from: ReplicaId, term: Term, is_granted: bool) {
        let current = term == self.hard_state.term;
        if let Role::Candidate { granted, .. } = &mut self.role
            && is_granted
            && current
        {
            granted.insert(from);
            self.count_votes();
        }
    }

    pub(super) fn count_own_vote(&mut self) {
        let (own, synced) = (self.identity.id, self.synced_batch);
        if let Role::Candidate {
            granted,
            own_vote_batch,
        } = &mut self.role
            && *own_vote_batch <= synced
        {
            granted.insert(own);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let Role::Candidate { granted, .. } = &self.role else {
            return;
        };
        if self.membership().is_quorum(|id| granted.contains(&id)) {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        let next = self.log.last().index.next();
        let own = self.identity.id;
        let others = self.membership().members().keys().filter(|&&id| id != own);
        let progress: BTreeMap<_, _> = others.map(|&id| (id, Progress::new(next))).collect();
        let now = self.now();
        let uncommitted = self.log.entries_from(self.commit.next());
        let uncommitted_bytes = uncommitted.map(Entry::size).sum();
        self.leader = Some(own);
        self.promised_term = self.hard_state.term;
        self.hard_state.led = self.hard_state.term;
        self.hard_state_changed = true;
        self.role = Role::Leader(Box::new(Leadership {
            progress,
            first_index: next,
            round: 0,
            open_rounds: VecDeque::new(),
            quorum_round: 0,
            round_requested: true,
            heartbeat_due: now + self.timing.heartbeat,
            quorum_contact_at: now,
            lease_start: None,
            reads: Vec::new(),
            uncommitted_bytes,
        }));
        self.append_own(Content::Blank);
    }
}
