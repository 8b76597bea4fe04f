//! The content of answers, which tells to which request it belongs.

use std::hash::{BuildHasher, Hasher};

/// The header that identifies a request over all its sends.
pub const REQUEST_ID: &str = "x-request-id";

/// The header that names the request that an answer belongs to.
pub const ANSWER_FOR: &str = "x-answer-for";

/// The seed of the content at a path.
#[must_use]
pub fn content_seed(path: &str) -> u64 {
    let mut hasher = trefoillock_core::Set::<()>::default()
        .hasher()
        .build_hasher();
    hasher.write(path.as_bytes());
    hasher.finish()
}

/// The byte of the content at an offset.
#[must_use]
pub const fn content_byte(seed: u64, offset: u64) -> u8 {
    let mixed = (seed ^ offset).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 56) as u8
}
