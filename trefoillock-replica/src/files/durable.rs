//! File operations that last once they return.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

use trefoillock_core::Step;

use crate::FolderError;

/// The ending of files that are being written.
const TEMPORARY: &str = "tmp";

/// Reads a whole file, or `None` if there is none.
pub(super) fn read(path: &Path) -> Result<Option<Vec<u8>>, FolderError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(cause) => Err(failed(Step::Read, path)(cause)),
    }
}

/// Replaces a file as a whole: write, sync, rename, sync of the folder.
pub(super) fn replace(path: &Path, bytes: &[u8]) -> Result<(), FolderError> {
    let temporary = path.with_extension(TEMPORARY);
    let write = failed(Step::Write, &temporary);
    let mut file = File::create(&temporary).map_err(&write)?;
    file.write_all(bytes).map_err(&write)?;
    file.sync_all().map_err(failed(Step::Sync, &temporary))?;
    fs::rename(&temporary, path).map_err(failed(Step::Write, path))?;
    sync_folder(path.parent().unwrap_or(Path::new(".")))
}

/// Syncs the names in a folder.
pub(super) fn sync_folder(path: &Path) -> Result<(), FolderError> {
    let here = path.as_os_str().is_empty();
    let path = if here { Path::new(".") } else { path };
    let sync = failed(Step::Sync, path);
    File::open(path)
        .and_then(|folder| folder.sync_all())
        .map_err(sync)
}

/// Names the step and the file of an I/O error.
pub(super) fn failed(step: Step, path: &Path) -> impl Fn(io::Error) -> FolderError + use<> {
    let path = PathBuf::from(path);
    move |cause| FolderError::Io {
        step,
        path: path.clone(),
        cause,
    }
}
