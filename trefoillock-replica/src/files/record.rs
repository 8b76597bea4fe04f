//! Checksummed records.
//!
//! A record is a magic number, the length of its body, a CRC-32 of length and body, and the body.
//! The body starts with the synced length of the file at the time of writing, by which a reader
//! distinguishes a torn tail from damage: if an intact record after a corrupt one shows that the
//! corrupt one was synced, the file is damaged.

use displaydoc::Display;

/// The magic number at the start of each record.
const MAGIC: [u8; 4] = *b"TLR1";
/// The size of the magic number, the length and the checksum, in bytes.
const HEADER_BYTES: usize = 12;
/// The size of the synced length at the start of each body, in bytes.
const SYNCED_LENGTH_BYTES: usize = 8;
/// The maximum size of a body in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024 * 1024;

/// A decoded record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record<'a> {
    /// The length in bytes up to which the file was synced when the record was written.
    pub synced_length: u64,
    /// The content of the record.
    pub payload: &'a [u8],
    /// The length of the whole record in bytes.
    pub length: usize,
}

/// The reason why a record cannot be decoded or encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RecordError {
    /// the record is truncated
    Truncated,
    /// the record is corrupt
    Corrupt,
}

impl std::error::Error for RecordError {}

/// Appends an encoded record to a buffer.
///
/// # Errors
///
/// Returns [`RecordError::Corrupt`] if the payload is too large for a record.
pub fn encode(buf: &mut Vec<u8>, synced_length: u64, payload: &[u8]) -> Result<(), RecordError> {
    let body = SYNCED_LENGTH_BYTES + payload.len();
    let length = u32::try_from(body).map_err(|_| RecordError::Corrupt)?;
    if body > MAX_BODY_BYTES {
        return Err(RecordError::Corrupt);
    }
    let synced_length = synced_length.to_le_bytes();
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(&checksum(length, &synced_length, payload).to_le_bytes());
    buf.extend_from_slice(&synced_length);
    buf.extend_from_slice(payload);
    Ok(())
}

/// Decodes the record at the start of a buffer.
///
/// # Errors
///
/// Returns an error if the record is truncated or corrupt.
pub fn decode(buf: &[u8]) -> Result<Record<'_>, RecordError> {
    let (magic, rest) = split_array::<4>(buf)?;
    if magic != MAGIC {
        return Err(RecordError::Corrupt);
    }
    let (length, rest) = split_array::<4>(rest)?;
    let (crc, rest) = split_array::<4>(rest)?;
    let length = u32::from_le_bytes(length);
    let body_bytes = usize::try_from(length).map_err(|_| RecordError::Corrupt)?;
    if !(SYNCED_LENGTH_BYTES..=MAX_BODY_BYTES).contains(&body_bytes) {
        return Err(RecordError::Corrupt);
    }
    let body = rest.get(..body_bytes).ok_or(RecordError::Truncated)?;
    let (synced_length, payload) = split_array::<SYNCED_LENGTH_BYTES>(body)?;
    if checksum(length, &synced_length, payload) != u32::from_le_bytes(crc) {
        return Err(RecordError::Corrupt);
    }
    Ok(Record {
        synced_length: u64::from_le_bytes(synced_length),
        payload,
        length: HEADER_BYTES + body_bytes,
    })
}

/// Returns whether an intact record after `offset` proves that the bytes at `offset` were synced.
#[must_use]
pub fn proves_synced(file: &[u8], offset: usize) -> bool {
    let starts = offset + 1..file.len();
    starts
        .filter_map(|at| decode(file.get(at..)?).ok())
        .any(|record| record.synced_length > offset as u64)
}

fn checksum(length: u32, synced_length: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(synced_length);
    hasher.update(payload);
    hasher.finalize()
}

fn split_array<const N: usize>(buf: &[u8]) -> Result<([u8; N], &[u8]), RecordError> {
    let (head, rest) = buf.split_first_chunk::<N>().ok_or(RecordError::Truncated)?;
    Ok((*head, rest))
}
