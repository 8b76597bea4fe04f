//! Writes that outlive a disk without room.

use crate::{FolderError, Write};

/// The storage of a replica, as its disk thread uses it.
pub trait Storage {
    /// Carries out one write without making it last.
    ///
    /// # Errors
    ///
    /// Returns why the write failed; part of it may have reached the disk.
    fn write_one(&mut self, write: &Write) -> Result<(), FolderError>;

    /// Takes back what a failed write may have left.
    ///
    /// # Errors
    ///
    /// Returns why that failed.
    fn undo_partial(&mut self) -> Result<(), FolderError>;

    /// Makes all writes last.
    ///
    /// # Errors
    ///
    /// Returns why that failed. What the disk holds is then unknown.
    fn sync(&mut self) -> Result<(), FolderError>;
}

/// Carries writes out in order and makes them last. While the disk has no room, it waits and
/// tries again: the replica acknowledges nothing meanwhile, as with a disk that stalls.
///
/// `wait` returns whether to go on.
///
/// # Errors
///
/// Returns every error but that the disk has no room, and that one if `wait` gives up.
pub fn write_patiently<S: Storage>(
    storage: &mut S,
    writes: &[Write],
    mut wait: impl FnMut() -> bool,
) -> Result<(), FolderError> {
    for write in writes {
        while let Err(error) = storage.write_one(write) {
            if !error.is_full() || !wait() {
                return Err(error);
            }
            while let Err(error) = storage.undo_partial() {
                if !error.is_full() || !wait() {
                    return Err(error);
                }
            }
        }
    }
    storage.sync()
}
