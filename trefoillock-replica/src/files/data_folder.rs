//! The data folder of a replica: its identity, term and vote, snapshot and log.
//!
//! A folder that is damaged or belongs to another replica is refused, and nothing in it is
//! overwritten.

use std::{
    fs::{self, File, TryLockError},
    path::{Path, PathBuf},
    thread,
    time::Duration,
};

use trefoillock_core::{ReplicaId, Step};

use super::{
    durable,
    log_file::{self, LogFile},
    marker::{self, Marker},
    state_file,
};
use crate::{
    DiskId, FolderError, HardState, Membership, Position, RecoveredState, ReplicaIdentity,
    Snapshot, Storage, Write, write_retrying_when_full,
};

/// The name of the file with the term and vote.
const HARD_STATE_FILE: &str = "hard-state";
/// The name of the file with the snapshot.
const SNAPSHOT_FILE: &str = "snapshot";
/// The name of the file that a process locks while it uses the folder.
const LOCK_FILE: &str = "lock";

/// The interval between attempts to write to a full disk.
const FULL_DISK_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The open data folder of a replica.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    log: LogFile,
    /// Whether a write or sync failed, so that the content of the disk is unknown.
    poisoned: bool,
    _lock: File,
}

impl DataFolder {
    /// Initializes an empty folder as the data folder of a voter of a new system.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is not empty or cannot be written.
    pub fn init_voter(
        path: &Path,
        system: &str,
        identity: ReplicaIdentity,
        voters: Membership,
    ) -> Result<(), FolderError> {
        let snapshot = Snapshot {
            members: voters,
            ..Snapshot::default()
        };
        Self::create(path, system, identity, &snapshot)
    }

    /// Initializes an empty folder as the data folder of a replica that joins an existing system.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is not empty or cannot be written.
    pub fn init_joining(
        path: &Path,
        system: &str,
        identity: ReplicaIdentity,
    ) -> Result<(), FolderError> {
        Self::create(path, system, identity, &Snapshot::default())
    }

    /// Returns the replica that a data folder belongs to, or `None` if it was never initialized.
    ///
    /// # Errors
    ///
    /// Returns an error if the marker file is damaged or belongs to another system.
    pub fn replica_id(path: &Path, system: &str) -> Result<Option<ReplicaId>, FolderError> {
        let Some(marker) = Marker::read(path)? else {
            return Ok(None);
        };
        marker.check(path, system, marker.replica())?;
        Ok(Some(marker.replica()))
    }

    /// Removes the files of a data folder, so that it can be initialized for a new replica.
    ///
    /// The marker file is removed first: without it the folder counts as never initialized.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be removed.
    pub fn delete_files(path: &Path) -> Result<(), FolderError> {
        let remove = |file: &Path| match fs::remove_file(file) {
            Err(cause) if cause.kind() != std::io::ErrorKind::NotFound => {
                Err(durable::io_error(Step::Write, file)(cause))
            }
            _ => Ok(()),
        };
        if !path.exists() {
            return Ok(());
        }
        remove(&path.join(marker::FILE_NAME))?;
        durable::sync_folder(path)?;
        let entries = fs::read_dir(path).map_err(durable::io_error(Step::Read, path))?;
        for entry in entries {
            let entry = entry.map_err(durable::io_error(Step::Read, path))?;
            remove(&entry.path())?;
        }
        durable::sync_folder(path)
    }

    /// Opens the data folder of a replica and reads its persistent state.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is missing, damaged, in use, or belongs to another replica or
    /// system.
    pub fn open(
        path: &Path,
        system: &str,
        replica: ReplicaId,
    ) -> Result<(Self, RecoveredState), FolderError> {
        let missing = || FolderError::Missing {
            path: path.to_owned(),
        };
        let marker = Marker::read(path)?.ok_or_else(missing)?;
        let disk = marker.check(path, system, replica)?;
        let lock = lock(path)?;
        let hard_state: HardState = state_file::read(&path.join(HARD_STATE_FILE))?;
        let snapshot: Snapshot = state_file::read(&path.join(SNAPSHOT_FILE))?;
        let (mut log, content) = LogFile::open(path, disk)?;
        let (mut base, mut entries) = (content.base, content.entries);
        check_contiguous(path, base, &snapshot)?;
        // A crash between the replacement of the snapshot and that of the log may leave a log that
        // ends before the snapshot.
        if !contains_position(base, &entries, snapshot.position) {
            (base, entries) = (snapshot.position, Vec::new());
            log = LogFile::create(path, disk, base, &entries)?;
        }
        let folder = Self {
            path: path.to_owned(),
            log,
            poisoned: false,
            _lock: lock,
        };
        let recovered = RecoveredState {
            identity: ReplicaIdentity { id: replica, disk },
            hard_state,
            snapshot,
            base,
            entries,
        };
        Ok((folder, recovered))
    }

    /// Performs writes in order and syncs them. Waits while the disk is full.
    ///
    /// # Errors
    ///
    /// Returns an error if a write or sync fails. Every later write is then refused, because the
    /// content of the disk is unknown.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), FolderError> {
        if self.poisoned {
            return Err(FolderError::Poisoned);
        }
        self.poisoned = true;
        write_retrying_when_full(self, writes, || {
            thread::sleep(FULL_DISK_RETRY_INTERVAL);
            true
        })?;
        self.poisoned = false;
        Ok(())
    }

    fn create(
        path: &Path,
        system: &str,
        identity: ReplicaIdentity,
        snapshot: &Snapshot,
    ) -> Result<(), FolderError> {
        let read = durable::io_error(Step::Read, path);
        fs::create_dir_all(path).map_err(durable::io_error(Step::Write, path))?;
        if fs::read_dir(path).map_err(read)?.next().is_some() {
            return Err(FolderError::NotEmpty {
                path: path.to_owned(),
            });
        }
        let _lock = lock(path)?;
        state_file::write(&path.join(HARD_STATE_FILE), &HardState::default())?;
        state_file::write(&path.join(SNAPSHOT_FILE), snapshot)?;
        LogFile::create(path, identity.disk, Position::default(), &[])?;
        // The marker file is written last: a folder without one was never in use.
        state_file::write(
            &path.join(marker::FILE_NAME),
            &Marker::new(system, identity),
        )?;
        durable::sync_folder(path.parent().unwrap_or(Path::new(".")))
    }
}

impl Storage for DataFolder {
    fn write_one(&mut self, write: &Write) -> Result<(), FolderError> {
        match write {
            Write::HardState(state) => state_file::write(&self.path.join(HARD_STATE_FILE), state),
            Write::Entries(entries) => self.log.append(entries),
            Write::Snapshot {
                snapshot,
                base,
                entries,
            } => {
                state_file::write(&self.path.join(SNAPSHOT_FILE), snapshot.as_ref())?;
                self.log = LogFile::create(&self.path, self.log.disk(), *base, entries)?;
                Ok(())
            }
        }
    }

    fn discard_partial_write(&mut self) -> Result<(), FolderError> {
        self.log.truncate_partial_append()
    }

    fn discard_unsynced(&mut self) -> Result<(), FolderError> {
        self.log.truncate_unsynced()
    }

    fn sync(&mut self) -> Result<(), FolderError> {
        self.log.sync()
    }
}

/// Locks the folder against other processes until the returned file is closed.
fn lock(path: &Path) -> Result<File, FolderError> {
    let lock_path = path.join(LOCK_FILE);
    let write = durable::io_error(Step::Write, &lock_path);
    let file = File::create(&lock_path).map_err(&write)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(FolderError::InUse {
            path: path.to_owned(),
        }),
        Err(TryLockError::Error(cause)) => Err(write(cause)),
    }
}

/// Checks that no entry is missing between the snapshot and the log.
fn check_contiguous(path: &Path, base: Position, snapshot: &Snapshot) -> Result<(), FolderError> {
    if base.index <= snapshot.position.index {
        return Ok(());
    }
    let what = "entries between the snapshot and the start of the log are missing";
    Err(FolderError::damaged(
        path.join(log_file::FILE_NAME),
        0,
        what,
    ))
}

/// Returns whether a log contains the entry at a position, or has it as its base.
fn contains_position(base: Position, entries: &[crate::Entry], position: Position) -> bool {
    base == position || entries.iter().any(|entry| entry.position == position)
}

/// Returns a random identity for a new disk.
#[must_use]
pub fn new_disk_id() -> DiskId {
    DiskId::new(rand::random())
}
