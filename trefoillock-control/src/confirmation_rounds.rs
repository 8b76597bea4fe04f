//! Confirmation requests, aggregated on their way to the leader.
//!
//! A node asks which versions the leader has, so that the node serves nothing older than before a
//! restart. The requests are numbered in rounds. A relay does not forward each child's request; its
//! own next request covers them all.

use std::collections::VecDeque;

/// The largest number of unanswered rounds kept for one child.
const MAX_PENDING: usize = 8;

#[derive(Debug, Clone, Copy)]
struct PendingRound {
    child_round: u64,
    parent_round: u64,
}

/// Maps the rounds of one child to later rounds of its parent.
///
/// A child's round is confirmed only by the answer to a round that the parent started after the
/// child's request arrived. So an answer always describes the leader's state at a time after the
/// child asked.
#[derive(Debug, Default)]
pub struct ConfirmationRounds {
    last_requested: u64,
    pending: VecDeque<PendingRound>,
    confirmed: u64,
}

impl ConfirmationRounds {
    /// Records a round that the child started; `next_parent_round` is the parent's next round.
    pub fn request(&mut self, child_round: u64, next_parent_round: u64) {
        if child_round > self.last_requested && self.pending.len() < MAX_PENDING {
            self.last_requested = child_round;
            self.pending.push_back(PendingRound {
                child_round,
                parent_round: next_parent_round,
            });
        }
    }

    /// Confirms the child's rounds that are covered by the answer to `parent_round`.
    pub fn confirm(&mut self, parent_round: u64) {
        while let Some(pending) = self.pending.front()
            && pending.parent_round <= parent_round
        {
            self.confirmed = pending.child_round;
            self.pending.pop_front();
        }
    }

    /// Returns the highest confirmed round of the child; zero if none is confirmed.
    #[must_use]
    pub const fn confirmed(&self) -> u64 {
        self.confirmed
    }
}
