//! The member list that a node holds, and the rule for when it may serve calls by it.

use std::sync::Arc;

use trefoillock_core::{Members, MembersVersion};

use crate::MembersUpdate;

/// Holds the member list of a node, which is only replaced by a newer one.
///
/// As with [`ConfigHolder`](crate::ConfigHolder), the list is served only after a live leader has
/// confirmed that it is not older than what this node may have served before a restart.
#[derive(Debug, Default)]
pub struct MembersHolder {
    held: Arc<Members>,
    min_version: Option<MembersVersion>,
    is_serving: bool,
}

impl MembersHolder {
    /// Applies an update and returns whether the held list changed, or `None` if the update is a
    /// delta to a version other than the held one.
    pub fn apply(&mut self, update: MembersUpdate) -> Option<bool> {
        let members = match update {
            MembersUpdate::Snapshot(members) if members.version > self.held.version => members,
            MembersUpdate::Delta(delta) if delta.version > self.held.version => {
                if delta.base != self.held.version {
                    return None;
                }
                delta.apply(&self.held)
            }
            MembersUpdate::Snapshot(_) | MembersUpdate::Delta(_) => return Some(false),
        };
        self.held = Arc::new(members);
        self.update_serving();
        Some(true)
    }

    /// Records that a live leader had this version when it answered a confirmation request sent
    /// after the start of this process.
    pub fn confirm(&mut self, min_version: MembersVersion) {
        self.min_version = self.min_version.max(Some(min_version));
        self.update_serving();
    }

    /// Returns the version of the held list.
    #[must_use]
    pub fn version(&self) -> MembersVersion {
        self.held.version
    }

    /// Returns the held list, served or not.
    #[must_use]
    pub const fn held(&self) -> &Arc<Members> {
        &self.held
    }

    /// Returns the list by which the node may serve calls, if there is one.
    #[must_use]
    pub fn serving(&self) -> Option<&Arc<Members>> {
        self.is_serving.then_some(&self.held)
    }

    fn update_serving(&mut self) {
        self.is_serving |= self
            .min_version
            .is_some_and(|min_version| self.held.version >= min_version);
    }
}
