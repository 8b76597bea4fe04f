//! The encoding of commands and snapshots: `MessagePack`, compressed where that pays.

use std::io::Read;

use serde::{Serialize, de::DeserializeOwned};

use crate::EncodingError;

/// The first byte of a compressed value; `MessagePack` never uses it.
const COMPRESSED: u8 = 0xc1;
/// The size in bytes from which a value is compressed; shorter ones hold little that repeats.
const COMPRESS_FROM: usize = 1_024;
/// The compressor's effort, of 0 to 11; above 5 the time grows much faster than the gain.
const QUALITY: u32 = 5;
/// The base-2 logarithm of the compressor's window in bytes: 1 MiB spans a document of several
/// thousand routes together with the tables made from it.
const WINDOW_BITS: u32 = 20;
/// The size in bytes of the compressor's buffers.
const BUFFER_SIZE: usize = 4_096;
/// The largest decompressed size in bytes that is accepted; far above any configuration.
const MAX_SIZE: u64 = 256 << 20;

/// Encodes a value. Large values are compressed, since the text of a configuration and the tables
/// made from it name the same things.
///
/// # Errors
///
/// Returns an error if the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, EncodingError> {
    let plain = rmp_serde::to_vec_named(value).map_err(EncodingError::new)?;
    if plain.len() < COMPRESS_FROM {
        return Ok(plain);
    }
    let mut buf = vec![COMPRESSED];
    brotli::CompressorReader::new(plain.as_slice(), BUFFER_SIZE, QUALITY, WINDOW_BITS)
        .read_to_end(&mut buf)
        .map_err(EncodingError::new)?;
    Ok(if buf.len() < plain.len() { buf } else { plain })
}

/// Decodes a value, whether it is compressed or not.
///
/// # Errors
///
/// Returns an error if the bytes are damaged or of another type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, EncodingError> {
    let Some(compressed) = bytes.strip_prefix(&[COMPRESSED]) else {
        return rmp_serde::from_slice(bytes).map_err(EncodingError::new);
    };
    let mut plain = Vec::new();
    brotli::Decompressor::new(compressed, BUFFER_SIZE)
        .take(MAX_SIZE)
        .read_to_end(&mut plain)
        .map_err(EncodingError::new)?;
    rmp_serde::from_slice(&plain).map_err(EncodingError::new)
}
