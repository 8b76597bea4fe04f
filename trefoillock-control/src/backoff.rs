//! Delays between attempts to attach to a parent.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The upper bound of the first delay.
const INITIAL_BOUND: Duration = Duration::from_millis(200);
/// The largest upper bound that a delay reaches by doubling.
const MAX_BOUND: Duration = Duration::from_millis(1_600);

/// Exponential backoff with full jitter: each delay is drawn uniformly between zero and a bound
/// that doubles once each peer was tried.
#[derive(Debug, Default)]
pub struct Backoff {
    attempts: u32,
}

impl Backoff {
    /// Returns the next delay and counts an attempt. `peers` is the number of peers that are tried in
    /// turn.
    pub fn next_delay(&mut self, peers: usize, rng: &mut Pcg64Mcg) -> Duration {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX).max(1);
        let bound = INITIAL_BOUND
            .saturating_mul(1 << (self.attempts / peers).min(8))
            .min(MAX_BOUND);
        self.attempts = self.attempts.saturating_add(1);
        let micros = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(rng.random_range(0..=micros))
    }

    /// Returns the number of attempts since the last success.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Resets the delay after a successful attempt.
    pub const fn reset(&mut self) {
        self.attempts = 0;
    }
}
