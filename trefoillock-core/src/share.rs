//! Shares of calls, as exact parts per million.

use std::fmt;

use trefoillock_macros::data;

/// A share of calls, in parts per million; never above the whole.
#[data(key)]
#[derive(Default)]
#[serde(try_from = "u32", into = "u32")]
pub struct Share(u32);

impl Share {
    /// The share of no calls.
    pub const ZERO: Self = Self(0);
    /// The share of all calls.
    pub const FULL: Self = Self(Self::PARTS);
    /// The number of parts of the whole.
    pub const PARTS: u32 = 1_000_000;

    /// Creates a share from parts per million; values above the whole are clamped.
    #[must_use]
    pub const fn from_ppm(ppm: u32) -> Self {
        if ppm > Self::PARTS {
            Self::FULL
        } else {
            Self(ppm)
        }
    }

    /// Creates a share from a fraction between 0 and 1; values outside are clamped.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn from_fraction(fraction: f64) -> Self {
        Self::from_ppm((fraction.clamp(0.0, 1.0) * f64::from(Self::PARTS)).round() as u32)
    }

    /// The share in parts per million.
    #[must_use]
    pub const fn ppm(self) -> u32 {
        self.0
    }

    /// The share as a fraction between 0 and 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::PARTS)
    }

    /// Whether a call belongs to this share, given a random number drawn uniformly for the call.
    #[must_use]
    pub const fn contains_draw(self, draw: u32) -> bool {
        draw % Self::PARTS < self.0
    }
}

impl TryFrom<u32> for Share {
    type Error = String;

    fn try_from(ppm: u32) -> Result<Self, String> {
        if ppm > Self::PARTS {
            return Err(format!(
                "a share must be at most 1000000 parts per million, not {ppm}"
            ));
        }
        Ok(Self(ppm))
    }
}

impl From<Share> for u32 {
    fn from(share: Share) -> Self {
        share.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}%", self.fraction() * 100.0)
    }
}
