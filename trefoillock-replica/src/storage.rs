//! The storage interface of a replica, and writes that wait while the disk is full.

use crate::{FolderError, Write};

/// The persistent storage of a replica, as its disk thread uses it.
pub trait Storage {
    /// Performs one write without syncing it.
    ///
    /// # Errors
    ///
    /// Returns why the write failed. Part of it may have reached the disk.
    fn write_one(&mut self, write: &Write) -> Result<(), FolderError>;

    /// Removes what a failed write may have left on the disk.
    ///
    /// # Errors
    ///
    /// Returns why the removal failed.
    fn discard_partial_write(&mut self) -> Result<(), FolderError>;

    /// Syncs all writes to the disk.
    ///
    /// # Errors
    ///
    /// Returns why the sync failed. The content of the disk is then unknown.
    fn sync(&mut self) -> Result<(), FolderError>;
}

/// Performs writes in order and syncs them, retrying while the disk is full.
///
/// The replica acknowledges nothing in the meantime, as with a disk that stalls. `wait` is called
/// before each retry and returns whether to continue.
///
/// # Errors
///
/// Returns any error other than a full disk immediately, and a full disk if `wait` returns `false`.
pub fn write_retrying_when_full<S: Storage>(
    storage: &mut S,
    writes: &[Write],
    mut wait: impl FnMut() -> bool,
) -> Result<(), FolderError> {
    for write in writes {
        while let Err(error) = storage.write_one(write) {
            if !error.is_full() || !wait() {
                return Err(error);
            }
            while let Err(error) = storage.discard_partial_write() {
                if !error.is_full() || !wait() {
                    return Err(error);
                }
            }
        }
    }
    storage.sync()
}
