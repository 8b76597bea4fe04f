//! File operations that are durable once they return.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

use trefoillock_core::Step;

use crate::FolderError;

/// The extension of files that are being written.
const TEMPORARY_EXTENSION: &str = "tmp";

/// Reads a whole file. Returns `None` if it does not exist.
pub(super) fn read(path: &Path) -> Result<Option<Vec<u8>>, FolderError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(cause) => Err(io_error(Step::Read, path)(cause)),
    }
}

/// Replaces a file atomically: writes a temporary file, syncs it, renames it and syncs the folder.
pub(super) fn replace(path: &Path, bytes: &[u8]) -> Result<(), FolderError> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    let write = io_error(Step::Write, &temporary);
    let mut file = File::create(&temporary).map_err(&write)?;
    file.write_all(bytes).map_err(&write)?;
    file.sync_all().map_err(io_error(Step::Sync, &temporary))?;
    fs::rename(&temporary, path).map_err(io_error(Step::Write, path))?;
    sync_folder(path.parent().unwrap_or(Path::new(".")))
}

/// Syncs the entries of a folder, so that created, renamed and removed files are durable.
pub(super) fn sync_folder(path: &Path) -> Result<(), FolderError> {
    let is_current = path.as_os_str().is_empty();
    let path = if is_current { Path::new(".") } else { path };
    let sync = io_error(Step::Sync, path);
    File::open(path)
        .and_then(|folder| folder.sync_all())
        .map_err(sync)
}

/// Returns a function that adds a step and a path to an I/O error.
pub(super) fn io_error(step: Step, path: &Path) -> impl Fn(io::Error) -> FolderError + use<> {
    let path = PathBuf::from(path);
    move |cause| FolderError::Io {
        step,
        path: path.clone(),
        cause,
    }
}
