//! Checksummed records.
//!
//! A record is a magic number, the length of its body, a CRC-32, and the body. The CRC covers
//! the length and the body. The body starts with the file's synced length at the time of
//! writing, so that a reader can tell a torn tail from damage: if an intact record behind a
//! broken one says that the broken one was synced, the file is damaged.

use displaydoc::Display;

/// The first bytes of each record.
const MAGIC: [u8; 4] = *b"TLR1";
/// The size of the magic number, the length and the checksum, in bytes.
const HEADER_BYTES: usize = 12;
/// The size of the synced length at the start of each body, in bytes.
const SYNCED_BYTES: usize = 8;
/// The largest body in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024 * 1024;

/// A record as it lies in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record<'a> {
    /// The length of the file up to which it was synced when the record was written.
    pub synced: u64,
    /// The content.
    pub payload: &'a [u8],
    /// The length of the whole record in bytes.
    pub length: usize,
}

/// The reason why no record could be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RecordError {
    /// the record is cut
    Cut,
    /// the record is broken
    Broken,
}

impl std::error::Error for RecordError {}

/// Appends a record to a buffer.
///
/// # Errors
///
/// Returns [`RecordError::Broken`] if the payload is too large for a record.
pub fn encode(buf: &mut Vec<u8>, synced: u64, payload: &[u8]) -> Result<(), RecordError> {
    let body = SYNCED_BYTES + payload.len();
    let length = u32::try_from(body).map_err(|_| RecordError::Broken)?;
    if body > MAX_BODY_BYTES {
        return Err(RecordError::Broken);
    }
    let synced = synced.to_le_bytes();
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(&checksum(length, &synced, payload).to_le_bytes());
    buf.extend_from_slice(&synced);
    buf.extend_from_slice(payload);
    Ok(())
}

/// Reads the record at the start of a buffer.
///
/// # Errors
///
/// Returns whether the record ends before it is complete or is broken.
pub fn decode(buf: &[u8]) -> Result<Record<'_>, RecordError> {
    let (magic, rest) = take::<4>(buf)?;
    if magic != MAGIC {
        return Err(RecordError::Broken);
    }
    let (length, rest) = take::<4>(rest)?;
    let (crc, rest) = take::<4>(rest)?;
    let length = u32::from_le_bytes(length);
    let body_bytes = usize::try_from(length).map_err(|_| RecordError::Broken)?;
    if !(SYNCED_BYTES..=MAX_BODY_BYTES).contains(&body_bytes) {
        return Err(RecordError::Broken);
    }
    let body = rest.get(..body_bytes).ok_or(RecordError::Cut)?;
    let (synced, payload) = take::<SYNCED_BYTES>(body)?;
    if checksum(length, &synced, payload) != u32::from_le_bytes(crc) {
        return Err(RecordError::Broken);
    }
    Ok(Record {
        synced: u64::from_le_bytes(synced),
        payload,
        length: HEADER_BYTES + body_bytes,
    })
}

/// Whether an intact record from `offset` on proves that the bytes at `offset` were synced.
#[must_use]
pub fn proves_synced(file: &[u8], offset: usize) -> bool {
    let starts = offset + 1..file.len();
    starts
        .filter_map(|at| decode(file.get(at..)?).ok())
        .any(|record| record.synced > offset as u64)
}

fn checksum(length: u32, synced: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(synced);
    hasher.update(payload);
    hasher.finalize()
}

fn take<const N: usize>(buf: &[u8]) -> Result<([u8; N], &[u8]), RecordError> {
    let (head, rest) = buf.split_first_chunk::<N>().ok_or(RecordError::Cut)?;
    Ok((*head, rest))
}
