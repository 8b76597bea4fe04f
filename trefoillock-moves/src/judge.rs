//! The judge of a new version against the old one on the same route over the same time.

use std::time::Duration;

use trefoillock_core::{LatencySketch, MoveEnd, MoveEvidence, PoolEvidence};

use crate::{
    baseline::{History, Limit},
    evidence_test::{EvidenceTest, Observation, Strength},
    sample::Sample,
};

/// The highest probability that one of the tests ever calls a good version bad.
const FALSE_ALARM: f64 = 1e-5;
/// The evidence, as odds, from which a version is under suspicion.
const SUSPICION: f64 = 1e3;
/// How much slower the new version may be at a quantile without being bad, in percent.
const LATENCY_TOLERANCE_PERCENT: u32 = 150;
/// The quantiles of the old pool's latency at which both pools are compared, each with the
/// number of old latencies that must be known.
const QUANTILES: [(f64, u64); 3] = [(0.95, 100), (0.99, 500), (0.999, 5_000)];
/// The number of old latencies after which a new generation of them starts; the last two are
/// kept for the quantiles.
const GENERATION_CALLS: u64 = 5_000;
/// The lowest probability of the counts under a good version at which a share is raised.
const MIN_PLAUSIBILITY: f64 = 0.01;
/// The part of the new pool's calls, in percent, that may be refused before it counts as
/// overloaded.
const MAX_REFUSED_PERCENT: u64 = 5;
/// The limit of failures.
const FAILURE_LIMIT: Limit = Limit {
    floor: 0.003,
    factor: 2.0,
};
/// The limit of answers that were cut.
const ABORT_LIMIT: Limit = Limit {
    floor: 0.002,
    factor: 2.0,
};

/// What the evidence says of a new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// The counts do not fit a good version well; a share is not raised on them.
    Doubtful,
    /// It is probably bad.
    Suspect,
    /// It is bad.
    Bad(MoveEnd),
}

/// The counts of one window that the tests compare.
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

/// The history of the old pool of one route.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteHistory {
    failures: History,
    aborted: History,
    latency: [History; QUANTILES.len()],
    /// The older and the newer generation of latencies.
    generations: [LatencySketch; 2],
}

impl RouteHistory {
    /// Turns the evidence of one window into the counts that the tests compare. Latencies are
    /// left out while the new pool is cold.
    ///
    /// Calls lost with the process of a backend server are left out: crashes are judged by the
    /// requests that caused them.
    pub(crate) fn window(&mut self, evidence: &MoveEvidence, is_cold: bool) -> Window {
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
            for (at, (quantile, known)) in QUANTILES.into_iter().enumerate() {
                let sample = self.latency_sample(evidence, quantile, known);
                window.latency[at] =
                    Observation::new(sample, &mut self.latency[at], latency_limit(quantile));
            }
        }
        self.remember(&old.latency);
        window
    }

    fn remember(&mut self, latency: &LatencySketch) {
        if self.generations[1].len() >= GENERATION_CALLS {
            self.generations[0] = std::mem::take(&mut self.generations[1]);
        }
        self.generations[1].merge(latency);
    }

    /// How many calls of the old pool were above a quantile of its earlier latencies, and how
    /// many of the new pool above the same bound with the tolerance.
    fn latency_sample(&self, evidence: &MoveEvidence, quantile: f64, known: u64) -> Sample {
        let mut sketch = self.generations[0].clone();
        sketch.merge(&self.generations[1]);
        if sketch.len() < known {
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

/// Whether so many calls of the new pool were refused that failures and latencies speak of
/// load, not of the version.
fn is_overloaded(new: &PoolEvidence) -> bool {
    new.refused * 100 > (new.calls + new.refused) * MAX_REFUSED_PERCENT
}

/// The limit of latencies above a quantile.
fn latency_limit(quantile: f64) -> Limit {
    Limit {
        floor: (1.0 - quantile) * 1.5,
        factor: 1.5,
    }
}

/// The sequential tests on one move, or on all moves to one pool.
#[derive(Debug, Clone, Default)]
pub(crate) struct Judge {
    failures: EvidenceTest,
    aborted: EvidenceTest,
    latency: [EvidenceTest; QUANTILES.len()],
}

impl Judge {
    /// Creates a judge without evidence.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Adds the counts of several routes over one window of time.
    pub(crate) fn add(&mut self, windows: &[Window]) {
        let pick = |part: fn(&Window) -> Observation| -> Vec<Observation> {
            windows.iter().map(part).collect()
        };
        self.failures.add(&pick(|w| w.failures));
        self.aborted.add(&pick(|w| w.aborted));
        for (at, test) in self.latency.iter_mut().enumerate() {
            let window: Vec<_> = windows.iter().map(|w| w.latency[at]).collect();
            test.add(&window);
        }
    }

    /// What the evidence so far says.
    pub(crate) fn verdict(&self) -> Verdict {
        let verdict = verdict_of(&self.strengths());
        if verdict == Verdict::Clear && self.is_doubtful() {
            return Verdict::Doubtful;
        }
        verdict
    }

    /// The evidence in words.
    pub(crate) fn describe(&self) -> String {
        let total = self.failures.total();
        let strengths = self.strengths();
        let strongest = strengths
            .iter()
            .max_by(|l, r| l.suspicion.total_cmp(&r.suspicion));
        let odds = strongest.map_or_else(String::new, |strength| {
            let decimal = strength.suspicion / std::f64::consts::LN_10;
            format!(
                ", strongest against it: {:?} with odds 10^{decimal:.1}",
                strength.end
            )
        });
        format!(
            "new {} of {} failed, old {} of {} failed{odds}",
            total.new_events, total.new_calls, total.old_events, total.old_calls,
        )
    }

    /// Whether the counts fit a good version badly, without regard to the order of events.
    fn is_doubtful(&self) -> bool {
        self.failures.total().plausibility() < MIN_PLAUSIBILITY
            || self.latency[0].total().plausibility() < MIN_PLAUSIBILITY
            || self.latency[1].total().plausibility() < MIN_PLAUSIBILITY
    }

    fn strengths(&self) -> Vec<Strength> {
        let latency = self.latency.iter();
        let mut strengths = vec![
            self.aborted.strength(MoveEnd::AbortedBodies),
            self.failures.strength(MoveEnd::Failures),
        ];
        strengths.extend(latency.map(|test| test.strength(MoveEnd::Latency)));
        strengths
    }
}

/// The verdict that follows from the strengths of tests; the first proof gives the reason.
pub(crate) fn verdict_of(strengths: &[Strength]) -> Verdict {
    let proof = strengths.iter().find(|s| s.proof >= -FALSE_ALARM.ln());
    match proof {
        Some(strength) => Verdict::Bad(strength.end),
        None if strengths.iter().any(|s| s.suspicion >= SUSPICION.ln()) => Verdict::Suspect,
        None => Verdict::Clear,
    }
}
