//! Judges the new version of a rollout by the calls of both versions.

use std::time::Duration;

use trefoillock_core::PoolEvidence;

/// Failure rate above which a version can be bad.
const MIN_FAILURE_RATE: f64 = 0.05;
/// Number of answers of each version that a comparison of latencies needs.
const MIN_LATENCIES: u64 = 20;
/// Ratio of the median latencies, new to old, above which a version is bad.
const MAX_LATENCY_RATIO: f64 = 3.0;
/// Ratio of a latency to the old median above which an answer is slow.
const SLOW_ANSWER_RATIO: u32 = 4;
/// Part of slow answers above which a version can be bad. A version that is slow for some calls only
/// may have an ordinary median.
const MIN_SLOW_RATE: f64 = 0.2;
/// Smallest part of bad calls that is assumed of a good version.
const MIN_GOOD_RATE: f64 = 0.01;
/// Largest part of bad calls that is assumed of a good version, relative to that of a bad one.
const MAX_GOOD_PART: f64 = 0.5;
/// Likelihood of the calls in a bad version, relative to that in a good one, at which the version is
/// proven to be good.
const MAX_BAD_LIKELIHOOD_RATIO: f64 = 0.1;

/// How much evidence against a version suffices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Caution {
    /// The version keeps its share and is judged again and again.
    Running,
    /// The version gets all calls, or is about to get more.
    Raising,
}

impl Caution {
    /// Smallest number of bad calls at which a version can be bad.
    const fn min_bad_calls(self) -> u64 {
        match self {
            Self::Running => 5,
            Self::Raising => 3,
        }
    }

    /// Standard deviations by which the bad calls must exceed those expected from the old version.
    const fn deviations(self) -> f64 {
        match self {
            Self::Running => 3.0,
            Self::Raising => 2.0,
        }
    }
}

/// The part of bad calls of the versions that must not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BadRate {
    /// As low as many calls can show.
    Low,
    /// As low as few calls can show.
    High,
}

impl BadRate {
    const fn part(self) -> f64 {
        match self {
            Self::Low => 0.12,
            Self::High => 0.2,
        }
    }
}

/// The bad calls among all calls of a version.
#[derive(Debug, Clone, Copy)]
struct BadCalls {
    bad: u64,
    calls: u64,
}

/// Returns why the new version is bad, or `None` if it is not known to be.
pub(crate) fn reason_to_roll_back(
    old: &PoolEvidence,
    new: &PoolEvidence,
    caution: Caution,
) -> Option<String> {
    let failures = |pool: &PoolEvidence| BadCalls {
        bad: pool.failures,
        calls: pool.calls,
    };
    if exceeds(failures(old), failures(new), MIN_FAILURE_RATE, caution) {
        return Some(format!("failures: {}", describe_counts(old, new)));
    }
    let (old_median, new_median) = (median(old)?, median(new)?);
    if new_median.as_secs_f64() > old_median.as_secs_f64() * MAX_LATENCY_RATIO {
        let counts = describe_counts(old, new);
        return Some(format!(
            "latency {new_median:?} instead of {old_median:?}: {counts}"
        ));
    }
    let bound = old_median * SLOW_ANSWER_RATIO;
    let slow = |pool: &PoolEvidence| BadCalls {
        bad: pool.latency.count_above(bound),
        calls: pool.latency.len(),
    };
    let (old_slow, new_slow) = (slow(old), slow(new));
    exceeds(old_slow, new_slow, MIN_SLOW_RATE, caution).then(|| {
        format!(
            "{} of {} answers over {bound:?}, of the old versions {} of {}",
            new_slow.bad, new_slow.calls, old_slow.bad, old_slow.calls
        )
    })
}

/// Whether the calls of the new version show that it is good: they are much less likely if
/// the given part of its calls is bad than if as many are as in old versions that work.
#[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
pub(crate) fn is_proven_good(old: &PoolEvidence, new: &PoolEvidence, bad_rate: BadRate) -> bool {
    let old_bad = count_bad_calls(old, old) as f64;
    let (bad, calls) = (count_bad_calls(old, new) as f64, new.calls as f64);
    let old_rate = (old_bad + 1.0) / (old.calls as f64 + 20.0);
    // Old versions that fail prove nothing about the new one.
    let good_rate = old_rate.clamp(MIN_GOOD_RATE, bad_rate.part() * MAX_GOOD_PART);
    let of_bad = (bad_rate.part() / good_rate).ln();
    let of_good = ((1.0 - bad_rate.part()) / (1.0 - good_rate)).ln();
    bad * of_bad + (calls - bad) * of_good <= MAX_BAD_LIKELIHOOD_RATIO.ln()
}

/// Whether so many calls of the new version are bad that it cannot be proven good, whatever the old versions do.
#[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
pub(crate) fn is_suspect(old: &PoolEvidence, new: &PoolEvidence) -> bool {
    let bad = count_bad_calls(old, new);
    bad >= Caution::Running.min_bad_calls() && bad as f64 > BadRate::High.part() * new.calls as f64
}

/// Returns the calls of a version that failed, or were slow compared with the old versions.
pub(crate) fn count_bad_calls(old: &PoolEvidence, pool: &PoolEvidence) -> u64 {
    let bound = median(old).map(|median| median * SLOW_ANSWER_RATIO);
    let slow = bound.map_or(0, |bound| pool.latency.count_above(bound));
    (pool.failures + slow).min(pool.calls)
}

/// Whether the new version has more bad calls than its calls would have in the old version, by more
/// than chance, and more than a part `min_rate` of its calls.
#[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
fn exceeds(old: BadCalls, new: BadCalls, min_rate: f64, caution: Caution) -> bool {
    let bad = new.bad as f64;
    let expected_rate = (old.bad as f64 + 1.0) / (old.calls as f64 + 20.0);
    let expected = expected_rate * new.calls as f64;
    let max_bad = expected + caution.deviations() * expected.max(1.0).sqrt();
    new.bad >= caution.min_bad_calls() && bad > min_rate * new.calls as f64 && bad > max_bad
}

fn median(pool: &PoolEvidence) -> Option<Duration> {
    let has_enough = pool.latency.len() >= MIN_LATENCIES;
    pool.latency.quantile(0.5).filter(|_| has_enough)
}

/// Describes the failure counts of both versions.
pub(crate) fn describe_counts(old: &PoolEvidence, new: &PoolEvidence) -> String {
    format!(
        "old {} of {} failed, new {} of {}",
        old.failures, old.calls, new.failures, new.calls
    )
}
