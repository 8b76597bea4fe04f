//! The part of a quota that one guard keeps.

use trefoillock_core::{Quota, QuotaBound};

/// The millionths of a millionth of a token: the unit in which a bucket counts.
pub(super) const PARTS_PER_TOKEN: u128 = 1_000_000_000_000;
/// The units of a millionth of a token.
const PARTS_PER_MICRO: u128 = 1_000_000;

/// What one guard keeps of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaPart {
    /// The rate at which tokens flow in, in millionths of a token a second.
    pub(super) micros_per_s: u64,
    /// The largest content of the bucket, in parts of a token.
    pub(super) capacity: u128,
}

impl QuotaPart {
    /// No part: nothing flows in and nothing is kept.
    pub const NONE: Self = Self {
        micros_per_s: 0,
        capacity: 0,
    };

    /// The part of a quota that one of `guards` guards keeps.
    #[must_use]
    pub fn of(quota: &Quota, bound: &QuotaBound, guards: usize) -> Self {
        let guards = u64::try_from(guards).unwrap_or(u64::MAX).max(1);
        let capacity = u128::from(bound.capacity_micros(quota)) * PARTS_PER_MICRO;
        Self {
            micros_per_s: quota.rate.micros_per_s() / guards,
            capacity: capacity / u128::from(guards),
        }
    }
}
