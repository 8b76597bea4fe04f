//! Callers that wait for an entry to commit.

use std::collections::BTreeMap;

use tokio::sync::oneshot;
use trefoillock_core::{LogIndex, Term, Timestamp};

use crate::{ChangeError, Position, ProposeError};

/// The answer to a proposal.
pub(crate) type ProposeAnswer = Result<(LogIndex, Vec<u8>), ProposeError>;
/// The answer to a membership change.
pub(crate) type ChangeAnswer = Result<(), ChangeError>;

/// The answer channel of a caller that waits for an entry.
#[derive(Debug)]
pub(crate) enum Waiter {
    Proposal(oneshot::Sender<ProposeAnswer>),
    Change(oneshot::Sender<ChangeAnswer>),
}

impl Waiter {
    fn answer_committed(self, index: LogIndex, answer: Vec<u8>) {
        match self {
            Self::Proposal(tx) => drop(tx.send(Ok((index, answer)))),
            Self::Change(tx) => drop(tx.send(Ok(()))),
        }
    }

    fn answer_did_not_commit(self) {
        match self {
            Self::Proposal(tx) => drop(tx.send(Err(ProposeError::DidNotCommit))),
            Self::Change(tx) => drop(tx.send(Err(ChangeError::DidNotCommit))),
        }
    }

    fn answer_unknown(self) {
        match self {
            Self::Proposal(tx) => drop(tx.send(Err(ProposeError::Unknown))),
            Self::Change(tx) => drop(tx.send(Err(ChangeError::Unknown))),
        }
    }
}

/// Waiting callers with their deadlines, by the entry that they wait for.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    waiting: BTreeMap<(LogIndex, Term), (Timestamp, Waiter)>,
}

impl Waiters {
    pub(crate) fn insert(&mut self, position: Position, deadline: Timestamp, waiter: Waiter) {
        let key = (position.index, position.term);
        self.waiting.insert(key, (deadline, waiter));
    }

    /// Answers all callers that wait for the index of an applied entry.
    ///
    /// If the applied entry has another term, the entry of the caller can no longer commit.
    /// The outcome of entries at lower indexes is unknown.
    pub(crate) fn answer_applied(&mut self, position: Position, answer: Vec<u8>) {
        let mut answer = Some(answer);
        while let Some(first) = self.waiting.first_entry()
            && first.key().0 <= position.index
        {
            let ((index, term), (_, waiter)) = first.remove_entry();
            if index < position.index {
                waiter.answer_unknown();
            } else if term == position.term {
                waiter.answer_committed(index, answer.take().unwrap_or_default());
            } else {
                waiter.answer_did_not_commit();
            }
        }
    }

    /// Answers all callers that wait for an entry up to the index of a restored snapshot.
    ///
    /// Their outcome is unknown, since a snapshot does not contain the terms of its entries.
    pub(crate) fn answer_restored(&mut self, index: LogIndex) {
        while let Some(first) = self.waiting.first_entry()
            && first.key().0 <= index
        {
            first.remove().1.answer_unknown();
        }
    }

    /// Answers all callers whose deadline has passed: the outcome of their entries is unknown.
    pub(crate) fn answer_expired(&mut self, now: Timestamp) {
        let is_expired = |_: &(LogIndex, Term), (at, _): &mut (Timestamp, Waiter)| *at <= now;
        for (_, (_, waiter)) in self.waiting.extract_if(.., is_expired) {
            waiter.answer_unknown();
        }
    }
}
