//! Updates in encoded form, so that a relay passes on the bytes that it received.

use std::{fmt, sync::Arc};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{DeserializeOwned, Visitor},
};
use trefoillock_core::{Config, ConfigDelta, Members, data};
use trefoillock_store::encoding;

use crate::MembersDelta;

/// A change of the configuration.
#[data]
pub enum ConfigUpdate {
    /// The whole configuration.
    Snapshot(Config),
    /// The difference to an older one.
    Delta(ConfigDelta),
}

/// A change of the list of members.
#[data]
pub enum MembersUpdate {
    /// The whole list.
    Snapshot(Members),
    /// The difference to an older one.
    Delta(MembersDelta),
}

/// An encoded update, shared by all children that it is sent to.
#[derive(Clone, PartialEq, Eq)]
pub struct Payload(Arc<[u8]>);

impl Payload {
    /// Encodes an update. A value that cannot be encoded gives an empty payload, which no
    /// receiver accepts.
    #[must_use]
    pub fn encode<T: Serialize>(update: &T) -> Self {
        Self(encoding::encode(update).unwrap_or_default().into())
    }

    /// Decodes the update, or returns `None` if the bytes do not form one.
    #[must_use]
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        encoding::decode(&self.0).ok()
    }

    /// The number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no bytes.
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
