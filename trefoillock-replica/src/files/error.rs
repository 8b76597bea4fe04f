//! Errors of the data folder.

use std::{io, path::PathBuf};

use displaydoc::Display;
use trefoillock_core::{Peer, Step};

/// The reason why a data folder cannot be used. Nothing in it was overwritten.
#[derive(Debug, Display)]
pub enum FolderError {
    /// the data folder {path} has no identity; create it by bootstrap or join
    Missing {
        /// The data folder.
        path: PathBuf,
    },
    /// the data folder {path} is not empty; bootstrap and join need an empty one
    NotEmpty {
        /// The data folder.
        path: PathBuf,
    },
    /// the data folder {path} belongs to {found}, not to {wanted}
    Foreign {
        /// The data folder.
        path: PathBuf,
        /// The identity in the data folder.
        found: String,
        /// The identity in the settings.
        wanted: String,
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
        /// The place of the damage in bytes.
        offset: u64,
        /// What is wrong.
        what: String,
    },
    /// {step} of {path} failed: {cause}
    Io {
        /// What was done.
        step: Step,
        /// The file.
        path: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// an earlier write or sync failed, so nothing is written any more
    Poisoned,
}

impl std::error::Error for FolderError {}

impl FolderError {
    /// Whether a write was refused because the disk has no room, so that nothing is lost if it
    /// is taken back and tried again.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let Self::Io { step, cause, .. } = self else {
            return false;
        };
        let is_write = matches!(step, Step::Write);
        is_write
            && matches!(
                cause.kind(),
                io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
            )
    }

    /// The step at which the error arose.
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
