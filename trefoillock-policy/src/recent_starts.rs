//! Counts the calls that started within the last second.

use std::{ops::RangeInclusive, time::Duration};

use trefoillock_core::Timestamp;

/// The length of a bucket in microseconds. A start counts for at most this long beyond the second.
const BUCKET_MICROS: u64 = 20_000;
/// The number of buckets that a second may touch: those that lie in it, and one that it cuts.
const BUCKETS: usize = 51;
const BUCKETS_U64: u64 = BUCKETS as u64;

/// The calls that started within the last second, counted in buckets, so that the memory does not
/// depend on the rate. The count is never lower than that of the exact window.
#[derive(Debug, Clone)]
pub(crate) struct RecentStarts {
    counts: [u32; BUCKETS],
    /// The number of the newest bucket, counted from the epoch.
    newest: u64,
}

impl Default for RecentStarts {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            newest: 0,
        }
    }
}

impl RecentStarts {
    /// Counts calls that start at a time. Times must not decrease.
    pub(crate) fn record(&mut self, now: Timestamp, calls: u32) {
        let bucket = bucket_of(now);
        if bucket > self.newest {
            let passed = bucket - self.newest;
            for expired in (1..=passed.min(BUCKETS_U64)).map(|step| self.newest + step) {
                self.counts[index(expired)] = 0;
            }
            self.newest = bucket;
        }
        let count = &mut self.counts[index(self.newest)];
        *count = count.saturating_add(calls);
    }

    /// The number of calls that started within the last second.
    pub(crate) fn count(&self, now: Timestamp) -> u32 {
        self.buckets(now).fold(0, |sum: u32, bucket| {
            sum.saturating_add(self.counts[index(bucket)])
        })
    }

    /// The time until `ahead` calls and one more may start, if at most `allowed` calls may start in
    /// a second.
    pub(crate) fn wait(&self, now: Timestamp, allowed: u32, ahead: u32) -> Duration {
        let mut excess = self.count(now).saturating_add(ahead).saturating_add(1);
        let mut wait = Duration::ZERO;
        for bucket in self.buckets(now) {
            if excess <= allowed {
                break;
            }
            let count = self.counts[index(bucket)];
            if count > 0 {
                excess = excess.saturating_sub(count);
                wait = end_of_count(bucket).since(now);
            }
        }
        wait
    }

    /// The buckets that count, the oldest one first.
    fn buckets(&self, now: Timestamp) -> RangeInclusive<u64> {
        let oldest = self
            .newest
            .max(bucket_of(now))
            .saturating_sub(BUCKETS_U64 - 1);
        oldest..=self.newest
    }
}

const fn bucket_of(at: Timestamp) -> u64 {
    at.as_micros() / BUCKET_MICROS
}

const fn index(bucket: u64) -> usize {
    (bucket % BUCKETS_U64) as usize
}

/// The time from which the starts in a bucket no longer count.
fn end_of_count(bucket: u64) -> Timestamp {
    Timestamp::from_micros((bucket + BUCKETS_U64) * BUCKET_MICROS)
}
