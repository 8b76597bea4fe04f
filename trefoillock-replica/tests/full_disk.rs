//! Writes wait while the disk is full; any other failure is returned immediately.

use std::{io, path::PathBuf};

use trefoillock_core::{Step, Term};
use trefoillock_replica::{
    FolderError, HardState, Position, Snapshot, Storage, Write, write_retrying_when_full,
};

/// A disk that fails a given number of writes and syncs, and records the other ones.
#[derive(Default)]
struct Disk {
    failures: Vec<io::ErrorKind>,
    sync_failures: Vec<io::ErrorKind>,
    written: Vec<Write>,
    has_partial: bool,
    is_synced: bool,
}

fn error(step: Step, kind: io::ErrorKind) -> FolderError {
    FolderError::Io {
        step,
        path: PathBuf::from("log"),
        cause: kind.into(),
    }
}

impl Storage for Disk {
    fn write_one(&mut self, write: &Write) -> Result<(), FolderError> {
        assert!(!self.has_partial, "part of a failed write is still there");
        if let Some(kind) = self.failures.pop() {
            self.has_partial = true;
            return Err(error(Step::Write, kind));
        }
        self.written.push(write.clone());
        Ok(())
    }

    fn discard_partial_write(&mut self) -> Result<(), FolderError> {
        self.has_partial = false;
        Ok(())
    }

    fn discard_unsynced(&mut self) -> Result<(), FolderError> {
        self.has_partial = false;
        self.written.clear();
        Ok(())
    }

    fn sync(&mut self) -> Result<(), FolderError> {
        if let Some(kind) = self.sync_failures.pop() {
            // What was written is lost, whatever a read returns.
            self.has_partial = true;
            return Err(error(Step::Sync, kind));
        }
        self.is_synced = true;
        Ok(())
    }
}

fn writes() -> Vec<Write> {
    let state = |term| {
        Write::HardState(HardState {
            term: Term::new(term),
            ..HardState::default()
        })
    };
    vec![state(1), state(2), state(3)]
}

#[test]
fn writes_wait_while_the_disk_is_full_and_keep_their_order() {
    let full = io::ErrorKind::StorageFull;
    let mut disk = Disk {
        failures: vec![full, full, full],
        ..Disk::default()
    };
    let mut waits = 0;
    let result = write_retrying_when_full(&mut disk, &writes(), || {
        waits += 1;
        true
    });
    result.expect("room in the end");
    assert_eq!((waits, disk.is_synced), (3, true));
    assert_eq!(disk.written, writes());
}

#[test]
fn any_other_failure_is_final() {
    let mut disk = Disk {
        failures: vec![io::ErrorKind::Other],
        ..Disk::default()
    };
    let result = write_retrying_when_full(&mut disk, &writes(), || panic!("nothing to wait for"));
    assert!(result.is_err() && !disk.is_synced);
}

/// Guards against a replica that ends because its disk is found to be full only by the sync.
#[test]
fn a_sync_that_finds_the_disk_full_is_repeated_with_its_writes() {
    let full = io::ErrorKind::StorageFull;
    let mut disk = Disk {
        sync_failures: vec![full, full],
        ..Disk::default()
    };
    let mut waits = 0;
    let result = write_retrying_when_full(&mut disk, &writes(), || {
        waits += 1;
        true
    });
    result.expect("room in the end");
    assert_eq!((waits, disk.is_synced), (2, true));
    assert_eq!(disk.written, writes());
}

#[test]
fn any_other_failure_of_a_sync_is_final() {
    let mut disk = Disk {
        sync_failures: vec![io::ErrorKind::Other],
        ..Disk::default()
    };
    let result = write_retrying_when_full(&mut disk, &writes(), || panic!("nothing to wait for"));
    assert!(result.is_err() && !disk.is_synced);
}

/// Guards against entries that are written again although a snapshot has replaced the log they are in.
#[test]
fn entries_before_a_snapshot_are_not_repeated_after_it() {
    let snapshot = Write::Snapshot {
        snapshot: Snapshot::default().into(),
        base: Position::default(),
        entries: Vec::new(),
    };
    let (before, after) = (Write::Entries(Vec::new()), writes().remove(0));
    let mut disk = Disk {
        sync_failures: vec![io::ErrorKind::StorageFull],
        ..Disk::default()
    };
    let all = [before, snapshot, after.clone()];
    write_retrying_when_full(&mut disk, &all, || true).expect("room in the end");
    assert_eq!(disk.written, [after]);
}
