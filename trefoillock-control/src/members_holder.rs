//! The list of members of one node.

use std::sync::Arc;

use trefoillock_core::{Members, MembersVersion};

use crate::MembersUpdate;

/// Holds the list of members of a node, which is only ever replaced by a newer one.
///
/// As with the configuration, the list is served once a live leader has confirmed that it is
/// not older than what this node may have served before a restart.
#[derive(Debug, Default)]
pub struct MembersHolder {
    held: Arc<Members>,
    floor: Option<MembersVersion>,
    serving: bool,
}

impl MembersHolder {
    /// Takes an update and returns whether the held list changed, or `None` if the update
    /// starts at a version that is not held.
    pub fn take(&mut self, update: MembersUpdate) -> Option<bool> {
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
        self.settle();
        Some(true)
    }

    /// Notes that a live leader, asked after the start of this process, had this version.
    pub fn confirm(&mut self, floor: MembersVersion) {
        self.floor = self.floor.max(Some(floor));
        self.settle();
    }

    /// The version that is held.
    #[must_use]
    pub fn version(&self) -> MembersVersion {
        self.held.version
    }

    /// What is held, served or not.
    #[must_use]
    pub const fn held(&self) -> &Arc<Members> {
        &self.held
    }

    /// The list that calls are served by, if there is one.
    #[must_use]
    pub fn serving(&self) -> Option<&Arc<Members>> {
        self.serving.then_some(&self.held)
    }

    fn settle(&mut self) {
        self.serving |= self.floor.is_some_and(|floor| self.held.version >= floor);
    }
}
