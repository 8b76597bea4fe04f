//! The bucket of tokens that a guard keeps for one workspace.

use std::time::Duration;

use trefoillock_core::Timestamp;

use super::part::{PARTS_PER_TOKEN, QuotaPart};

/// The part of the capacity that is kept for calls that wait for a token, as a divisor.
const RESERVE_DIVISOR: u128 = 2;
/// The part of the capacity, as a dividend and a divisor, that a flood gets at once.
const FLOOD_PART: (u128, u128) = (3, 4);
/// The longest wait that a bucket states.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// A token bucket that begins empty.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    part: QuotaPart,
    level: u128,
    updated: Timestamp,
}

impl TokenBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn new(now: Timestamp, part: QuotaPart) -> Self {
        Self {
            part,
            level: 0,
            updated: now,
        }
    }

    /// Changes the rate and the capacity from `now` on. Tokens beyond the capacity are dropped.
    pub fn set_part(&mut self, now: Timestamp, part: QuotaPart) {
        self.refill(now);
        self.part = part;
        self.level = self.level.min(part.capacity);
    }

    /// Takes up to `need` tokens, and up to `ahead` more. Returns the number taken.
    ///
    /// The tokens ahead of need leave the bucket half full, so that unused ones never cause a
    /// refusal. Where calls far beyond the quota arrive, all tokens are used anyway: then they are
    /// granted in large parts only, because single ones would cost a message each.
    pub fn take(&mut self, now: Timestamp, need: u32, ahead: u32, is_flooded: bool) -> u32 {
        self.refill(now);
        if is_flooded {
            let wanted = need.saturating_add(ahead);
            let is_enough = self.level >= self.flood_part(wanted);
            self.remove(if is_enough { wanted } else { 0 }, 0)
        } else {
            let needed = self.remove(need, 0);
            let ahead = if needed == need { ahead } else { 0 };
            needed + self.remove(ahead, self.part.capacity / RESERVE_DIVISOR)
        }
    }

    /// The content from which on a flood gets tokens.
    fn flood_part(&self, wanted: u32) -> u128 {
        let least = self.part.capacity * FLOOD_PART.0 / FLOOD_PART.1;
        least.min(u128::from(wanted) * PARTS_PER_TOKEN)
    }

    /// The time until the bucket has as many tokens as are wanted, or is full.
    #[must_use]
    pub fn wait(&self, now: Timestamp, wanted: u32) -> Duration {
        let elapsed = now.since(self.updated).as_micros();
        let level = self.level + u128::from(self.part.micros_per_s) * elapsed;
        let wanted = u128::from(wanted.max(1)) * PARTS_PER_TOKEN;
        let missing = wanted.min(self.part.capacity).saturating_sub(level);
        let micros = missing.div_ceil(u128::from(self.part.micros_per_s.max(1)));
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        Duration::from_micros(micros).min(MAX_WAIT)
    }

    /// The whole tokens in the bucket.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        u64::try_from(self.level / PARTS_PER_TOKEN).unwrap_or(u64::MAX)
    }

    fn remove(&mut self, wanted: u32, keep: u128) -> u32 {
        let available = self.level.saturating_sub(keep) / PARTS_PER_TOKEN;
        let taken = u32::try_from(available).unwrap_or(u32::MAX).min(wanted);
        self.level -= u128::from(taken) * PARTS_PER_TOKEN;
        taken
    }

    /// Adds what has flowed in since the last refill. A time before that changes nothing.
    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated).as_micros();
        let inflow = u128::from(self.part.micros_per_s) * elapsed;
        self.level = (self.level + inflow).min(self.part.capacity);
        self.updated = self.updated.max(now);
    }
}
