//! An index of the workspaces by API key.

use std::sync::Arc;

use trefoillock_core::{ApiKey, SeededMap, Workspace, Workspaces};

/// Finds the workspace of an API key.
///
/// Callers choose the keys that are looked up, so the hash function is randomly seeded. `Debug`
/// shows no keys, because [`ApiKey`] hides them.
#[derive(Debug, Default)]
pub struct KeyIndex {
    by_key: SeededMap<ApiKey, Arc<Workspace>>,
}

impl KeyIndex {
    /// Builds the index of the keys of all workspaces.
    #[must_use]
    pub fn new(workspaces: &Workspaces) -> Self {
        let entries = workspaces.values().flat_map(|workspace| {
            let keys = workspace.api_keys.iter();
            keys.map(|key| (key.clone(), workspace.clone()))
        });
        Self {
            by_key: entries.collect(),
        }
    }

    /// The workspace that has a key; `None` if no workspace has it.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }
}
