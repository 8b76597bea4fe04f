//! Sequential test that compares the new pool with the history of the old pool.
//!
//! It complements [`Comparison`](crate::Comparison), which needs concurrent calls of both pools.
//! Input is one [`Sample`] per window; output is the logarithm of the evidence that an event is
//! more frequent in the new pool than the history of the old pool allows.

use crate::{
    mixture::{ALTERNATIVES, MixtureMartingale},
    sample::{Sample, poisson_tail},
};

/// Ratios of the event rate to its limit that the test looks for.
const RATE_RATIOS: [f64; ALTERNATIVES] = [3.0, 10.0, 40.0, 200.0];
/// Number of old calls that the history needs before it is compared with.
const MIN_HISTORY: f64 = 30.0;
/// Number of old calls above which the history is halved, so that it follows recent behaviour.
const MAX_HISTORY: f64 = 5_000.0;
/// Number of event-free calls added to the history, so that a short history gives no extreme
/// rate.
const PRIOR_CALLS: f64 = 200.0;
/// Significance level at which the old pool's events in a window exceed the limit, so that a cause
/// other than the version is assumed.
const OLD_POOL_ELEVATED_P_VALUE: f64 = 0.05;
/// Significance level at which the old pool has fewer events than the new pool, so that the new
/// version is to blame.
const OLD_POOL_DEFICIT_P_VALUE: f64 = 1e-3;

/// The highest event rate (events per call) that counts as good.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EventLimit {
    /// Lower bound of the limit, in events per call.
    pub(crate) floor: f64,
    /// The limit as a multiple of the old pool's event rate.
    pub(crate) history_factor: f64,
}

/// Counts of one event type among the earlier calls of a route to its old pool.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EventHistory {
    calls: f64,
    events: f64,
}

impl EventHistory {
    /// Returns the log-likelihood ratios of a window, one per entry of [`RATE_RATIOS`].
    ///
    /// Returns `None` if the history is too short, if a pool had no calls, or if the old pool too
    /// had more events than its history explains: such a window says nothing about the version.
    #[expect(clippy::cast_precision_loss)]
    pub(crate) fn log_likelihood_ratios(
        &self,
        sample: &Sample,
        limit: EventLimit,
    ) -> Option<[f64; ALTERNATIVES]> {
        if self.calls < MIN_HISTORY || !sample.is_comparable() {
            return None;
        }
        let rate = (self.events + 1.0) / (self.calls + PRIOR_CALLS);
        let bound = (rate * limit.history_factor).max(limit.floor);
        if poisson_tail(sample.old_events, sample.old_calls as f64 * bound)
            < OLD_POOL_ELEVATED_P_VALUE
        {
            return None;
        }
        let (calls, events) = (sample.new_calls as f64, sample.new_events as f64);
        Some(RATE_RATIOS.map(|ratio| events * ratio.ln() - calls * bound * (ratio - 1.0)))
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

/// Test martingale for the null hypothesis "the event rate of the new pool is within its limit".
#[derive(Debug, Clone, Default)]
pub(crate) struct BaselineTest {
    mixture: MixtureMartingale,
    /// Counts since the evidence last favoured a good version, that is, was at most zero.
    counts_since_clear: Sample,
}

impl BaselineTest {
    /// Adds a window of one or more routes, each with its log-likelihood ratios.
    pub(crate) fn add<'a>(
        &mut self,
        windows: impl IntoIterator<Item = (&'a Sample, [f64; ALTERNATIVES])>,
    ) {
        let mut total = [0.0; ALTERNATIVES];
        let mut is_empty = true;
        for (sample, log_ratios) in windows {
            is_empty = false;
            self.counts_since_clear += *sample;
            for (sum, log_ratio) in total.iter_mut().zip(log_ratios) {
                *sum += log_ratio;
            }
        }
        if is_empty {
            return;
        }
        self.mixture.add(total);
        if self.log_evidence() <= 0.0 {
            self.counts_since_clear = Sample::default();
        }
    }

    /// The natural logarithm of the evidence that the event rate exceeds its limit.
    pub(crate) fn log_evidence(&self) -> f64 {
        self.mixture.log_evidence()
    }

    /// Whether the old pool had significantly fewer events than the new pool over the same time,
    /// so that a cause common to both pools is ruled out.
    pub(crate) fn is_old_pool_unaffected(&self) -> bool {
        self.counts_since_clear.old_deficit_p_value() < OLD_POOL_DEFICIT_P_VALUE
    }
}
