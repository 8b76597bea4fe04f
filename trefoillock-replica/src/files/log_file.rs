//! The log file: a header and entries, each a checksummed record.
//!
//! A torn record at the end is cut off when the file is opened. Damage to a record that was synced
//! is an error.

use std::{
    fs::{File, OpenOptions},
    io::{Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

use trefoillock_core::{Step, data};

use super::{durable, record, state_file};
use crate::{DiskId, Entry, FolderError, Position};

/// The name of the log file.
pub(super) const FILE_NAME: &str = "log";

/// The first record of the file.
#[data]
struct LogHeader {
    disk: DiskId,
    base: Position,
    /// The size in bytes of the entries that the file was created with. They were synced before the
    /// file replaced the previous one, so none of them can be torn.
    entry_bytes: u64,
}

/// The content of a log file.
#[derive(Debug)]
pub(super) struct LogContent {
    pub(super) base: Position,
    pub(super) entries: Vec<Entry>,
}

/// The open log file. An appended entry replaces all entries from its index on.
#[derive(Debug)]
pub(super) struct LogFile {
    path: PathBuf,
    disk: DiskId,
    file: File,
    /// The length in bytes up to the last complete append.
    length: u64,
    /// The length in bytes that is synced.
    synced_length: u64,
}

impl LogFile {
    /// Replaces the file by one with the given base and entries.
    pub(super) fn create(
        folder: &Path,
        disk: DiskId,
        base: Position,
        entries: &[Entry],
    ) -> Result<Self, FolderError> {
        let path = folder.join(FILE_NAME);
        let mut tail = Vec::new();
        for entry in entries {
            tail.extend(state_file::encode_record(&path, 0, entry)?);
        }
        let header = LogHeader {
            disk,
            base,
            entry_bytes: tail.len() as u64,
        };
        let mut buf = state_file::encode_record(&path, 0, &header)?;
        buf.append(&mut tail);
        durable::replace(&path, &buf)?;
        Self::open_at_end(path, disk, buf.len() as u64)
    }

    /// Opens the file, checks each record and cuts off a torn tail.
    pub(super) fn open(folder: &Path, disk: DiskId) -> Result<(Self, LogContent), FolderError> {
        let path = folder.join(FILE_NAME);
        let missing = || FolderError::damaged(&path, 0, "the file is missing");
        let bytes = durable::read(&path)?.ok_or_else(missing)?;
        let (content, intact) = parse(&path, &bytes, disk)?;
        let file = Self::open_at_end(path, disk, intact as u64)?;
        if intact < bytes.len() {
            file.file
                .set_len(intact as u64)
                .and_then(|()| file.file.sync_all())
                .map_err(durable::io_error(Step::Sync, &file.path))?;
        }
        Ok((file, content))
    }

    /// Appends entries without syncing.
    pub(super) fn append(&mut self, entries: &[Entry]) -> Result<(), FolderError> {
        let mut buf = Vec::new();
        for entry in entries {
            buf.extend(state_file::encode_record(
                &self.path,
                self.synced_length,
                entry,
            )?);
        }
        let write = durable::io_error(Step::Write, &self.path);
        self.file.write_all(&buf).map_err(write)?;
        self.length += buf.len() as u64;
        Ok(())
    }

    /// Cuts off what a failed append may have left after the last complete one.
    pub(super) fn truncate_partial_append(&mut self) -> Result<(), FolderError> {
        let length = self.length;
        self.file
            .set_len(length)
            .and_then(|()| self.file.seek(SeekFrom::Start(length)))
            .map(drop)
            .map_err(durable::io_error(Step::Write, &self.path))
    }

    /// Cuts off all entries that are not synced.
    pub(super) fn truncate_unsynced(&mut self) -> Result<(), FolderError> {
        self.length = self.synced_length;
        self.truncate_partial_append()
    }

    /// Syncs all appended entries.
    pub(super) fn sync(&mut self) -> Result<(), FolderError> {
        if self.synced_length < self.length {
            let sync = durable::io_error(Step::Sync, &self.path);
            self.file.sync_data().map_err(sync)?;
            self.synced_length = self.length;
        }
        Ok(())
    }

    fn open_at_end(path: PathBuf, disk: DiskId, length: u64) -> Result<Self, FolderError> {
        let open = durable::io_error(Step::Read, &path);
        let mut file = OpenOptions::new().write(true).open(&path).map_err(&open)?;
        file.seek(SeekFrom::Start(length)).map_err(&open)?;
        Ok(Self {
            path,
            disk,
            file,
            length,
            synced_length: length,
        })
    }

    pub(super) const fn disk(&self) -> DiskId {
        self.disk
    }
}

/// Reads all intact records. Returns the content and the length of the intact part in bytes.
fn parse(path: &Path, bytes: &[u8], disk: DiskId) -> Result<(LogContent, usize), FolderError> {
    let damaged = |at: usize, what: &str| FolderError::damaged(path, at as u64, what);
    let first = record::decode(bytes).map_err(|error| damaged(0, &error.to_string()))?;
    let header: LogHeader =
        rmp_serde::from_slice(first.payload).map_err(|error| damaged(0, &error.to_string()))?;
    if header.disk != disk {
        return Err(damaged(0, "the log was written by another replica"));
    }
    let mut entries: Vec<Entry> = Vec::new();
    let mut at = first.length;
    let initial_length = first.length as u64 + header.entry_bytes;
    if (bytes.len() as u64) < initial_length {
        return Err(damaged(
            bytes.len(),
            "the file is shorter than when it was created",
        ));
    }
    while at < bytes.len() {
        let rest = bytes.get(at..).unwrap_or_default();
        let Ok(record) = record::decode(rest) else {
            if (at as u64) < initial_length || record::proves_synced(bytes, at) {
                return Err(damaged(at, "a record that was synced is corrupt"));
            }
            break;
        };
        let entry: Entry = rmp_serde::from_slice(record.payload)
            .map_err(|error| damaged(at, &error.to_string()))?;
        insert_entry(&mut entries, header.base, entry).map_err(|what| damaged(at, what))?;
        at += record.length;
    }
    let content = LogContent {
        base: header.base,
        entries,
    };
    Ok((content, at))
}

/// Adds an entry, replacing all entries from its index on.
fn insert_entry(
    entries: &mut Vec<Entry>,
    base: Position,
    entry: Entry,
) -> Result<(), &'static str> {
    let offset = entry.index().get().checked_sub(base.index.get() + 1);
    let offset = offset.and_then(|offset| usize::try_from(offset).ok());
    match offset {
        Some(offset) if offset <= entries.len() => {
            entries.truncate(offset);
            entries.push(entry);
            Ok(())
        }
        Some(_) => Err("an entry is missing"),
        None => Err("an entry lies before the start of the log"),
    }
}
