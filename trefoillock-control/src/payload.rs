//! Updates in encoded form, so that a relay forwards the bytes that it received without encoding
//! them again.

use std::{fmt, sync::Arc};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{DeserializeOwned, Visitor},
};
use trefoillock_core::{Config, ConfigDelta, Members, data};
use trefoillock_store::encoding;

use crate::MembersDelta;

/// An update of the configuration.
#[data]
pub enum ConfigUpdate {
    /// The complete configuration.
    Snapshot(Config),
    /// The delta to an older version.
    Delta(ConfigDelta),
}

/// An update of the member list.
#[data]
pub enum MembersUpdate {
    /// The complete list.
    Snapshot(Members),
    /// The delta to an older version.
    Delta(MembersDelta),
}

/// An encoded update, whose bytes are shared by all children that it is sent to.
#[derive(Clone, PartialEq, Eq)]
pub struct Payload(Arc<[u8]>);

impl Payload {
    /// Encodes an update.
    ///
    /// A value that cannot be encoded results in an empty payload, which no receiver can decode.
    #[must_use]
    pub fn encode<T: Serialize>(update: &T) -> Self {
        Self(encoding::encode(update).unwrap_or_default().into())
    }

    /// Decodes the update, or returns `None` if the bytes are not a valid `T`.
    #[must_use]
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        encoding::decode(&self.0).ok()
    }

    /// Returns the number of encoded bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the payload is empty, as after a failed encoding.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Payload({} bytes)", self.0.len())
    }
}

impl Serialize for Payload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = Payload;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<Payload, E> {
        Ok(Payload(bytes.into()))
    }

    fn visit_byte_buf<E: serde::de::Error>(self, bytes: Vec<u8>) -> Result<Payload, E> {
        Ok(Payload(bytes.into()))
    }

    fn visit_unit<E: serde::de::Error>(self) -> Result<Payload, E> {
        Err(E::custom("bytes are missing"))
    }
}
