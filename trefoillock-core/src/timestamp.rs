//! Points in time, as microseconds since the Unix epoch.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

use time::{OffsetDateTime, format_description::well_known::Rfc3339};
use trefoillock_macros::data;

/// A point in time, in microseconds since the Unix epoch.
///
/// A process derives it from a monotonic clock that is set from the wall clock once at start, so
/// later steps of the wall clock do not affect the difference of two timestamps of one process.
/// Functions that make decisions take the current time as an argument instead of reading a clock.
#[data(key)]
#[derive(Default)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The Unix epoch.
    pub const EPOCH: Self = Self(0);

    /// Creates a timestamp from microseconds since the Unix epoch.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Creates a timestamp from seconds since the Unix epoch.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000))
    }

    /// Microseconds since the Unix epoch.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Milliseconds since the Unix epoch, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The time that has passed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Parses an RFC 3339 date and time, such as `2026-12-31T18:00:00Z`.
    ///
    /// Returns `None` if the text is not an RFC 3339 time or the time is before the Unix epoch.
    #[must_use]
    pub fn parse_rfc3339(text: &str) -> Option<Self> {
        let parsed = OffsetDateTime::parse(text, &Rfc3339).ok()?;
        let micros = u64::try_from(parsed.unix_timestamp_nanos() / 1_000).ok()?;
        Some(Self(micros))
    }

    /// Formats the timestamp as an RFC 3339 date and time in UTC, or as microseconds if it is
    /// beyond the range of dates.
    #[must_use]
    pub fn to_rfc3339(self) -> String {
        let nanos = i128::from(self.0) * 1_000;
        OffsetDateTime::from_unix_timestamp_nanos(nanos)
            .ok()
            .and_then(|time| time.format(&Rfc3339).ok())
            .unwrap_or_else(|| format!("{}us", self.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_rfc3339())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rfc3339_round_trips() {
        let time = Timestamp::parse_rfc3339("2026-12-31T18:00:00Z").expect("valid time");
        assert_eq!(time.to_rfc3339(), "2026-12-31T18:00:00Z");
        assert_eq!(Timestamp::parse_rfc3339("tomorrow"), None);
    }
}
