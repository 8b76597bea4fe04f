//! Linearizable reads: a read is confirmed by the leader's lease, or by a heartbeat round that a
//! quorum answers after the read arrived.

use trefoillock_core::{LogIndex, Timestamp};

use crate::{Effect, ReadId, Replica, replica::Role};

/// A read that is not answered yet.
#[derive(Debug, Clone)]
pub(super) struct PendingRead {
    id: ReadId,
    awaiting: Awaiting,
}

/// The condition that a read waits for.
#[derive(Debug, Clone, Copy)]
enum Awaiting {
    /// An entry of the leader's own term must commit; until then its commit index may be stale.
    Commit,
    /// A quorum must answer heartbeat round `round`, which begins after the read arrived.
    Quorum { round: u64, index: LogIndex },
    /// The state machine must have applied the log up to `index`.
    Apply { index: LogIndex },
}

impl PendingRead {
    pub(super) const fn into_failure(self) -> Effect {
        Effect::ReadFailed(self.id)
    }
}

impl Replica {
    /// Requests confirmation that the state machine holds everything committed before this call.
    ///
    /// The answer is [`Effect::ReadReady`] or [`Effect::ReadFailed`] with the same identifier.
    pub fn read(&mut self, now: Timestamp, id: ReadId) {
        self.advance(now);
        match &mut self.role {
            Role::Leader(leadership) if leadership.reads.len() < self.limits.pending_reads => {
                let awaiting = Awaiting::Commit;
                leadership.reads.push(PendingRead { id, awaiting });
            }
            _ => self.effects.push(Effect::ReadFailed(id)),
        }
    }

    /// Advances pending reads and requests a new heartbeat round if a read needs one.
    pub(super) fn advance_reads(&mut self) {
        let (commit, applied) = (self.commit, self.applied);
        let holds_lease = self.lease_until().is_some();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let (first_index, quorum_round) = (leadership.first_index, leadership.quorum_round);
        let new_round = leadership.round + 1;
        let mut ready = Vec::new();
        let mut needs_round = false;
        leadership.reads.retain_mut(|read| {
            if matches!(read.awaiting, Awaiting::Commit) && commit >= first_index {
                read.awaiting = if holds_lease {
                    Awaiting::Apply { index: commit }
                } else {
                    needs_round = true;
                    Awaiting::Quorum {
                        round: new_round,
                        index: commit,
                    }
                };
            }
            if let Awaiting::Quorum { round, index } = read.awaiting
                && quorum_round >= round
            {
                read.awaiting = Awaiting::Apply { index };
            }
            let done = matches!(read.awaiting, Awaiting::Apply { index } if applied >= index);
            if done {
                ready.push(Effect::ReadReady(read.id));
            }
            !done
        });
        leadership.round_requested |= needs_round;
        self.effects.extend(ready);
    }
}
