//! Files with a single record, which are replaced atomically.

use std::path::Path;

use serde::{Serialize, de::DeserializeOwned};
use trefoillock_core::Step;

use super::{durable, record};
use crate::FolderError;

/// Replaces a file by a record with a value.
pub(super) fn write<T: Serialize>(path: &Path, value: &T) -> Result<(), FolderError> {
    durable::replace(path, &encode_record(path, 0, value)?)
}

/// Reads the value from a file, which must exist.
pub(super) fn read<T: DeserializeOwned>(path: &Path) -> Result<T, FolderError> {
    let damaged = |what: &str| FolderError::damaged(path, 0, what);
    let bytes = durable::read(path)?.ok_or_else(|| damaged("the file is missing"))?;
    let record = record::decode(&bytes).map_err(|error| damaged(&error.to_string()))?;
    if record.length != bytes.len() {
        return Err(damaged("bytes follow the record"));
    }
    rmp_serde::from_slice(record.payload).map_err(|error| damaged(&error.to_string()))
}

/// Encodes a value as a record.
pub(super) fn encode_record<T: Serialize>(
    path: &Path,
    synced: u64,
    value: &T,
) -> Result<Vec<u8>, FolderError> {
    let mut buf = Vec::new();
    let invalid = |error: String| {
        let cause = std::io::Error::new(std::io::ErrorKind::InvalidData, error);
        durable::io_error(Step::Write, path)(cause)
    };
    let payload = rmp_serde::to_vec_named(value).map_err(|error| invalid(error.to_string()))?;
    record::encode(&mut buf, synced, &payload).map_err(|error| invalid(error.to_string()))?;
    Ok(buf)
}
