//! Appending of a leader's entries by a follower.
//!
//! A follower accepts entries only after its log contains the entry before them. Conflicting
//! entries are dropped, but never committed ones.

use trefoillock_core::{LogIndex, ReplicaId, Term};

use crate::{
    Append, AppendOutcome, Content, Effect, Entry, Message, Position, Refusal, Replica,
    replica::Role,
};

impl Replica {
    pub(super) fn on_append(&mut self, from: ReplicaId, append: Append) {
        if !self.accept_leader(from, append.term) {
            self.answer_append(
                from,
                append.round,
                AppendOutcome::Rejected {
                    retry_from: append.previous.index,
                },
            );
            return;
        }
        if !is_contiguous(&append) {
            return;
        }
        let Append {
            round,
            previous,
            entries,
            commit,
            ..
        } = append;
        let outcome = if let Err(retry_from) = self.match_previous(previous) {
            AppendOutcome::Rejected { retry_from }
        } else {
            let matched = LogIndex::new(previous.index.get() + entries.len() as u64);
            if !self.append_missing(entries) {
                return;
            }
            self.commit = self.commit.max(commit.min(matched));
            AppendOutcome::Accepted { matched }
        };
        self.answer_append(from, round, outcome);
    }

    /// Follows the leader of `term`. Returns whether the term is current.
    pub(super) fn accept_leader(&mut self, leader: ReplicaId, term: Term) -> bool {
        if term < self.hard_state.term || matches!(self.role, Role::Leader(_)) {
            return false;
        }
        self.become_follower(term, Some(leader));
        // A leader sends to members only, so a removed replica was added again.
        self.refused.take_if(|refusal| *refusal == Refusal::Removed);
        self.leader_heard_at = self.now();
        self.promised_term = self.hard_state.term;
        true
    }

    pub(super) fn answer_append(&mut self, to: ReplicaId, round: u64, outcome: AppendOutcome) {
        let term = self.hard_state.term;
        self.send(
            to,
            Message::AppendAnswer {
                term,
                round,
                outcome,
            },
        );
    }

    /// Checks that the log contains the entry before the new ones.
    ///
    /// Returns the index from which the leader can retry if it does not.
    fn match_previous(&self, previous: Position) -> Result<(), LogIndex> {
        if previous.index <= self.log.base().index {
            return Ok(()); // Entries up to the base are committed.
        }
        match self.log.term_at(previous.index) {
            None => Err(self.log.last().index.next()),
            Some(term) if term == previous.term => Ok(()),
            Some(_) => Err(self.log.first_of_term(previous.index)),
        }
    }

    /// Appends the entries that the log lacks, after dropping the ones that conflict with them.
    ///
    /// Returns `false` and halts the replica if a committed entry conflicts.
    fn append_missing(&mut self, entries: Vec<Entry>) -> bool {
        for entry in entries {
            let index = entry.index();
            if index <= self.log.base().index {
                continue;
            }
            match self.log.term_at(index) {
                Some(term) if term == entry.position.term => continue,
                Some(_) if index <= self.commit => {
                    self.effects.push(Effect::Halt {
                        reason: format!(
                            "an entry from the leader conflicts with committed entry {index}"
                        ),
                    });
                    return false;
                }
                Some(_) => self.truncate_from(index),
                None => {}
            }
            self.push_entry(entry);
        }
        true
    }

    fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.memberships.retain(|(at, _)| *at < index);
        let last = self.log.last().index;
        self.persisted = self.persisted.min(last);
        self.limit_unsynced(last);
    }

    pub(super) fn push_entry(&mut self, entry: Entry) {
        let index = entry.index();
        if let Content::Members(members) = &entry.content {
            self.memberships.push((index, members.clone()));
        }
        self.first_unwritten = Some(self.first_unwritten.map_or(index, |from| from.min(index)));
        self.log.push(entry);
    }
}

/// Returns whether the entries follow `previous` without gaps and no term decreases.
fn is_contiguous(append: &Append) -> bool {
    let mut last = append.previous;
    for entry in &append.entries {
        let position = entry.position;
        let follows = position.index == last.index.next() && position.term >= last.term;
        if !follows || position.term > append.term {
            return false;
        }
        last = position;
    }
    true
}
