//! The content of answers. It is derived from the request's target, so that a caller can check
//! that an answer belongs to its request.

use std::hash::{BuildHasher, Hasher};

/// The header with the identity of a request, the same each time it is sent.
pub const REQUEST_ID: &str = "x-request-id";

/// The response header with the identity of the request that was answered.
pub const ANSWER_FOR: &str = "x-answer-for";

/// The seed of the content for a request target.
#[must_use]
pub fn content_seed(target: &str) -> u64 {
    let mut hasher = trefoillock_core::Set::<()>::default()
        .hasher()
        .build_hasher();
    hasher.write(target.as_bytes());
    hasher.finish()
}

/// The content byte at an offset.
#[must_use]
pub const fn content_byte(seed: u64, offset: u64) -> u8 {
    let mixed = (seed ^ offset).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 56) as u8
}
