//! The folder with everything that a replica must not lose.

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
    DiskId, FolderError, HardState, Membership, Position, Recovered, Sender, Snapshot, Storage,
    Write, write_patiently,
};

/// The name of the file with the term and the vote.
const HARD_STATE_FILE: &str = "hard-state";
/// The name of the file with the snapshot.
const SNAPSHOT_FILE: &str = "snapshot";
/// The name of the file that is locked while a process uses the folder.
const LOCK_FILE: &str = "lock";

/// The time between two tries to write to a disk without room.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// The open data folder of a replica.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    log: LogFile,
    poisoned: bool,
    _lock: File,
}

impl DataFolder {
    /// Makes an empty folder the data folder of a voter of a new system.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is not empty or cannot be written.
    pub fn bootstrap(
        path: &Path,
        system: &str,
        identity: Sender,
        voters: Membership,
    ) -> Result<(), FolderError> {
        let snapshot = Snapshot {
            members: voters,
            ..Snapshot::default()
        };
        Self::create(path, system, identity, &snapshot)
    }

    /// Makes an empty folder the data folder of a replica that joins a system.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is not empty or cannot be written.
    pub fn join(path: &Path, system: &str, identity: Sender) -> Result<(), FolderError> {
        Self::create(path, system, identity, &Snapshot::default())
    }

    /// The replica that a data folder belongs to, or `None` if it was never in use.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder's marker is damaged or of another system.
    pub fn owner(path: &Path, system: &str) -> Result<Option<ReplicaId>, FolderError> {
        let Some(marker) = Marker::read(path)? else {
            return Ok(None);
        };
        marker.check(path, system, marker.replica())?;
        Ok(Some(marker.replica()))
    }

    /// Removes the files of a data folder, the marker first, so that the folder can be made
    /// that of a new replica.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be removed.
    pub fn discard(path: &Path) -> Result<(), FolderError> {
        let remove = |file: &Path| match fs::remove_file(file) {
            Err(cause) if cause.kind() != std::io::ErrorKind::NotFound => {
                Err(durable::failed(Step::Write, file)(cause))
            }
            _ => Ok(()),
        };
        if !path.exists() {
            return Ok(());
        }
        remove(&path.join(marker::FILE_NAME))?;
        durable::sync_folder(path)?;
        let entries = fs::read_dir(path).map_err(durable::failed(Step::Read, path))?;
        for entry in entries {
            let entry = entry.map_err(durable::failed(Step::Read, path))?;
            remove(&entry.path())?;
        }
        durable::sync_folder(path)
    }

    /// Opens the data folder of a replica and reads what it holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is missing, foreign, damaged or in use.
    pub fn open(
        path: &Path,
        system: &str,
        replica: ReplicaId,
    ) -> Result<(Self, Recovered), FolderError> {
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
        check_base(path, base, &snapshot)?;
        // A crash after the snapshot was replaced leaves a log that may end before it.
        if !holds(base, &entries, snapshot.position) {
            (base, entries) = (snapshot.position, Vec::new());
            log = LogFile::create(path, disk, base, &entries)?;
        }
        let folder = Self {
            path: path.to_owned(),
            log,
            poisoned: false,
            _lock: lock,
        };
        let recovered = Recovered {
            identity: Sender { id: replica, disk },
            hard_state,
            snapshot,
            base,
            entries,
        };
        Ok((folder, recovered))
    }

    /// Carries writes out in order and syncs them.
    ///
    /// # Errors
    ///
    /// Returns an error if a write or sync fails. After that every further write is refused,
    /// because it is not known what the disk holds.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), FolderError> {
        if self.poisoned {
            return Err(FolderError::Poisoned);
        }
        self.poisoned = true;
        write_patiently(self, writes, || {
            thread::sleep(FULL_PAUSE);
            true
        })?;
        self.poisoned = false;
        Ok(())
    }

    fn create(
        path: &Path,
        system: &str,
        identity: Sender,
        snapshot: &Snapshot,
    ) -> Result<(), FolderError> {
        let read = durable::failed(Step::Read, path);
        fs::create_dir_all(path).map_err(durable::failed(Step::Write, path))?;
        if fs::read_dir(path).map_err(read)?.next().is_some() {
            return Err(FolderError::NotEmpty {
                path: path.to_owned(),
            });
        }
        let _lock = lock(path)?;
        state_file::write(&path.join(HARD_STATE_FILE), &HardState::default())?;
        state_file::write(&path.join(SNAPSHOT_FILE), snapshot)?;
        LogFile::create(path, identity.disk, Position::default(), &[])?;
        // The marker comes last: a folder without one was never in use.
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

    fn undo_partial(&mut self) -> Result<(), FolderError> {
        self.log.undo_partial()
    }

    fn sync(&mut self) -> Result<(), FolderError> {
        self.log.sync()
    }
}

/// Takes the folder's lock.
fn lock(path: &Path) -> Result<File, FolderError> {
    let path_of_lock = path.join(LOCK_FILE);
    let write = durable::failed(Step::Write, &path_of_lock);
    let file = File::create(&path_of_lock).map_err(&write)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(FolderError::InUse {
            path: path.to_owned(),
        }),
        Err(TryLockError::Error(cause)) => Err(write(cause)),
    }
}

/// Checks that no entry is missing between the snapshot and the log.
fn check_base(path: &Path, base: Position, snapshot: &Snapshot) -> Result<(), FolderError> {
    if base.index <= snapshot.position.index {
        return Ok(());
    }
    let what = "the log starts after the snapshot ends";
    Err(FolderError::damaged(
        path.join(log_file::FILE_NAME),
        0,
        what,
    ))
}

/// Whether a log holds the entry at a position.
fn holds(base: Position, entries: &[crate::Entry], position: Position) -> bool {
    base == position || entries.iter().any(|entry| entry.position == position)
}

/// Draws the identity of a new disk.
#[must_use]
pub fn new_disk_id() -> DiskId {
    DiskId::new(rand::random())
}
