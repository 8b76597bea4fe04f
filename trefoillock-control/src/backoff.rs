//! Waiting times between attempts.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The upper bound of the first waiting time.
const FIRST: Duration = Duration::from_millis(200);
/// The upper bound of every later waiting time.
const LIMIT: Duration = Duration::from_millis(1_600);

/// Exponential backoff with full jitter.
#[derive(Debug, Default)]
pub struct Backoff {
    attempts: u32,
}

impl Backoff {
    /// Returns the next waiting time, drawn evenly below a bound that doubles with each call.
    pub fn next(&mut self, rng: &mut Pcg64Mcg) -> Duration {
        let bound = FIRST.saturating_mul(1 << self.attempts.min(8)).min(LIMIT);
        self.attempts = self.attempts.saturating_add(1);
        let micros = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(rng.random_range(0..=micros))
    }

    /// The number of attempts since the last success.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Starts again after a success.
    pub const fn reset(&mut self) {
        self.attempts = 0;
    }
}
