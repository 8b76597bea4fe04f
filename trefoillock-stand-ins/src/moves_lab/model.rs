//! How calls of the old and the new version end.

use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use trefoillock_moves::CallResult;

use super::{
    sampling::{happens, normal},
    scenario::Version,
};

/// The median latency of a good version, in seconds.
const MEDIAN: f64 = 0.02;
/// The standard deviation of the logarithm of the latency.
const SIGMA: f64 = 0.5;
/// The mean latency of a good version, in seconds.
pub(crate) const MEAN: f64 = 0.0227;
/// The time after which a call fails, in seconds.
const TIMEOUT: f64 = 0.8;
/// The share of calls of a good version that fail.
const GOOD_FAILURES: f64 = 0.001;
/// The share of answers of a good version that are cut, for the ideal observer.
const GOOD_CUTS: f64 = 1e-4;
/// The share of calls of a good version that crash, for the ideal observer.
const GOOD_CRASHES: f64 = 1e-5;
/// The time from the start of the move at which [`Version::FailsLater`] begins to fail.
const LATER: Duration = Duration::from_mins(1);
/// The part of the capacity above which [`Version::FailsUnderLoad`] fails.
const HALF_LOAD: f64 = 0.5;

/// What a pool is like at the time of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conditions {
    /// The time since the start of the move.
    pub(crate) since_start: Duration,
    /// The route's number.
    pub(crate) route: usize,
    /// The part of the pool's capacity in use; above 1 it is overloaded.
    pub(crate) load: f64,
    /// By how much calls are slower than at rest.
    pub(crate) slowness: f64,
}

/// How one call ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    pub(crate) result: CallResult,
    /// Whether the version was bad for this call.
    pub(crate) is_bad: bool,
    /// What the call tells an observer who knows how the good and the bad version behave: the
    /// logarithm of the likelihood ratio of bad against good.
    pub(crate) log_ratio: f64,
}

/// The way in which a version is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Badness {
    None,
    Fails(f64),
    SlowAll(f64),
    SlowSome { part: f64, factor: f64 },
    Cuts(f64),
    Crashes(f64),
}

fn badness(version: Version, cx: &Conditions) -> Badness {
    match version {
        Version::FailsAtOnce => Badness::Fails(0.5),
        Version::FailsLater if cx.since_start >= LATER => Badness::Fails(0.5),
        Version::FailsUnderLoad if cx.load > HALF_LOAD => Badness::Fails(0.3),
        Version::FailsOnOneRoute if cx.route == 0 => Badness::Fails(0.3),
        Version::Good
        | Version::GoodWithBadHealth
        | Version::FailsLater
        | Version::FailsUnderLoad
        | Version::FailsOnOneRoute => Badness::None,
        Version::FailsTwoPercent => Badness::Fails(0.02),
        Version::BadWithGoodHealth => Badness::Fails(0.05),
        Version::SlowThrice => Badness::SlowAll(3.0),
        Version::SlowTail => Badness::SlowSome {
            part: 0.05,
            factor: 10.0,
        },
        Version::CutsBodies => Badness::Cuts(0.1),
        Version::Crashes => Badness::Crashes(0.02),
    }
}

/// Draws the end of a call.
pub(crate) fn call(rng: &mut Pcg64Mcg, version: Version, cx: &Conditions) -> Call {
    let bad = badness(version, cx);
    let overload = (cx.load - 1.0).max(0.0);
    if happens(rng, overload.min(0.5)) {
        return outcome(CallResult::Refused, bad, 0.0);
    }
    let failures = match bad {
        Badness::Fails(part) => part,
        _ => GOOD_FAILURES,
    };
    if happens(rng, failures + overload / 4.0) {
        return outcome(CallResult::Failed, bad, failure_ratio(bad));
    }
    match bad {
        Badness::Cuts(part) if happens(rng, part) => {
            return outcome(CallResult::Aborted, bad, (part / GOOD_CUTS).ln());
        }
        Badness::Crashes(part) if happens(rng, part) => {
            return outcome(CallResult::Crashed, bad, (part / GOOD_CRASHES).ln());
        }
        _ => {}
    }
    let slow_part = match bad {
        Badness::SlowAll(factor) => factor,
        Badness::SlowSome { part, factor } if happens(rng, part) => factor,
        _ => 1.0,
    };
    let log_latency = SIGMA * normal(rng) + slow_part.ln();
    let latency = MEDIAN * log_latency.exp() * cx.slowness * (1.0 + overload * 5.0);
    let result = if latency > TIMEOUT {
        CallResult::Failed
    } else {
        CallResult::Answered(Duration::from_secs_f64(latency))
    };
    outcome(result, bad, answer_ratio(bad, log_latency / SIGMA))
}

fn outcome(result: CallResult, bad: Badness, log_ratio: f64) -> Call {
    Call {
        result,
        is_bad: bad != Badness::None,
        log_ratio,
    }
}

/// What a failure tells the ideal observer.
fn failure_ratio(bad: Badness) -> f64 {
    match bad {
        Badness::Fails(part) => (part / GOOD_FAILURES).ln(),
        _ => 0.0,
    }
}

/// What an answer tells the ideal observer; `score` is its latency in standard deviations.
fn answer_ratio(bad: Badness, score: f64) -> f64 {
    let shifted = |factor: f64| {
        let shift = factor.ln() / SIGMA;
        shift * score - shift * shift / 2.0
    };
    match bad {
        Badness::None => 0.0,
        Badness::Fails(part) => ((1.0 - part) / (1.0 - GOOD_FAILURES)).ln(),
        Badness::SlowAll(factor) => shifted(factor),
        Badness::SlowSome { part, factor } => (1.0 - part + part * shifted(factor).exp()).ln(),
        Badness::Cuts(part) | Badness::Crashes(part) => (1.0 - part).ln(),
    }
}
