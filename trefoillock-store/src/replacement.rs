//! Replacement of the tables by a document that carries an operator's revision number.

use std::fmt;

use serde::{Deserialize, Serialize};
use trefoillock_core::{ConfigVersion, Tables, Timestamp, data};
use xxhash_rust::xxh3::xxh3_128;

/// A configuration document as the operator wrote it. `Debug` does not show the text, which may have keys.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Revision number given by the operator. Later documents have higher numbers.
    pub revision: u64,
    /// Revision number of the document that this one was derived from; zero for the first.
    pub base: u64,
    /// The text as received.
    pub text: String,
}

impl ConfigDocument {
    /// Hash of all fields, by which a resend of the document is recognized.
    pub(crate) fn content_hash(&self) -> u128 {
        xxh3_128(&rmp_serde::to_vec(self).unwrap_or_default())
    }
}

impl fmt::Debug for ConfigDocument {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConfigDocument")
            .field("revision", &self.revision)
            .field("base", &self.base)
            .field("bytes", &self.text.len())
            .finish()
    }
}

/// A document together with the tables parsed from it.
#[data]
pub struct TablesReplacement {
    /// The document as received.
    pub document: ConfigDocument,
    /// The tables parsed from the document.
    pub tables: Tables,
    /// When the document was received.
    pub at: Timestamp,
}

/// Result of a replacement.
#[data(key)]
pub enum ReplaceAnswer {
    /// The document is accepted, now or by an earlier send; holds the resulting version of the
    /// configuration.
    Accepted(ConfigVersion),
    /// The base of the document is not the current revision.
    Conflict {
        /// The current revision.
        current: u64,
    },
    /// The revision of the document is not above the current one.
    NotNewer {
        /// The current revision.
        current: u64,
    },
}
