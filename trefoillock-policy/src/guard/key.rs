//! Idempotency key hashes, claim identifiers, and the creation time embedded in `UUIDv7` keys.

use std::time::Duration;

use trefoillock_core::{GuardSlot, Timestamp, data};

/// The time for which a key is remembered after its last use.
pub const KEY_WINDOW: Duration = Duration::from_mins(10);

/// The maximum difference between the clocks of nodes, leader and callers.
pub const CLOCK_SKEW_MARGIN: Duration = Duration::from_secs(30);

/// The positions of the hyphens in a UUID.
const UUID_HYPHENS: [usize; 4] = [8, 13, 18, 23];
/// The length of a UUID in text form, in bytes.
const UUID_BYTES: usize = 36;

/// The hash of an idempotency key and of the scope in which the key is unique.
///
/// The scope must not depend on the pool, because the pool changes when a route is moved.
#[data(key)]
pub struct KeyHash {
    /// The upper 64 bits, which determine the slot.
    pub high: u64,
    /// The lower 64 bits.
    pub low: u64,
}

impl KeyHash {
    /// Creates a hash from its 128 bits.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the hash is split into halves"
    )]
    pub const fn new(hash: u128) -> Self {
        Self {
            high: (hash >> 64) as u64,
            low: hash as u64,
        }
    }

    /// The guard slot of the key.
    #[must_use]
    pub const fn slot(self) -> GuardSlot {
        GuardSlot::from_hash(self.high)
    }
}

/// The identifier of a claim. When a caller sends a request again, that is a new claim.
#[data(key)]
pub struct ClaimId {
    /// A number that the claiming process drew at random when it started.
    pub process: u64,
    /// The number of the claim within the process.
    pub sequence: u64,
}

impl ClaimId {
    /// Creates an identifier from the number of the process and the number of the claim within it.
    #[must_use]
    pub const fn new(process: u64, sequence: u64) -> Self {
        Self { process, sequence }
    }
}

/// Returns the time embedded in an idempotency key if the key is a `UUIDv7`. Quotes around the key
/// are ignored.
#[must_use]
pub fn uuid_v7_time(key: &str) -> Option<Timestamp> {
    let key = key.trim_matches('"');
    let is_uuid_byte = |(index, byte): (usize, u8)| {
        if UUID_HYPHENS.contains(&index) {
            byte == b'-'
        } else {
            byte.is_ascii_hexdigit()
        }
    };
    let is_uuid = key.len() == UUID_BYTES && key.bytes().enumerate().all(is_uuid_byte);
    if !is_uuid {
        return None;
    }
    let digits: String = key.chars().filter(|c| *c != '-').collect();
    let number = u128::from_str_radix(&digits, 16).ok()?;
    let version = (number >> 76) & 0xf;
    let variant = (number >> 62) & 0b11;
    if version != 7 || variant != 0b10 {
        return None;
    }
    let millis = u64::try_from(number >> 80).ok()?;
    Some(Timestamp::from_millis(millis))
}
