//! The random outcomes of calls to a good or bad version.
//!
//! Latencies are log-normal. Each call also has the log-likelihood ratio that it gives an ideal
//! observer, who knows the behaviour of the good and the bad version; it shows how soon a bad
//! version could be detected at all.

use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use trefoillock_moves::MoveCallResult;

use super::{
    sampling::{happens, normal},
    scenario::Version,
};

/// The median latency of a good version, in seconds.
const MEDIAN_LATENCY_S: f64 = 0.02;
/// The standard deviation of the logarithm of the latency.
const LOG_LATENCY_SIGMA: f64 = 0.5;
/// The mean latency of a good version, in seconds.
pub(crate) const MEAN_LATENCY_S: f64 = 0.0227;
/// The latency above which a call fails, in seconds.
const TIMEOUT_S: f64 = 0.8;
/// The probability that a call of a good version fails.
const GOOD_FAILURE_RATE: f64 = 0.001;
/// The probability of a truncated answer that the ideal observer assumes for a good version.
const GOOD_TRUNCATION_RATE: f64 = 1e-4;
/// The probability of a crash that the ideal observer assumes for a good version.
const GOOD_CRASH_RATE: f64 = 1e-5;
/// The time after the start of the move at which [`Version::FailsLater`] begins to fail.
const LATE_FAILURE_START: Duration = Duration::from_mins(1);
/// The used fraction of the capacity above which [`Version::FailsUnderLoad`] fails.
const LOAD_FAILURE_THRESHOLD: f64 = 0.5;

/// The conditions at a pool when it takes a call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conditions {
    /// The time since the start of the move.
    pub(crate) since_start: Duration,
    /// The index of the route.
    pub(crate) route: usize,
    /// The used fraction of the pool's capacity; above 1 the pool is overloaded.
    pub(crate) load: f64,
    /// The factor on the latency; 1 is normal.
    pub(crate) slowness: f64,
}

/// The simulated outcome of one call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    pub(crate) result: MoveCallResult,
    /// Whether the version had a defect at this call.
    pub(crate) is_bad: bool,
    /// The evidence for the ideal observer: the natural logarithm of the likelihood ratio of the
    /// bad version to the good one.
    pub(crate) log_ratio: f64,
}

/// The defect of a version; probabilities are per call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Defect {
    None,
    Fails(f64),
    SlowAll(f64),
    SlowSome { probability: f64, factor: f64 },
    Truncates(f64),
    Crashes(f64),
}

fn defect_of(version: Version, cx: &Conditions) -> Defect {
    match version {
        Version::FailsAtOnce => Defect::Fails(0.5),
        Version::FailsLater if cx.since_start >= LATE_FAILURE_START => Defect::Fails(0.5),
        Version::FailsUnderLoad if cx.load > LOAD_FAILURE_THRESHOLD => Defect::Fails(0.3),
        Version::FailsOnOneRoute if cx.route == 0 => Defect::Fails(0.3),
        Version::Good
        | Version::GoodWithBadHealth
        | Version::FailsLater
        | Version::FailsUnderLoad
        | Version::FailsOnOneRoute => Defect::None,
        Version::FailsTwoPercent => Defect::Fails(0.02),
        Version::BadWithGoodHealth => Defect::Fails(0.05),
        Version::SlowThrice => Defect::SlowAll(3.0),
        Version::SlowTail => Defect::SlowSome {
            probability: 0.05,
            factor: 10.0,
        },
        Version::CutsBodies => Defect::Truncates(0.1),
        Version::Crashes => Defect::Crashes(0.02),
    }
}

/// Draws the outcome of a call.
pub(crate) fn call(rng: &mut Pcg64Mcg, version: Version, cx: &Conditions) -> Call {
    let defect = defect_of(version, cx);
    let overload = (cx.load - 1.0).max(0.0);
    if happens(rng, overload.min(0.5)) {
        return outcome(MoveCallResult::Refused, defect, 0.0);
    }
    let failure_probability = match defect {
        Defect::Fails(probability) => probability,
        _ => GOOD_FAILURE_RATE,
    };
    if happens(rng, failure_probability + overload / 4.0) {
        return outcome(MoveCallResult::Failed, defect, failure_log_ratio(defect));
    }
    match defect {
        Defect::Truncates(probability) if happens(rng, probability) => {
            return outcome(
                MoveCallResult::Aborted,
                defect,
                (probability / GOOD_TRUNCATION_RATE).ln(),
            );
        }
        Defect::Crashes(probability) if happens(rng, probability) => {
            return outcome(
                MoveCallResult::Crashed,
                defect,
                (probability / GOOD_CRASH_RATE).ln(),
            );
        }
        _ => {}
    }
    let slow_factor = match defect {
        Defect::SlowAll(factor) => factor,
        Defect::SlowSome {
            probability,
            factor,
        } if happens(rng, probability) => factor,
        _ => 1.0,
    };
    let log_latency = LOG_LATENCY_SIGMA * normal(rng) + slow_factor.ln();
    let latency = MEDIAN_LATENCY_S * log_latency.exp() * cx.slowness * (1.0 + overload * 5.0);
    let result = if latency > TIMEOUT_S {
        MoveCallResult::Failed
    } else {
        MoveCallResult::Answered(Duration::from_secs_f64(latency))
    };
    outcome(
        result,
        defect,
        answer_log_ratio(defect, log_latency / LOG_LATENCY_SIGMA),
    )
}

fn outcome(result: MoveCallResult, defect: Defect, log_ratio: f64) -> Call {
    Call {
        result,
        is_bad: defect != Defect::None,
        log_ratio,
    }
}

/// The log-likelihood ratio of a failed call.
fn failure_log_ratio(defect: Defect) -> f64 {
    match defect {
        Defect::Fails(probability) => (probability / GOOD_FAILURE_RATE).ln(),
        _ => 0.0,
    }
}

/// The log-likelihood ratio of an answered call. `score` is the logarithm of its latency, relative
/// to the median, in standard deviations.
fn answer_log_ratio(defect: Defect, score: f64) -> f64 {
    let shifted = |factor: f64| {
        let shift = factor.ln() / LOG_LATENCY_SIGMA;
        shift * score - shift * shift / 2.0
    };
    match defect {
        Defect::None => 0.0,
        Defect::Fails(probability) => ((1.0 - probability) / (1.0 - GOOD_FAILURE_RATE)).ln(),
        Defect::SlowAll(factor) => shifted(factor),
        Defect::SlowSome {
            probability,
            factor,
        } => (1.0 - probability + probability * shifted(factor).exp()).ln(),
        Defect::Truncates(probability) | Defect::Crashes(probability) => (1.0 - probability).ln(),
    }
}
