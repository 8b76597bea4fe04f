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

    /// Removes all entries that were written since the last sync or snapshot.
    ///
    /// # Errors
    ///
    /// Returns why the removal failed.
    fn discard_unsynced(&mut self) -> Result<(), FolderError>;

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
    let mut retry = |error: FolderError| {
        if error.is_full() && wait() {
            Ok(())
        } else {
            Err(error)
        }
    };
    let mut first = 0;
    loop {
        for (at, write) in writes.iter().enumerate().skip(first) {
            while let Err(error) = storage.write_one(write) {
                retry(error)?;
                while let Err(error) = storage.discard_partial_write() {
                    retry(error)?;
                }
            }
            if matches!(write, Write::Snapshot { .. }) {
                // It is durable, and the log begins anew with it.
                first = at + 1;
            }
        }
        let Err(error) = storage.sync() else {
            return Ok(());
        };
        retry(error)?;
        // The system may have dropped what it could not write, so that a second sync alone would succeed
        // without it.
        while let Err(error) = storage.discard_unsynced() {
            retry(error)?;
        }
    }
}
