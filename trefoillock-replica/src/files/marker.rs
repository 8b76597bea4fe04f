//! The marker file `identity`, which records the system, replica and disk that a data folder
//! belongs to.

use std::path::Path;

use trefoillock_core::{ReplicaId, data};

use super::{durable, record};
use crate::{DiskId, FolderError, ReplicaIdentity};

/// The name of the marker file.
pub(super) const FILE_NAME: &str = "identity";
/// The version of the layout of the data folder.
const LAYOUT_VERSION: u32 = 1;

/// The content of the marker file.
#[data]
pub(super) struct Marker {
    layout: u32,
    system: String,
    replica: ReplicaId,
    disk: DiskId,
}

impl Marker {
    pub(super) fn new(system: &str, identity: ReplicaIdentity) -> Self {
        Self {
            layout: LAYOUT_VERSION,
            system: system.to_owned(),
            replica: identity.id,
            disk: identity.disk,
        }
    }

    pub(super) fn read(folder: &Path) -> Result<Option<Self>, FolderError> {
        let path = folder.join(FILE_NAME);
        let Some(bytes) = durable::read(&path)? else {
            return Ok(None);
        };
        let damaged = |what: &str| FolderError::damaged(&path, 0, what);
        let record = record::decode(&bytes).map_err(|error| damaged(&error.to_string()))?;
        if record.length != bytes.len() {
            return Err(damaged("bytes follow the record"));
        }
        let marker: Self =
            rmp_serde::from_slice(record.payload).map_err(|error| damaged(&error.to_string()))?;
        if marker.layout != LAYOUT_VERSION {
            return Err(damaged(
                "this version does not support the layout of the data folder",
            ));
        }
        Ok(Some(marker))
    }

    pub(super) const fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Checks that the folder belongs to a replica of a system. Returns the identity of the disk.
    pub(super) fn check(
        &self,
        folder: &Path,
        system: &str,
        replica: ReplicaId,
    ) -> Result<DiskId, FolderError> {
        if self.system == system && self.replica == replica {
            return Ok(self.disk);
        }
        Err(FolderError::Foreign {
            path: folder.to_owned(),
            found: format!("replica {} of {}", self.replica, self.system),
            expected: format!("replica {replica} of {system}"),
        })
    }
}
