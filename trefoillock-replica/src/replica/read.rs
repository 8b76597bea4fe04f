//! Linearizable reads.

use trefoillock_core::{LogIndex, Timestamp};

use crate::{Effect, ReadId, Replica, replica::Role};

/// A read that waits.
#[derive(Debug, Clone)]
pub(super) struct PendingRead {
    id: ReadId,
    state: ReadState,
}

#[derive(Debug, Clone, Copy)]
enum ReadState {
    /// Nothing of the leader's own term is committed yet.
    NoCommit,
    /// A quorum must answer a round that began after the read.
    Round { round: u64, index: LogIndex },
    /// The state machine must reach an index.
    Apply { index: LogIndex },
}

impl PendingRead {
    pub(super) const fn failed(self) -> Effect {
        Effect::ReadFailed(self.id)
    }
}

impl Replica {
    /// Asks whether the state machine's state is current.
    ///
    /// [`Effect::ReadReady`] or [`Effect::ReadFailed`] answers.
    pub fn read(&mut self, now: Timestamp, id: ReadId) {
        self.advance(now);
        match &mut self.role {
            Role::Leader(leadership) if leadership.reads.len() < self.limits.pending_reads => {
                let state = ReadState::NoCommit;
                leadership.reads.push(PendingRead { id, state });
            }
            _ => self.effects.push(Effect::ReadFailed(id)),
        }
    }

    /// Takes reads one step further and asks for a new heartbeat round if one is needed.
    pub(super) fn advance_reads(&mut self) {
        let (commit, applied) = (self.commit, self.applied);
        let leased = self.lease_until().is_some();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let (first, quorum_round) = (leadership.first_index, leadership.quorum_round);
        let new_round = leadership.round + 1;
        let mut ready = Vec::new();
        let mut wanted = false;
        leadership.reads.retain_mut(|read| {
            if matches!(read.state, ReadState::NoCommit) && commit >= first {
                read.state = if leased {
                    ReadState::Apply { index: commit }
                } else {
                    wanted = true;
                    ReadState::Round {
                        round: new_round,
                        index: commit,
                    }
                };
            }
            if let ReadState::Round { round, index } = read.state
                && quorum_round >= round
            {
                read.state = ReadState::Apply { index };
            }
            let done = matches!(read.state, ReadState::Apply { index } if applied >= index);
            if done {
                ready.push(Effect::ReadReady(read.id));
            }
            !done
        });
        leadership.round_wanted |= wanted;
        self.effects.extend(ready);
    }
}
