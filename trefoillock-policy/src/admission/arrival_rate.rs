//! The recent rate at which calls of one kind were offered, from which
//! [`super::urgent_reserve`] and [`super::backlog`] decide.

use trefoillock_core::Timestamp;

/// The time constant of the average that follows a surge of some seconds, in seconds.
const SHORT_S: f64 = 2.0;
/// The time constant of the average that tells a lasting overload from the crest of a wave of some
/// 13 s, in seconds.
const LONG_S: f64 = 10.0;
/// The smallest share of an average that is taken as observed. Extrapolates the first calls by no
/// more than its inverse.
const MIN_OBSERVED: f64 = 0.5;

/// Two exponential averages of a rate of arrivals, in calls per second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ArrivalRate {
    short: f64,
    long: f64,
    first_at: Option<Timestamp>,
    updated_at: Timestamp,
}

impl ArrivalRate {
    /// Counts a call.
    pub(super) fn record(&mut self, now: Timestamp) {
        let age_s = now.since(self.updated_at).as_secs_f64();
        self.short = self.short.mul_add(decay(age_s, SHORT_S), 1.0 / SHORT_S);
        self.long = self.long.mul_add(decay(age_s, LONG_S), 1.0 / LONG_S);
        self.updated_at = self.updated_at.max(now);
        self.first_at.get_or_insert(now);
    }

    /// The average rate over about the last two seconds.
    pub(super) fn short(&self, now: Timestamp) -> f64 {
        self.average(now, self.short, SHORT_S)
    }

    /// The average rate over about the last ten seconds.
    pub(super) fn long(&self, now: Timestamp) -> f64 {
        self.average(now, self.long, LONG_S)
    }

    /// An average at `now`, corrected for the time before the first call.
    fn average(&self, now: Timestamp, average: f64, constant_s: f64) -> f64 {
        let Some(first_at) = self.first_at else {
            return 0.0;
        };
        let since = |at: Timestamp| now.since(at).as_secs_f64();
        let observed = 1.0 - decay(since(first_at), constant_s);
        average * decay(since(self.updated_at), constant_s) / observed.max(MIN_OBSERVED)
    }
}

fn decay(age_s: f64, constant_s: f64) -> f64 {
    (-age_s / constant_s).exp()
}
