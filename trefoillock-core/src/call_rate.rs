//! The rate of calls that a backend server states it takes.

use std::{fmt, str::FromStr, time::Duration};

use displaydoc::Display;
use trefoillock_macros::data;

const MICROS_PER_UNIT: f64 = 1e6;
/// The nanoseconds of a second times the millionths of a call.
const NANOS_PER_S_TIMES_MICROS: u64 = 1_000_000_000 * 1_000_000;

/// A rate of calls, from zero to [`CallRate::MAX`], in millionths of a call per second.
///
/// ```
/// use trefoillock_core::CallRate;
///
/// let rate: CallRate = "26.3".parse()?;
/// assert_eq!(rate.per_s(), 26.3);
/// assert!("-1".parse::<CallRate>().is_err());
/// # Ok::<(), trefoillock_core::CallRateError>(())
/// ```
#[data(key)]
#[serde(try_from = "u64", into = "u64")]
pub struct CallRate(u64);

/// Why a text or a number is not a rate of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CallRateError {
    /// it is not a decimal number
    NotANumber,
    /// it is negative, not finite, or above 1000000000 calls per second
    OutOfRange,
}

impl std::error::Error for CallRateError {}

impl CallRate {
    /// No calls.
    pub const ZERO: Self = Self(0);
    /// The highest rate: a billion calls per second.
    pub const MAX: Self = Self(1_000_000_000_000_000);

    /// The rate in calls per second.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "the highest rate has fewer than 53 bits"
    )]
    pub fn per_s(self) -> f64 {
        self.0 as f64 / MICROS_PER_UNIT
    }

    /// The rate in millionths of a call per second.
    #[must_use]
    pub const fn micros_per_s(self) -> u64 {
        self.0
    }

    /// The time between two calls, rounded up to nanoseconds; `None` if the rate is zero.
    #[must_use]
    pub const fn interval(self) -> Option<Duration> {
        if self.0 == 0 {
            None
        } else {
            Some(Duration::from_nanos(
                NANOS_PER_S_TIMES_MICROS.div_ceil(self.0),
            ))
        }
    }
}

impl TryFrom<u64> for CallRate {
    type Error = CallRateError;

    fn try_from(micros_per_s: u64) -> Result<Self, CallRateError> {
        if micros_per_s > Self::MAX.0 {
            return Err(CallRateError::OutOfRange);
        }
        Ok(Self(micros_per_s))
    }
}

impl From<CallRate> for u64 {
    fn from(rate: CallRate) -> Self {
        rate.0
    }
}

impl TryFrom<f64> for CallRate {
    type Error = CallRateError;

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range is checked"
    )]
    fn try_from(per_s: f64) -> Result<Self, CallRateError> {
        if !(0.0..=Self::MAX.per_s()).contains(&per_s) {
            return Err(CallRateError::OutOfRange);
        }
        Ok(Self((per_s * MICROS_PER_UNIT).round() as u64))
    }
}

impl FromStr for CallRate {
    type Err = CallRateError;

    /// Parses a decimal number of calls per second.
    fn from_str(text: &str) -> Result<Self, CallRateError> {
        let per_s: f64 = text.trim().parse().map_err(|_| CallRateError::NotANumber)?;
        Self::try_from(per_s)
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_s().fmt(f)
    }
}
