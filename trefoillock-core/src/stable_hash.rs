//! Hashes that all processes compute alike.

use xxhash_rust::xxh3::Xxh3Default;

/// A hash of 128 bits over parts of bytes. It is the same in every process and every release.
///
/// The length of each part counts, so parts cannot run into each other.
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
    fn parts_do_not_run_into_each_other() {
        let left: [&[u8]; 2] = [b"ab", b"c"];
        let right: [&[u8]; 2] = [b"a", b"bc"];
        assert_ne!(stable_hash(left), stable_hash(right));
        assert_eq!(stable_hash(left), stable_hash(left));
    }
}
