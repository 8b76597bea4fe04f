//! Shares of a route's calls.

use std::fmt;

use trefoillock_macros::data;

/// A share of a route's calls, in parts per million.
#[data(key)]
#[derive(Default)]
#[serde(try_from = "u32", into = "u32")]
pub struct Share(u32);

impl Share {
    /// No calls.
    pub const ZERO: Self = Self(0);
    /// All calls.
    pub const FULL: Self = Self(Self::PARTS);
    /// The number of parts in a whole.
    pub const PARTS: u32 = 1_000_000;

    /// Creates a share from parts per million; more than a whole counts as a whole.
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

    /// Whether a uniformly drawn number falls into this share.
    #[must_use]
    pub const fn takes(self, draw: u32) -> bool {
        draw % Self::PARTS < self.0
    }
}

impl TryFrom<u32> for Share {
    type Error = String;

    fn try_from(ppm: u32) -> Result<Self, String> {
        if ppm > Self::PARTS {
            return Err(format!(
                "a share has at most 1000000 parts, this one has {ppm}"
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
