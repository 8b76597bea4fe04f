//! Changes of the membership. Each adds, promotes or removes one member, and the next one is
//! refused until it has committed.

use trefoillock_core::{ReplicaId, Timestamp};

use crate::{
    ChangeError, Content, DiskId, Membership, MembershipChange, Position, Replica, replica::Role,
};

impl Replica {
    /// Proposes a change of one member. Returns the position that it will have if it commits.
    ///
    /// # Errors
    ///
    /// Returns the reason if the change was not appended to the log.
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
        let next = self.membership().with_change(change)?;
        if let MembershipChange::Promote { id } = change {
            self.check_caught_up(*id)?;
        }
        Ok(self.append_own(Content::Members(next)))
    }

    /// Returns whether the latest membership and an entry of the leader's own term are committed.
    fn may_change_members(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let latest = self.memberships.last().map(|(index, _)| *index);
        self.commit >= leadership.first_index && latest.is_none_or(|at| at <= self.commit)
    }

    fn check_caught_up(&self, id: ReplicaId) -> Result<(), ChangeError> {
        let Role::Leader(leadership) = &self.role else {
            return Err(ChangeError::NotLeader);
        };
        let disk_known = self.membership().get(id).is_some_and(|m| m.disk.is_some());
        let matched = leadership.progress.get(&id).map_or(0, |p| p.matched.get());
        let caught_up = matched + self.limits.promote_lag >= self.log.last().index.get();
        if disk_known && caught_up {
            Ok(())
        } else {
            Err(ChangeError::NotCaughtUp(id))
        }
    }

    /// Appends a membership that records the disks of members that have answered for the first
    /// time.
    pub(super) fn record_disks(&mut self) {
        if !self.may_change_members() {
            return;
        }
        let members = self.membership();
        let without_disk = members.members().iter().filter(|(_, m)| m.disk.is_none());
        let answered = |(&id, _)| Some((id, self.disk_of(id)?));
        let answered: Vec<(ReplicaId, DiskId)> = without_disk.filter_map(answered).collect();
        if answered.is_empty() {
            return;
        }
        let record =
            |members: Membership, &(id, disk): &(ReplicaId, DiskId)| members.with_disk(id, disk);
        let next = answered.iter().fold(members.clone(), record);
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
