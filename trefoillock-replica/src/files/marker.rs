//! The file that says to which system and replica a data folder belongs.

use std::path::Path;

use trefoillock_core::{ReplicaId, data};

use super::{durable, record};
use crate::{DiskId, FolderError, Sender};

/// The name of the marker's file.
pub(super) const FILE_NAME: &str = "identity";
/// The version of the layout of the data folder.
const LAYOUT: u32 = 1;

/// The identity of a data folder.
#[data]
pub(super) struct Marker {
    layout: u32,
    system: String,
    replica: ReplicaId,
    disk: DiskId,
}

impl Marker {
    pub(super) fn new(system: &str, identity: Sender) -> Self {
        Self {
            layout: LAYOUT,
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
        if marker.layout != LAYOUT {
            return Err(damaged("the layout is unknown to this program"));
        }
        Ok(Some(marker))
    }

    pub(super) const fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Checks that the folder belongs to a replica of a system. Returns the disk's identity.
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
            wanted: format!("replica {replica} of {system}"),
        })
    }
}
