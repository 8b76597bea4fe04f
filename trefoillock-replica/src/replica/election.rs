//! Elections: pre-votes, votes and the start of a leadership.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use trefoillock_core::{ReplicaId, Term};

use crate::{
    Content, Entry, Message, Position, Replica,
    progress::Progress,
    replica::{Leadership, Role},
};

impl Replica {
    /// Asks the voters whether they would vote for this replica.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election();
        self.leader = None;
        if !self.may_campaign() || self.refused.is_some() {
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
        for peer in self.others() {
            self.send(peer, message.clone());
        }
        self.count_pre_votes();
    }

    /// Whether the replica is a voter, also while its removal has not committed yet.
    ///
    /// Its log may be the only one with the removal that the others vote for. Its own vote
    /// counts only if it is a voter of the latest membership.
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
            && !self.keeps_promise(relinquished);
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, Message::PreVoteAnswer { term, granted });
    }

    pub(super) fn on_pre_vote_answer(&mut self, from: ReplicaId, term: Term, yes: bool) {
        let Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        if yes && term == self.hard_state.term.next() {
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
        self.reset_election();
        // The vote for oneself counts once the write that the change causes is synced.
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
            own_vote: self.ticket.next(),
        };
        let message = Message::Vote {
            term: self.hard_state.term,
            last: self.log.last(),
            relinquished: self.relinquished,
        };
        for peer in self.others() {
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
        let free = match self.hard_state.voted_for {
            None => matches!(self.role, Role::Follower | Role::PreCandidate { .. }),
            Some(candidate) => candidate == from,
        };
        let current = term == self.hard_state.term && !self.keeps_promise(relinquished);
        let granted = current && free && last >= self.log.last();
        if granted {
            self.role = Role::Follower;
            self.hard_state_changed |= self.hard_state.voted_for.is_none();
            self.hard_state.voted_for = Some(from);
            self.reset_election();
        }
        let term = self.hard_state.term;
        self.send(from, Message::VoteAnswer { term, granted });
    }

    pub(super) fn on_vote_answer(&mut self, from: ReplicaId, term: Term, yes: bool) {
        let current = term == self.hard_state.term;
        if let Role::Candidate { granted, .. } = &mut self.role
            && yes
            && current
        {
            granted.insert(from);
            self.count_votes();
        }
    }

    pub(super) fn count_own_vote(&mut self) {
        let (own, synced) = (self.identity.id, self.synced);
        if let Role::Candidate { granted, own_vote } = &mut self.role
            && *own_vote <= synced
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
        let uncommitted = self.log.from(self.commit.next());
        let uncommitted_bytes = uncommitted.map(Entry::size).sum();
        self.leader = Some(own);
        self.promised = self.hard_state.term;
        self.hard_state.led = self.hard_state.term;
        self.hard_state_changed = true;
        self.role = Role::Leader(Box::new(Leadership {
            progress,
            first_index: next,
            round: 0,
            rounds: VecDeque::new(),
            quorum_round: 0,
            round_wanted: true,
            heartbeat_at: now + self.timing.heartbeat,
            contact: now,
            lease_start: None,
            reads: Vec::new(),
            uncommitted_bytes,
        }));
        self.append_own(Content::Blank);
    }
}
