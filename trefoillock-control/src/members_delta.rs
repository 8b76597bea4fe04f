//! Deltas between two versions of the member list.

use std::{collections::BTreeMap, sync::Arc};

use trefoillock_core::{Fingerprint, Member, Members, MembersVersion, ServerId, Timestamp, data};

/// The delta from one version of the member list to a newer one.
#[data]
pub struct MembersDelta {
    /// The version that the delta applies to.
    pub base: MembersVersion,
    /// The version that results from applying the delta.
    pub version: MembersVersion,
    /// Backend servers that were added or changed.
    pub changed: Vec<Arc<Member>>,
    /// Backend servers that were removed.
    pub removed: Vec<ServerId>,
    /// The complete set of refused request fingerprints, each with the end of its quarantine; it
    /// replaces the set of the base version.
    pub quarantined: BTreeMap<Fingerprint, Timestamp>,
}

impl MembersDelta {
    /// Computes the delta from `old` to `new`.
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

    /// Applies the delta to the list that it starts at and returns the resulting list.
    ///
    /// The caller checks that `base` has the version [`base`](Self::base).
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
