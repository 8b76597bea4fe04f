//! Differences between two lists of members.

use std::{collections::BTreeMap, sync::Arc};

use trefoillock_core::{Fingerprint, Member, Members, MembersVersion, ServerId, Timestamp, data};

/// The difference between two lists of members.
#[data]
pub struct MembersDelta {
    /// The version that the difference starts at.
    pub base: MembersVersion,
    /// The version that the difference leads to.
    pub version: MembersVersion,
    /// Backend servers that were added or changed.
    pub changed: Vec<Arc<Member>>,
    /// Backend servers that were removed.
    pub removed: Vec<ServerId>,
    /// All requests that are refused, with the time until which they are.
    pub quarantined: BTreeMap<Fingerprint, Timestamp>,
}

impl MembersDelta {
    /// The difference that leads from one list to a newer one.
    #[must_use]
    pub fn between(old: &Members, new: &Members) -> Self {
        let changed = new
            .servers
            .iter()
            .filter(|(id, member)| old.servers.get(*id) != Some(*member));
        let removed = old
            .servers
            .keys()
            .filter(|id| !new.servers.contains_key(*id));
        Self {
            base: old.version,
            version: new.version,
            changed: changed.map(|(_, member)| member.clone()).collect(),
            removed: removed.cloned().collect(),
            quarantined: new.quarantined.clone(),
        }
    }

    /// The list that the difference leads to.
    #[must_use]
    pub fn apply(&self, base: &Members) -> Members {
        let mut members = base.clone();
        members.version = self.version;
        members.quarantined.clone_from(&self.quarantined);
        for id in &self.removed {
            members.servers.remove(id);
        }
        for member in &self.changed {
            members.servers.insert(member.id.clone(), member.clone());
        }
        members
    }
}
