//! A sequential test of the new pool against the earlier calls of the old one.

use crate::{
    mixture::{ALTERNATIVES, Mixture},
    sample::{Sample, poisson_tail},
};

/// The ratios of the event's frequency to its bound that the test looks for.
const RATIOS: [f64; ALTERNATIVES] = [3.0, 10.0, 40.0, 200.0];
/// The number of old calls that must be known.
const MIN_HISTORY: f64 = 30.0;
/// The number of old calls from which their counts are halved, so that they follow the present.
const MAX_HISTORY: f64 = 5_000.0;
/// The number of calls without event that are added to the history.
const PRIOR_CALLS: f64 = 200.0;
/// The probability of the old pool's events below which something else than the version is
/// taken to be at work.
const ELEVATED: f64 = 0.05;
/// The probability that the old pool was spared by chance, below which the new version is to
/// blame.
const SPARED_BY_CHANCE: f64 = 1e-3;

/// What frequency of an event is still good.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limit {
    /// The lowest bound.
    pub(crate) floor: f64,
    /// The bound as a multiple of the old pool's frequency.
    pub(crate) factor: f64,
}

/// The earlier calls of the old pool of one route.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct History {
    calls: f64,
    events: f64,
}

impl History {
    /// The logarithms of the likelihood ratios of a window, and its counts if they say anything.
    ///
    /// A window in which the old pool too had more events than its history explains says
    /// nothing of the version.
    #[expect(clippy::cast_precision_loss)]
    pub(crate) fn judge(&self, sample: &Sample, limit: Limit) -> Option<[f64; ALTERNATIVES]> {
        if self.calls < MIN_HISTORY || !sample.is_comparable() {
            return None;
        }
        let frequency = (self.events + 1.0) / (self.calls + PRIOR_CALLS);
        let bound = (frequency * limit.factor).max(limit.floor);
        if poisson_tail(sample.old_events, sample.old_calls as f64 * bound) < ELEVATED {
            return None;
        }
        let (calls, events) = (sample.new_calls as f64, sample.new_events as f64);
        Some(RATIOS.map(|ratio| events * ratio.ln() - calls * bound * (ratio - 1.0)))
    }

    /// Adds the old pool's calls of a window.
    #[expect(clippy::cast_precision_loss)]
    pub(crate) fn add(&mut self, sample: &Sample) {
        self.calls += sample.old_calls as f64;
        self.events += sample.old_events as f64;
        if self.calls > MAX_HISTORY {
            self.calls /= 2.0;
            self.events /= 2.0;
        }
    }
}

/// A test martingale for "the event is not more frequent in the new pool than its bound".
#[derive(Debug, Clone, Default)]
pub(crate) struct Baseline {
    mixture: Mixture,
    /// The counts since the evidence last pointed to a good version.
    episode: Sample,
}

impl Baseline {
    /// Adds a window of one or more routes, with what it says for each.
    pub(crate) fn add<'a>(
        &mut self,
        windows: impl IntoIterator<Item = (&'a Sample, [f64; ALTERNATIVES])>,
    ) {
        let mut total = [0.0; ALTERNATIVES];
        let mut is_empty = true;
        for (sample, gains) in windows {
            is_empty = false;
            self.episode += *sample;
            for (sum, gain) in total.iter_mut().zip(gains) {
                *sum += gain;
            }
        }
        if is_empty {
            return;
        }
        self.mixture.add(total);
        if self.log_evidence() <= 0.0 {
            self.episode = Sample::default();
        }
    }

    /// The logarithm of the evidence that the event is more frequent than its bound.
    pub(crate) fn log_evidence(&self) -> f64 {
        self.mixture.log_evidence()
    }

    /// Whether the old pool was spared at the same time by more than chance, so that nothing
    /// but the version explains the events.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.episode.chance_of_sparing_old() < SPARED_BY_CHANCE
    }
}
