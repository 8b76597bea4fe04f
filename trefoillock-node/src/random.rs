//! Random numbers for calls; policy code takes them as arguments.

/// A uniformly distributed random number.
#[must_use]
pub fn random_u32() -> u32 {
    rand::random()
}
