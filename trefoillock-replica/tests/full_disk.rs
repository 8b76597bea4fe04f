//! Writes wait while the disk is full; any other failure is returned immediately.

use std::{io, path::PathBuf};

use trefoillock_core::{Step, Term};
use trefoillock_replica::{FolderError, HardState, Storage, Write, write_retrying_when_full};

/// A disk that fails a given number of writes and records the other ones.
#[derive(Default)]
struct Disk {
    failures: Vec<io::ErrorKind>,
    written: Vec<Write>,
    has_partial: bool,
    is_synced: bool,
}

impl Storage for Disk {
    fn write_one(&mut self, write: &Write) -> Result<(), FolderError> {
        assert!(!self.has_partial, "part of a failed write is still there");
        if let Some(kind) = self.failures.pop() {
            self.has_partial = true;
            return Err(FolderError::Io {
                step: Step::Write,
                path: PathBuf::from("log"),
                cause: kind.into(),
            });
        }
        self.written.push(write.clone());
        Ok(())
    }

    fn discard_partial_write(&mut self) -> Result<(), FolderError> {
        self.has_partial = false;
        Ok(())
    }

    fn sync(&mut self) -> Result<(), FolderError> {
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
