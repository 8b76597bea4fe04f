//! The bound on the calls of a workspace in a window.

use std::time::Duration;

use displaydoc::Display;

use crate::{GUARDS_PER_SLOT, Quota, Share};

/// The part of `overage` times `window` for which a token lasts, as a dividend and a divisor. The
/// rest covers clocks with different rates.
const LIFETIME_SHARE: (u32, u32) = (9, 10);
/// The shortest lifetime of a token that leaves time to ask a guard and to send a call.
const MIN_LIFETIME: Duration = Duration::from_millis(50);

/// Why a bound cannot be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum QuotaBoundError {
    /// overage times window must be at least 56 ms
    TooShort,
    /// slack must be at least 3, one call for each guard of a slot
    TooFew,
}

impl std::error::Error for QuotaBoundError {}

/// The bound on the calls of a workspace in any window: (rate x window + burst) x (1 + overage) +
/// slack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaBound {
    window: Duration,
    overage: Share,
    slack: u32,
}

impl QuotaBound {
    /// Creates a bound.
    ///
    /// # Errors
    ///
    /// Returns an error if the overage or the slack is too small for the buckets and the lifetime
    /// of tokens that follow from it.
    pub fn new(window: Duration, overage: Share, slack: u32) -> Result<Self, QuotaBoundError> {
        let bound = Self {
            window,
            overage,
            slack,
        };
        if bound.token_lifetime() < MIN_LIFETIME {
            return Err(QuotaBoundError::TooShort);
        }
        if (slack as usize) < GUARDS_PER_SLOT {
            return Err(QuotaBoundError::TooFew);
        }
        Ok(bound)
    }

    /// The time for which a token is valid, counted from before the request for it was sent.
    #[must_use]
    pub fn token_lifetime(&self) -> Duration {
        let (dividend, divisor) = LIFETIME_SHARE;
        self.window.mul_f64(self.overage.fraction()) * dividend / divisor
    }

    /// The capacity of the token buckets of a quota together, in millionths of a token.
    #[must_use]
    pub fn capacity_micros(&self, quota: &Quota) -> u64 {
        let overage = u64::from(Share::PARTS) + u64::from(self.overage.ppm());
        let slack = u64::from(self.slack) * u64::from(Share::PARTS);
        u64::from(quota.burst) * overage + slack
    }

    /// The largest number of calls in a window, rounded down.
    #[must_use]
    pub fn calls(&self, quota: &Quota) -> u64 {
        let steady = quota.rate.per_s() * self.window.as_secs_f64() + f64::from(quota.burst);
        let calls = steady * (1.0 + self.overage.fraction()) + f64::from(self.slack);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "rates and bursts are bounded, and none is negative"
        )]
        let calls = calls.floor() as u64;
        calls
    }

    /// The length of the window.
    #[must_use]
    pub const fn window(&self) -> Duration {
        self.window
    }

    /// The part of a quota by which the calls in a window may exceed it.
    #[must_use]
    pub const fn overage(&self) -> Share {
        self.overage
    }

    /// The number of calls in a window beyond the quota and the overage.
    #[must_use]
    pub const fn slack(&self) -> u32 {
        self.slack
    }
}

impl Default for QuotaBound {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: Share::from_ppm(100_000),
            slack: 20,
        }
    }
}
