//! Encoding of commands and snapshots: `MessagePack`, compressed if that makes it smaller.

use std::io::Read;

use serde::{Serialize, de::DeserializeOwned};

use crate::EncodingError;

/// First byte of a compressed value; `MessagePack` never uses it.
const COMPRESSED_MARKER: u8 = 0xc1;
/// Smallest encoded size, in bytes, that is compressed. Shorter values contain little repetition.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// Brotli quality, 0 to 11. Above 5 the time grows much faster than the compression ratio.
const BROTLI_QUALITY: u32 = 5;
/// Base-2 logarithm of the Brotli window in bytes. 1 MiB covers a document of several thousand
/// routes together with the tables parsed from it.
const BROTLI_WINDOW_BITS: u32 = 20;
/// Size of the compressor's and the decompressor's buffers in bytes.
const BUFFER_BYTES: usize = 4_096;
/// Deepest nesting of a value that is read. A deeper one could exceed the stack of a thread.
const MAX_DEPTH: usize = 128;
/// Largest decompressed size, in bytes, that is read; far above any configuration.
const MAX_DECOMPRESSED_BYTES: u64 = 256 << 20;

/// Encodes a value. Large values are compressed, since the text of a configuration and the tables
/// parsed from it repeat the same names.
///
/// # Errors
///
/// Returns an error if the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, EncodingError> {
    let plain = rmp_serde::to_vec_named(value).map_err(EncodingError::new)?;
    if plain.len() < MIN_COMPRESSED_BYTES {
        return Ok(plain);
    }
    let mut buf = vec![COMPRESSED_MARKER];
    brotli::CompressorReader::new(
        plain.as_slice(),
        BUFFER_BYTES,
        BROTLI_QUALITY,
        BROTLI_WINDOW_BITS,
    )
    .read_to_end(&mut buf)
    .map_err(EncodingError::new)?;
    Ok(if buf.len() < plain.len() { buf } else { plain })
}

/// Decodes a compressed or uncompressed value.
///
/// # Errors
///
/// Returns an error if the bytes are corrupt or of another type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, EncodingError> {
    let Some(compressed) = bytes.strip_prefix(&[COMPRESSED_MARKER]) else {
        return decode_plain(bytes);
    };
    let mut plain = Vec::new();
    brotli::Decompressor::new(compressed, BUFFER_BYTES)
        .take(MAX_DECOMPRESSED_BYTES)
        .read_to_end(&mut plain)
        .map_err(EncodingError::new)?;
    decode_plain(&plain)
}

fn decode_plain<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, EncodingError> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
    deserializer.set_max_depth(MAX_DEPTH);
    T::deserialize(&mut deserializer).map_err(EncodingError::new)
}
