//! A compact, mergeable histogram of latencies with logarithmic buckets.

use std::time::Duration;

use trefoillock_macros::data;

/// The number of buckets for each doubling of the latency.
const BUCKETS_PER_OCTAVE: u32 = 4;
/// The binary logarithm of the first bucket's upper bound in microseconds.
const FIRST_OCTAVE: u32 = 6;
/// The number of buckets; the last one counts all latencies above about 100 s.
const BUCKET_COUNT: usize = 84;

/// Counts of latencies in buckets whose bounds grow by about 19% on average.
///
/// Merging two sketches gives the sketch of all their latencies. Only buckets with a count are
/// stored, so a sketch of a narrow distribution takes a few bytes.
#[data]
#[derive(Default)]
pub struct LatencySketch {
    /// Pairs of bucket number and count, ordered by bucket number.
    counts: Vec<(u8, u32)>,
}

impl LatencySketch {
    /// Creates an empty sketch.
    #[must_use]
    pub const fn new() -> Self {
        Self { counts: Vec::new() }
    }

    /// Adds one latency.
    pub fn record(&mut self, latency: Duration) {
        self.add(bucket_of(latency), 1);
    }

    /// Adds the counts of another sketch.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.counts {
            self.add(*bucket, *count);
        }
    }

    /// The number of recorded latencies.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.counts.iter().map(|(_, count)| u64::from(*count)).sum()
    }

    /// Whether no latency was recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.iter().all(|(_, count)| *count == 0)
    }

    /// The upper bound of the bucket that contains the given quantile, a value between 0 and 1,
    /// or `None` if the sketch is empty. Latencies above the bound of the last bucket are
    /// reported as that bound, about 117 s.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let total = self.len();
        if total == 0 {
            return None;
        }
        let rank = (quantile.clamp(0.0, 1.0) * total as f64).ceil().max(1.0) as u64;
        let mut seen = 0;
        for (bucket, count) in &self.counts {
            seen += u64::from(*count);
            if seen >= rank {
                return Some(upper_bound(*bucket));
            }
        }
        None
    }

    /// The number of latencies in buckets that lie entirely above a bound.
    #[must_use]
    pub fn count_above(&self, bound: Duration) -> u64 {
        let limit = bucket_of(bound);
        let above = self.counts.iter().filter(|(bucket, _)| *bucket > limit);
        above.map(|(_, count)| u64::from(*count)).sum()
    }

    /// Pairs of a bucket's upper bound and its count, in increasing order.
    pub fn buckets(&self) -> impl Iterator<Item = (Duration, u32)> + '_ {
        self.counts
            .iter()
            .map(|(bucket, count)| (upper_bound(*bucket), *count))
    }

    fn add(&mut self, bucket: u8, count: u32) {
        match self
            .counts
            .binary_search_by_key(&bucket, |(bucket, _)| *bucket)
        {
            Ok(index) => self.counts[index].1 = self.counts[index].1.saturating_add(count),
            Err(index) => self.counts.insert(index, (bucket, count)),
        }
    }
}

/// The number of the bucket that counts a latency.
fn bucket_of(latency: Duration) -> u8 {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    if micros < 1 << FIRST_OCTAVE {
        return 0;
    }
    let octave = micros.ilog2();
    let quarter_octave = (micros >> (octave - 2)) & 0b11;
    let bucket = 1 + u64::from((octave - FIRST_OCTAVE) * BUCKETS_PER_OCTAVE) + quarter_octave;
    u8::try_from(bucket.min(BUCKET_COUNT as u64 - 1)).unwrap_or(u8::MAX)
}

/// The upper bound of a bucket. The last bucket also counts latencies above its bound.
fn upper_bound(bucket: u8) -> Duration {
    if bucket == 0 {
        return Duration::from_micros(1 << FIRST_OCTAVE);
    }
    let index = u32::from(bucket) - 1;
    let octave = FIRST_OCTAVE + index / BUCKETS_PER_OCTAVE;
    let quarter_octave = u64::from(index % BUCKETS_PER_OCTAVE);
    Duration::from_micros((1 << octave) + ((quarter_octave + 1) << (octave - 2)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_are_accurate_to_one_bucket() {
        let mut sketch = LatencySketch::new();
        for millis in 1..=1_000 {
            sketch.record(Duration::from_millis(millis));
        }
        let p99 = sketch.quantile(0.99).expect("not empty").as_secs_f64();
        assert!((0.99..1.25).contains(&p99), "p99 is {p99}");
        assert_eq!(sketch.len(), 1_000);
    }

    #[test]
    fn merging_adds_counts() {
        let mut left = LatencySketch::new();
        left.record(Duration::from_millis(1));
        let mut right = left.clone();
        right.record(Duration::from_secs(3));
        left.merge(&right);
        assert_eq!(left.len(), 3);
        assert_eq!(left.count_above(Duration::from_secs(1)), 1);
    }
}
