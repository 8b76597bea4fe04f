//! Replacements of the tables by a document that an operator numbers.

use trefoillock_core::{ConfigVersion, Tables, Timestamp, data};
use xxhash_rust::xxh3::xxh3_128;

/// A configuration as an operator wrote it.
#[data]
pub struct Document {
    /// The number that the operator gave it; a later one has a higher number.
    pub revision: u64,
    /// The number of the document that it was made from; zero for the first one.
    pub base: u64,
    /// The text, as it came.
    pub text: String,
}

impl Document {
    /// A hash of all parts.
    pub(crate) fn content(&self) -> u128 {
        xxh3_128(&rmp_serde::to_vec(self).unwrap_or_default())
    }
}

/// A document with the tables that were read from it.
#[data]
pub struct Replacement {
    /// The document.
    pub document: Document,
    /// The tables.
    pub tables: Tables,
    /// The time of receipt.
    pub at: Timestamp,
}

/// What became of a replacement.
#[data(key)]
pub enum ReplaceAnswer {
    /// It was accepted, now or when it was sent before.
    Accepted(ConfigVersion),
    /// Another document than its base is in place.
    Conflict {
        /// The number of the document in place.
        current: u64,
    },
    /// Its number is not above that of the document in place.
    NotNewer {
        /// The number of the document in place.
        current: u64,
    },
}
