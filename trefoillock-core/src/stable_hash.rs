//! A hash function with the same result in every process.

use xxhash_rust::xxh3::Xxh3Default;

/// Computes a 128-bit hash of byte strings. It is the same in every process and every release.
///
/// The length of each part is hashed too, so moving bytes between adjacent parts changes the
/// hash.
#[must_use]
pub fn stable_hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u128 {
    let mut hasher = Xxh3Default::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hash_depends_on_part_boundaries() {
        let left: [&[u8]; 2] = [b"ab", b"c"];
        let right: [&[u8]; 2] = [b"a", b"bc"];
        assert_ne!(stable_hash(left), stable_hash(right));
        assert_eq!(stable_hash(left), stable_hash(left));
    }
}
