//! Advances the commit index and passes committed entries to the state machine.

use trefoillock_core::{LogIndex, ReplicaId};

use crate::{Effect, Entry, Membership, Replica, replica::Role};

impl Replica {
    /// Commits the entries that a quorum has synced, if the last of them has the leader's own term.
    ///
    /// An entry of an earlier term commits only together with a later one of the leader's own term,
    /// because a later leader may replace it even if a quorum has synced it.
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
        let Some(quorum_index) = self.membership().quorum_value(matched) else {
            return;
        };
        let is_own_term = self.log.term_at(quorum_index) == Some(self.hard_state.term);
        if quorum_index > self.commit && is_own_term {
            let count =
                usize::try_from(quorum_index.get() - self.commit.get()).unwrap_or(usize::MAX);
            let newly_committed = self.log.entries_from(self.commit.next()).take(count);
            let bytes: usize = newly_committed.map(Entry::size).sum();
            self.commit = quorum_index;
            if let Role::Leader(leadership) = &mut self.role {
                leadership.uncommitted_bytes = leadership.uncommitted_bytes.saturating_sub(bytes);
            }
            self.step_down_if_removed();
        }
    }

    /// Steps down once the removal of this replica has committed.
    fn step_down_if_removed(&mut self) {
        if !self.committed_membership().is_voter(self.identity.id) {
            // Sends the new commit index to the followers first.
            if let Role::Leader(leadership) = &mut self.role {
                leadership.round_requested = true;
            }
            self.begin_round();
            self.send_appends();
            let term = self.hard_state.term;
            self.become_follower(term, None);
        }
    }

    /// Emits the entries that are committed and synced on this disk for the state machine.
    pub(super) fn apply_committed(&mut self) {
        let end = self.commit.min(self.persisted);
        if end <= self.applied {
            return;
        }
        let count = usize::try_from(end.get() - self.applied.get()).unwrap_or(usize::MAX);
        let next = self.log.entries_from(self.applied.next()).take(count);
        let entries: Vec<Entry> = next.cloned().collect();
        self.applied = end;
        self.replay_bytes += entries.iter().map(Entry::size).sum::<usize>();
        self.effects.push(Effect::Apply(entries));
        self.request_snapshot_if_due();
    }

    /// Returns the size in bytes of the uncommitted entries of a leader; 0 for other roles.
    pub(super) fn uncommitted_bytes(&self) -> usize {
        match &self.role {
            Role::Leader(leadership) => leadership.uncommitted_bytes,
            _ => 0,
        }
    }

    /// Returns the membership in force at `index`.
    pub(super) fn members_at(&self, index: LogIndex) -> &Membership {
        let at = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        at.map_or(&self.snapshot.members, |(_, members)| members)
    }
}
