//! The file of the log: a head and entries, each a record.

use std::{
    fs::{File, OpenOptions},
    io::{Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

use trefoillock_core::{Step, data};

use super::{durable, record, state_file};
use crate::{DiskId, Entry, FolderError, Position};

/// The name of the log's file.
pub(super) const FILE_NAME: &str = "log";

/// The first record of the file.
#[data]
struct Head {
    disk: DiskId,
    base: Position,
    /// The size in bytes of the entries that the file was made with, which were synced with it.
    entry_bytes: u64,
}

/// What a log's file holds.
#[derive(Debug)]
pub(super) struct LogContent {
    pub(super) base: Position,
    pub(super) entries: Vec<Entry>,
}

/// The open file of the log. An entry replaces all earlier ones from its index on.
#[derive(Debug)]
pub(super) struct LogFile {
    path: PathBuf,
    disk: DiskId,
    file: File,
    length: u64,
    synced: u64,
}

impl LogFile {
    /// Replaces the file by one with a base and entries.
    pub(super) fn create(
        folder: &Path,
        disk: DiskId,
        base: Position,
        entries: &[Entry],
    ) -> Result<Self, FolderError> {
        let path = folder.join(FILE_NAME);
        let mut tail = Vec::new();
        for entry in entries {
            tail.extend(state_file::encoded(&path, 0, entry)?);
        }
        let head = Head {
            disk,
            base,
            entry_bytes: tail.len() as u64,
        };
        let mut buf = state_file::encoded(&path, 0, &head)?;
        buf.append(&mut tail);
        durable::replace(&path, &buf)?;
        Self::at_end(path, disk, buf.len() as u64)
    }

    /// Opens the file, checks each record and cuts a torn tail.
    pub(super) fn open(folder: &Path, disk: DiskId) -> Result<(Self, LogContent), FolderError> {
        let path = folder.join(FILE_NAME);
        let missing = || FolderError::damaged(&path, 0, "the file is missing");
        let bytes = durable::read(&path)?.ok_or_else(missing)?;
        let (content, intact) = parse(&path, &bytes, disk)?;
        let file = Self::at_end(path, disk, intact as u64)?;
        if intact < bytes.len() {
            file.file
                .set_len(intact as u64)
                .and_then(|()| file.file.sync_all())
                .map_err(durable::failed(Step::Sync, &file.path))?;
        }
        Ok((file, content))
    }

    /// Appends entries without syncing.
    pub(super) fn append(&mut self, entries: &[Entry]) -> Result<(), FolderError> {
        let mut buf = Vec::new();
        for entry in entries {
            buf.extend(state_file::encoded(&self.path, self.synced, entry)?);
        }
        let write = durable::failed(Step::Write, &self.path);
        self.file.write_all(&buf).map_err(write)?;
        self.length += buf.len() as u64;
        Ok(())
    }

    /// Takes back what a failed append may have left behind the last whole one.
    pub(super) fn undo_partial(&mut self) -> Result<(), FolderError> {
        let length = self.length;
        self.file
            .set_len(length)
            .and_then(|()| self.file.seek(SeekFrom::Start(length)))
            .map(drop)
            .map_err(durable::failed(Step::Write, &self.path))
    }

    /// Makes all appended entries last.
    pub(super) fn sync(&mut self) -> Result<(), FolderError> {
        if self.synced < self.length {
            let sync = durable::failed(Step::Sync, &self.path);
            self.file.sync_data().map_err(sync)?;
            self.synced = self.length;
        }
        Ok(())
    }

    fn at_end(path: PathBuf, disk: DiskId, length: u64) -> Result<Self, FolderError> {
        let open = durable::failed(Step::Read, &path);
        let mut file = OpenOptions::new().write(true).open(&path).map_err(&open)?;
        file.seek(SeekFrom::Start(length)).map_err(&open)?;
        Ok(Self {
            path,
            disk,
            file,
            length,
            synced: length,
        })
    }

    pub(super) const fn disk(&self) -> DiskId {
        self.disk
    }
}

/// Reads all intact records. Returns the content and the length of the intact part.
fn parse(path: &Path, bytes: &[u8], disk: DiskId) -> Result<(LogContent, usize), FolderError> {
    let damaged = |at: usize, what: &str| FolderError::damaged(path, at as u64, what);
    let first = record::decode(bytes).map_err(|error| damaged(0, &error.to_string()))?;
    let head: Head =
        rmp_serde::from_slice(first.payload).map_err(|error| damaged(0, &error.to_string()))?;
    if head.disk != disk {
        return Err(damaged(0, "the log was written by another replica"));
    }
    let mut entries: Vec<Entry> = Vec::new();
    let mut at = first.length;
    let made_with = first.length as u64 + head.entry_bytes;
    if (bytes.len() as u64) < made_with {
        return Err(damaged(bytes.len(), "the file is shorter than it was made"));
    }
    while at < bytes.len() {
        let rest = bytes.get(at..).unwrap_or_default();
        let Ok(record) = record::decode(rest) else {
            if (at as u64) < made_with || record::proves_synced(bytes, at) {
                return Err(damaged(at, "a record that was synced is broken"));
            }
            break;
        };
        let entry: Entry = rmp_serde::from_slice(record.payload)
            .map_err(|error| damaged(at, &error.to_string()))?;
        add(&mut entries, head.base, entry).map_err(|what| damaged(at, what))?;
        at += record.length;
    }
    let content = LogContent {
        base: head.base,
        entries,
    };
    Ok((content, at))
}

/// Adds an entry in place of all from its index on.
fn add(entries: &mut Vec<Entry>, base: Position, entry: Entry) -> Result<(), &'static str> {
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
