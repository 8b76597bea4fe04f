//! The judge of a new version against the old one on the same route over the same time.

use std::time::Duration;

use trefoillock_core::{LatencySketch, MoveEnd, MoveEvidence, PoolEvidence};

use crate::comparison::{Comparison, Sample};

/// The highest probability that one of the tests ever calls a good version bad. A move has six
/// tests of its own and shares six with the other moves to the same pool.
const FALSE_ALARM: f64 = 1e-5;
/// The evidence, as odds, from which a version is under suspicion.
const SUSPICION: f64 = 1e3;
/// How much slower the new version may be at a quantile without being bad, in percent.
const LATENCY_TOLERANCE_PERCENT: u32 = 150;
/// The quantiles of the old pool's latency at which both pools are compared, each with the
/// number of old latencies that must be known.
const QUANTILES: [(f64, u64); 3] = [(0.95, 100), (0.99, 500), (0.999, 5_000)];
/// Windows with crashes whose lost connections are not counted as failures, since a single
/// request that is resent can cause them.
const FORGIVEN_CRASH_WINDOWS: u32 = 4;
/// The number of old latencies after which their counts are halved, so that the quantiles
/// follow the present.
const HISTORY_CALLS: u64 = 100_000;
/// The lowest probability of the counts under a good version at which a share is raised.
const MIN_PLAUSIBILITY: f64 = 0.01;

/// What the evidence says of a new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
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
#[derive(Debug, Clone, Default)]
pub(crate) struct Window {
    failures: Sample,
    aborted: Sample,
    crashes: Sample,
    latency: [Sample; QUANTILES.len()],
}

/// Counts of a whole step, compared without regard to the order of events.
#[derive(Debug, Clone, Copy, Default)]
struct Total(Sample);

impl Total {
    const fn add(&mut self, sample: Sample) {
        self.0.old_calls += sample.old_calls;
        self.0.old_events += sample.old_events;
        self.0.new_calls += sample.new_calls;
        self.0.new_events += sample.new_events;
    }

    /// The probability of at least as many events in the new pool if it were as good as the
    /// old one.
    #[expect(clippy::cast_precision_loss)]
    fn plausibility(&self) -> f64 {
        let old_rate = (self.0.old_events as f64 + 1.0) / (self.0.old_calls as f64 + 1.0);
        poisson_tail(self.0.new_events, self.0.new_calls as f64 * old_rate)
    }
}

/// The probability that a Poisson variable with the given mean reaches `count`.
#[expect(clippy::cast_precision_loss)]
fn poisson_tail(count: u64, mean: f64) -> f64 {
    if (count as f64) <= mean {
        return 1.0;
    }
    let mut term = (-mean).exp();
    let mut below = 0.0;
    for k in 0..count {
        below += term;
        term *= mean / (k + 1) as f64;
    }
    1.0 - below
}

/// The sequential tests on one move, or on all moves to one pool.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    failures: Comparison,
    aborted: Comparison,
    crashes: Comparison,
    latency: [Comparison; QUANTILES.len()],
    total_failures: Total,
    total_latency: Total,
    history: LatencySketch,
    crash_windows: [u32; 2],
}

impl Judge {
    /// Creates a judge without evidence.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the evidence of one report. Latencies are left out while the new pool is cold.
    pub fn add(&mut self, evidence: &MoveEvidence, is_cold: bool) {
        let window = self.window(evidence, is_cold);
        self.add_windows(std::slice::from_ref(&window));
    }

    /// Turns the evidence of one report into the counts that the tests compare.
    pub(crate) fn window(&mut self, evidence: &MoveEvidence, is_cold: bool) -> Window {
        let (old, new) = (&evidence.old, &evidence.new);
        let old_lost = Self::forgiven(&mut self.crash_windows[0], old);
        let new_lost = Self::forgiven(&mut self.crash_windows[1], new);
        let sample = |old_events, new_events| Sample {
            old_calls: old.calls.saturating_sub(old_lost),
            old_events,
            new_calls: new.calls.saturating_sub(new_lost),
            new_events,
        };
        let window = Window {
            failures: sample(
                old.failures.saturating_sub(old_lost),
                new.failures.saturating_sub(new_lost),
            ),
            aborted: sample(old.aborted, new.aborted),
            crashes: sample(old.crashes.min(1), new.crashes.min(1)),
            latency: if is_cold {
                Default::default()
            } else {
                QUANTILES.map(|(quantile, known)| self.latency_sample(evidence, quantile, known))
            },
        };
        self.remember(&old.latency);
        window
    }

    /// Adds the counts of several routes over one window of time.
    pub(crate) fn add_windows(&mut self, windows: &[Window]) {
        let strata = |pick: fn(&Window) -> Sample| windows.iter().map(pick).collect::<Vec<_>>();
        self.failures.add_strata(&strata(|w| w.failures));
        self.aborted.add_strata(&strata(|w| w.aborted));
        self.crashes.add_strata(&strata(|w| w.crashes));
        for (at, test) in self.latency.iter_mut().enumerate() {
            let samples: Vec<_> = windows.iter().map(|w| w.latency[at]).collect();
            test.add_strata(&samples);
        }
        for window in windows {
            self.total_failures.add(window.failures);
            self.total_latency.add(window.latency[0]);
        }
    }

    /// What the evidence so far says.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let (log_evidence, end) = self.strongest();
        if log_evidence >= -FALSE_ALARM.ln() {
            return Verdict::Bad(end);
        }
        if log_evidence >= SUSPICION.ln() {
            return Verdict::Suspect;
        }
        let doubtful = self.total_failures.plausibility() < MIN_PLAUSIBILITY
            || self.total_latency.plausibility() < MIN_PLAUSIBILITY;
        if doubtful {
            return Verdict::Doubtful;
        }
        Verdict::Clear
    }

    /// The evidence in words.
    #[must_use]
    pub fn describe(&self) -> String {
        let total = self.total_failures.0;
        let (log_evidence, end) = self.strongest();
        format!(
            "new {}/{} failed, old {}/{} failed, strongest evidence against it is {:?} with odds 10^{:.1}",
            total.new_events,
            total.new_calls,
            total.old_events,
            total.old_calls,
            end,
            log_evidence / std::f64::consts::LN_10,
        )
    }

    /// The test with the strongest evidence.
    fn strongest(&self) -> (f64, MoveEnd) {
        let latency = self.latency.iter().map(|test| (test, MoveEnd::Latency));
        let others = [
            (&self.failures, MoveEnd::Failures),
            (&self.crashes, MoveEnd::Crashes),
            (&self.aborted, MoveEnd::AbortedBodies),
        ];
        latency
            .chain(others)
            .map(|(test, end)| (test.log_evidence(), end))
            .max_by(|left, right| left.0.total_cmp(&right.0))
            .unwrap_or((f64::NEG_INFINITY, MoveEnd::Failures))
    }

    /// The connections that were lost with a crash and are not counted as failures.
    fn forgiven(windows: &mut u32, pool: &PoolEvidence) -> u64 {
        if pool.crashes == 0 {
            return 0;
        }
        *windows = windows.saturating_add(1);
        if *windows <= FORGIVEN_CRASH_WINDOWS {
            pool.crashes
        } else {
            0
        }
    }

    /// How many calls of the old pool were above a quantile of its earlier latencies, and how
    /// many of the new pool above the same bound with the tolerance.
    fn latency_sample(&self, evidence: &MoveEvidence, quantile: f64, known: u64) -> Sample {
        if self.history.len() < known {
            return Sample::default();
        }
        let bound = self.history.quantile(quantile).unwrap_or(Duration::ZERO);
        let tolerated = bound * LATENCY_TOLERANCE_PERCENT / 100;
        Sample {
            old_calls: evidence.old.latency.len(),
            old_events: evidence.old.latency.count_above(bound),
            new_calls: evidence.new.latency.len(),
            new_events: evidence.new.latency.count_above(tolerated),
        }
    }

    fn remember(&mut self, latency: &LatencySketch) {
        if self.history.len() < HISTORY_CALLS {
            self.history.merge(latency);
        }
    }
}
