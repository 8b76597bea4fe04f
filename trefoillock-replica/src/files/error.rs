//! Errors of the data folder.

use std::{io, path::PathBuf};

use displaydoc::Display;
use trefoillock_core::{Peer, Step};

/// The reason why a data folder cannot be used.
///
/// If a folder is refused when it is initialized or opened, nothing in it has been overwritten.
#[derive(Debug, Display)]
pub enum FolderError {
    /// the data folder {path} has no identity file; initialize it with bootstrap or join
    Missing {
        /// The data folder.
        path: PathBuf,
    },
    /// the data folder {path} is not empty; bootstrap and join require an empty one
    NotEmpty {
        /// The data folder.
        path: PathBuf,
    },
    /// the data folder {path} belongs to {found}, not to {expected}
    Foreign {
        /// The data folder.
        path: PathBuf,
        /// The identity in the data folder.
        found: String,
        /// The identity in the settings.
        expected: String,
    },
    /// another process uses the data folder {path}
    InUse {
        /// The data folder.
        path: PathBuf,
    },
    /// {path} is damaged at byte {offset}: {what}
    Damaged {
        /// The file.
        path: PathBuf,
        /// The offset of the damage in bytes.
        offset: u64,
        /// A description of the damage.
        what: String,
    },
    /// {step} of {path} failed: {cause}
    Io {
        /// The operation that failed.
        step: Step,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// an earlier write or sync failed, so further writes are refused
    Poisoned,
}

impl std::error::Error for FolderError {}

impl FolderError {
    /// Returns whether a write or sync failed because the disk is full.
    ///
    /// Such a write can be undone and tried again without loss.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let Self::Io { step, cause, .. } = self else {
            return false;
        };
        let is_write = matches!(step, Step::Write | Step::Sync);
        is_write
            && matches!(
                cause.kind(),
                io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
            )
    }

    /// Returns the step that failed.
    #[must_use]
    pub const fn step(&self) -> Step {
        match self {
            Self::Io { step, .. } => *step,
            Self::Damaged { .. } => Step::Decode,
            Self::Poisoned => Step::Write,
            _ => Step::Read,
        }
    }

    pub(crate) fn damaged(path: impl Into<PathBuf>, offset: u64, what: &str) -> Self {
        Self::Damaged {
            path: path.into(),
            offset,
            what: what.to_owned(),
        }
    }
}

impl From<FolderError> for trefoillock_core::Error {
    fn from(error: FolderError) -> Self {
        let peer = Peer::Platform("data folder".to_owned());
        Self::new(error.step(), peer, error)
    }
}
