//! Questions for the leader's versions, summed on the way up.

use std::collections::VecDeque;

/// The largest number of a child's questions that wait for an answer.
const MAX_PENDING: usize = 8;

#[derive(Debug, Clone, Copy)]
struct Pending {
    childs: u64,
    own: u64,
}

/// Matches the questions of one child with the later questions of its parent.
///
/// A child's question is answered by the answer to a question that the parent asked after the
/// child's question arrived, so an answer always speaks of a time after the question.
#[derive(Debug, Default)]
pub struct Rounds {
    last_asked: u64,
    pending: VecDeque<Pending>,
    confirmed: u64,
}

impl Rounds {
    /// Notes a question of the child; `next_own` is the number of the parent's next question.
    pub fn ask(&mut self, childs: u64, next_own: u64) {
        if childs > self.last_asked && self.pending.len() < MAX_PENDING {
            self.last_asked = childs;
            self.pending.push_back(Pending {
                childs,
                own: next_own,
            });
        }
    }

    /// Notes the answer to a question of the parent.
    pub fn confirm(&mut self, own: u64) {
        while let Some(pending) = self.pending.front()
            && pending.own <= own
        {
            self.confirmed = pending.childs;
            self.pending.pop_front();
        }
    }

    /// The highest question of the child that was answered.
    #[must_use]
    pub const fn confirmed(&self) -> u64 {
        self.confirmed
    }
}
