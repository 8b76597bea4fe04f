//! Changes of the membership, one at a time.

use trefoillock_core::{ReplicaId, Timestamp};

use crate::{
    ChangeError, Content, DiskId, Membership, MembershipChange, Position, Replica, replica::Role,
};

impl Replica {
    /// Proposes a change of one member. Returns the position at which it commits.
    ///
    /// # Errors
    ///
    /// Returns the reason if the change is not in the log.
    pub fn change_members(
        &mut self,
        now: Timestamp,
        change: &MembershipChange,
    ) -> Result<Position, ChangeError> {
        self.advance(now);
        if !self.has_quorum_contact() {
            return Err(ChangeError::NotLeader);
        }
        if !self.may_change_members() {
            return Err(ChangeError::InProgress);
        }
        let next = self.membership().changed(change)?;
        if let MembershipChange::Promote { id } = change {
            self.check_caught_up(*id)?;
        }
        Ok(self.append_own(Content::Members(next)))
    }

    /// Whether the latest membership and an entry of the leader's own term are committed.
    fn may_change_members(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let latest = self.members.last().map(|(index, _)| *index);
        self.commit >= leadership.first_index && latest.is_none_or(|at| at <= self.commit)
    }

    fn check_caught_up(&self, id: ReplicaId) -> Result<(), ChangeError> {
        let Role::Leader(leadership) = &self.role else {
            return Err(ChangeError::NotLeader);
        };
        let known = self.membership().get(id).is_some_and(|m| m.disk.is_some());
        let matched = leadership.progress.get(&id).map_or(0, |p| p.matched.get());
        let caught_up = matched + self.limits.promote_lag >= self.log.last().index.get();
        if known && caught_up {
            Ok(())
        } else {
            Err(ChangeError::NotCaughtUp(id))
        }
    }

    /// Records the disk of a member that has none recorded, once it has been heard of.
    pub(super) fn record_disks(&mut self) {
        if !self.may_change_members() {
            return;
        }
        let members = self.membership();
        let missing = members.members().iter().filter(|(_, m)| m.disk.is_none());
        let heard = |(&id, _)| Some((id, self.disk_of(id)?));
        let heard: Vec<(ReplicaId, DiskId)> = missing.filter_map(heard).collect();
        if heard.is_empty() {
            return;
        }
        let record =
            |members: Membership, &(id, disk): &(ReplicaId, DiskId)| members.with_disk(id, disk);
        let next = heard.iter().fold(members.clone(), record);
        self.append_own(Content::Members(next));
    }

    fn disk_of(&self, id: ReplicaId) -> Option<DiskId> {
        if id == self.identity.id {
            return Some(self.identity.disk);
        }
        match &self.role {
            Role::Leader(leadership) => leadership.progress.get(&id)?.disk,
            _ => None,
        }
    }
}
