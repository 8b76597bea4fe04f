//! Commit and application of entries.

use trefoillock_core::{LogIndex, ReplicaId};

use crate::{Effect, Entry, Membership, Replica, replica::Role};

impl Replica {
    /// Commits what a quorum has synced, if the last of it is of the leader's own term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let own = self.identity.id;
        let matched = |id: ReplicaId| match leadership.progress.get(&id) {
            _ if id == own => self.persisted,
            Some(progress) => progress.matched,
            None => LogIndex::ZERO,
        };
        let Some(reached) = self.membership().quorum_value(matched) else {
            return;
        };
        let of_own_term = self.log.term_at(reached) == Some(self.hard_state.term);
        if reached > self.commit && of_own_term {
            let count = usize::try_from(reached.get() - self.commit.get()).unwrap_or(usize::MAX);
            let newly = self.log.from(self.commit.next()).take(count);
            let bytes: usize = newly.map(Entry::size).sum();
            self.commit = reached;
            if let Role::Leader(leadership) = &mut self.role {
                leadership.uncommitted_bytes = leadership.uncommitted_bytes.saturating_sub(bytes);
            }
            self.leave_if_removed();
        }
    }

    /// Stops leading once the removal of this replica has committed.
    fn leave_if_removed(&mut self) {
        if !self.committed_membership().is_voter(self.identity.id) {
            // The others learn of the commit before the leadership ends.
            if let Role::Leader(leadership) = &mut self.role {
                leadership.round_wanted = true;
            }
            self.begin_round();
            self.send_appends();
            let term = self.hard_state.term;
            self.become_follower(term, None);
        }
    }

    /// Hands entries that are committed and synced here to the state machine.
    pub(super) fn apply_committed(&mut self) {
        let end = self.commit.min(self.persisted);
        if end <= self.applied {
            return;
        }
        let count = usize::try_from(end.get() - self.applied.get()).unwrap_or(usize::MAX);
        let next = self.log.from(self.applied.next()).take(count);
        let entries: Vec<Entry> = next.cloned().collect();
        self.applied = end;
        self.replay_bytes += entries.iter().map(Entry::size).sum::<usize>();
        self.effects.push(Effect::Apply(entries));
        self.want_snapshot();
    }

    /// The size of the leader's entries that are not committed, in bytes.
    pub(super) fn uncommitted_bytes(&self) -> usize {
        match &self.role {
            Role::Leader(leadership) => leadership.uncommitted_bytes,
            _ => 0,
        }
    }

    /// The membership in force at an index.
    pub(super) fn members_at(&self, index: LogIndex) -> &Membership {
        let at = self.members.iter().rev().find(|(at, _)| *at <= index);
        at.map_or(&self.snapshot.members, |(_, members)| members)
    }
}
