//! Analysis of a new version: compares the new pool with the old pool of the same route over the
//! same time.
//!
//! [`RouteHistory`] turns the evidence of a move into [`Window`]s; [`VersionAnalysis`] runs the
//! sequential tests on them and returns a [`Verdict`].

use std::time::Duration;

use trefoillock_core::{LatencySketch, MoveEvidence, PoolEvidence, TakeBackReason};

use crate::{
    baseline::{EventHistory, EventLimit},
    combined_test::{CombinedTest, EvidenceStrength, Observation},
    sample::Sample,
};

/// Highest probability that one test ever calls a good version bad.
const FALSE_ALARM_PROBABILITY: f64 = 1e-5;
/// Smallest evidence, as odds, at which a version is suspect.
const SUSPICION_ODDS: f64 = 1e3;
/// Latency of the new pool at a quantile, in percent of the old pool's, up to which it is not
/// counted as slow.
const LATENCY_TOLERANCE_PERCENT: u32 = 150;
/// Latency quantiles at which the pools are compared, each with the number of old latencies that
/// must be known.
const QUANTILES: [(f64, u64); 3] = [(0.95, 100), (0.99, 500), (0.999, 5_000)];
/// Number of old latencies in a generation. The last two generations are kept, so that the
/// quantiles follow recent behaviour.
const GENERATION_CALLS: u64 = 5_000;
/// P-value of the counts under a good version below which the share is not raised.
const MIN_EXCESS_P_VALUE: f64 = 0.01;
/// Percentage of the new pool's calls that may be refused before the pool counts as overloaded.
const MAX_REFUSED_PERCENT: u64 = 5;
/// Limit of the rate of failed calls.
const FAILURE_LIMIT: EventLimit = EventLimit {
    floor: 0.003,
    history_factor: 2.0,
};
/// Limit of the rate of responses cut off in the body.
const ABORT_LIMIT: EventLimit = EventLimit {
    floor: 0.002,
    history_factor: 2.0,
};

/// Result of the analysis of a new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// No evidence against the version.
    Clear,
    /// The counts fit a good version badly but prove nothing; the share is not raised.
    Inconclusive,
    /// The version is probably bad; the share is lowered.
    Suspect,
    /// The version is bad, for the given reason; the move is taken back.
    Bad(TakeBackReason),
}

/// Counts of one window that the tests compare.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Window {
    failures: Observation,
    aborted: Observation,
    latency: [Observation; QUANTILES.len()],
}

impl Window {
    /// Calls of both pools.
    pub(crate) const fn calls(&self) -> Sample {
        self.failures.sample
    }
}

/// History of the old pool of one route.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteHistory {
    failures: EventHistory,
    aborted: EventHistory,
    latency: [EventHistory; QUANTILES.len()],
    /// The older and the newer generation of latencies.
    generations: [LatencySketch; 2],
}

impl RouteHistory {
    /// Turns the evidence of one window into the counts that the tests compare, and adds it to the
    /// history. Latencies are left out of the counts while the new pool is cold. While it is
    /// overloaded, the counts are empty and the history is unchanged.
    ///
    /// Calls lost because a backend server crashed are left out: crashes are analysed by the
    /// requests that caused them.
    pub(crate) fn add_window(&mut self, evidence: &MoveEvidence, is_cold: bool) -> Window {
        let (old, new) = (&evidence.old, &evidence.new);
        if is_overloaded(new) {
            return Window::default();
        }
        let sample = |old_events, new_events| Sample {
            old_calls: old.calls.saturating_sub(old.crashes),
            old_events,
            new_calls: new.calls.saturating_sub(new.crashes),
            new_events,
        };
        let failures = sample(
            old.failures.saturating_sub(old.crashes),
            new.failures.saturating_sub(new.crashes),
        );
        let aborted = sample(old.aborted, new.aborted);
        let mut window = Window {
            failures: Observation::new(failures, &mut self.failures, FAILURE_LIMIT),
            aborted: Observation::new(aborted, &mut self.aborted, ABORT_LIMIT),
            ..Window::default()
        };
        if !is_cold {
            for (index, (quantile, min_calls)) in QUANTILES.into_iter().enumerate() {
                let sample = self.latency_sample(evidence, quantile, min_calls);
                window.latency[index] =
                    Observation::new(sample, &mut self.latency[index], latency_limit(quantile));
            }
        }
        self.add_latencies(&old.latency);
        window
    }

    /// Adds latencies of the old pool and starts a new generation when the current one is full.
    fn add_latencies(&mut self, latency: &LatencySketch) {
        if self.generations[1].len() >= GENERATION_CALLS {
            self.generations[0] = std::mem::take(&mut self.generations[1]);
        }
        self.generations[1].merge(latency);
    }

    /// Counts the calls of the old pool above a quantile of its earlier latencies, and those of
    /// the new pool above the same bound times the tolerance.
    fn latency_sample(&self, evidence: &MoveEvidence, quantile: f64, min_calls: u64) -> Sample {
        let mut sketch = self.generations[0].clone();
        sketch.merge(&self.generations[1]);
        if sketch.len() < min_calls {
            return Sample::default();
        }
        let bound = sketch.quantile(quantile).unwrap_or(Duration::ZERO);
        let tolerated = bound * LATENCY_TOLERANCE_PERCENT / 100;
        Sample {
            old_calls: evidence.old.latency.len(),
            old_events: evidence.old.latency.count_above(bound),
            new_calls: evidence.new.latency.len(),
            new_events: evidence.new.latency.count_above(tolerated),
        }
    }
}

/// Whether so many calls of the new pool were refused that failures and latencies reflect load,
/// not the version.
fn is_overloaded(new: &PoolEvidence) -> bool {
    new.refused * 100 > (new.calls + new.refused) * MAX_REFUSED_PERCENT
}

/// Limit of the rate of calls above a latency quantile.
fn latency_limit(quantile: f64) -> EventLimit {
    EventLimit {
        floor: (1.0 - quantile) * 1.5,
        history_factor: 1.5,
    }
}

/// The sequential tests on one move, or on all moves to one pool.
#[derive(Debug, Clone, Default)]
pub(crate) struct VersionAnalysis {
    failures: CombinedTest,
    aborted: CombinedTest,
    latency: [CombinedTest; QUANTILES.len()],
}

impl VersionAnalysis {
    /// Creates an analysis without evidence.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Adds the counts of several routes over one time window.
    pub(crate) fn add(&mut self, windows: &[Window]) {
        let select = |selector: fn(&Window) -> Observation| -> Vec<Observation> {
            windows.iter().map(selector).collect()
        };
        self.failures.add(&select(|w| w.failures));
        self.aborted.add(&select(|w| w.aborted));
        for (index, test) in self.latency.iter_mut().enumerate() {
            let window: Vec<_> = windows.iter().map(|w| w.latency[index]).collect();
            test.add(&window);
        }
    }

    /// The verdict on the evidence so far.
    pub(crate) fn verdict(&self) -> Verdict {
        let verdict = verdict_of(&self.strengths());
        if verdict == Verdict::Clear && self.is_inconclusive() {
            return Verdict::Inconclusive;
        }
        verdict
    }

    /// Describes the evidence for operators.
    pub(crate) fn describe(&self) -> String {
        let total = self.failures.total();
        let strengths = self.strengths();
        let strongest = strengths
            .iter()
            .max_by(|l, r| l.suspicion.total_cmp(&r.suspicion));
        let odds = strongest.map_or_else(String::new, |strength| {
            let log10_odds = strength.suspicion / std::f64::consts::LN_10;
            format!(
                ", strongest against it: {:?} with odds 10^{log10_odds:.1}",
                strength.reason
            )
        });
        format!(
            "new {} of {} failed, old {} of {} failed{odds}",
            total.new_events, total.new_calls, total.old_events, total.old_calls,
        )
    }

    /// Whether the total counts fit a good version badly, regardless of the order of events.
    fn is_inconclusive(&self) -> bool {
        self.failures.total().excess_p_value() < MIN_EXCESS_P_VALUE
            || self.latency[0].total().excess_p_value() < MIN_EXCESS_P_VALUE
            || self.latency[1].total().excess_p_value() < MIN_EXCESS_P_VALUE
    }

    fn strengths(&self) -> Vec<EvidenceStrength> {
        let latency = self.latency.iter();
        let mut strengths = vec![
            self.aborted.strength(TakeBackReason::AbortedBodies),
            self.failures.strength(TakeBackReason::Failures),
        ];
        strengths.extend(latency.map(|test| test.strength(TakeBackReason::Latency)));
        strengths
    }
}

/// Returns the verdict that follows from the strengths of several tests. The first test that
/// proves the version bad gives the reason.
pub(crate) fn verdict_of(strengths: &[EvidenceStrength]) -> Verdict {
    let proof = strengths
        .iter()
        .find(|s| s.proof >= -FALSE_ALARM_PROBABILITY.ln());
    match proof {
        Some(strength) => Verdict::Bad(strength.reason),
        None if strengths.iter().any(|s| s.suspicion >= SUSPICION_ODDS.ln()) => Verdict::Suspect,
        None => Verdict::Clear,
    }
}
