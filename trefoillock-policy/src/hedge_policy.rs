//! Decides when a second copy of a slow lookup is sent to another backend server.

use std::time::Duration;

use trefoillock_core::{LatencySketch, RouteClass, Timestamp};

/// The minimum length of a window of latencies. The first call after this time starts a new one.
const WINDOW: Duration = Duration::from_secs(10);
/// The latency quantile that is used as the delay before a hedge.
const QUANTILE: f64 = 0.95;
/// The number of latencies in a window below which no lookup is hedged.
const MIN_SAMPLES: u64 = 50;
/// The deposit per lookup, in thousandths of a hedge.
const DEPOSIT_MILLI: u32 = 50;
/// The cost of a hedge, in thousandths of a hedge.
const COST_MILLI: u32 = 1_000;
/// The capacity of the budget, in thousandths of a hedge.
const CAPACITY_MILLI: u32 = 10_000;
/// The shortest delay before a hedge.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Decides whether and when the lookups of one route are hedged.
///
/// The delay is the 95th percentile of the latencies in the previous window, which spans 10 to 20
/// seconds. The budget is a token bucket that limits hedges to one for every twenty lookups.
#[derive(Debug, Clone, Default)]
pub struct HedgePolicy {
    current: LatencySketch,
    previous: LatencySketch,
    window_start: Timestamp,
    delay: Option<Duration>,
    budget_milli: u32,
}

impl HedgePolicy {
    /// Creates a state with no latencies and an empty budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the latency of a call that was answered in full. Pass only calls that were not
    /// hedged: a hedge cuts off long latencies, so counting hedged calls would lower the delay
    /// again and again.
    pub fn record(&mut self, now: Timestamp, latency: Duration) {
        self.rotate(now);
        self.current.record(latency);
    }

    /// Deposits for a call that starts, and returns the delay after which it may be hedged. Returns
    /// `None` for a call that is not a lookup, and while there are too few latencies.
    pub fn start(&mut self, now: Timestamp, class: RouteClass) -> Option<Duration> {
        if class != RouteClass::Lookup {
            return None;
        }
        self.budget_milli = (self.budget_milli + DEPOSIT_MILLI).min(CAPACITY_MILLI);
        self.rotate(now);
        self.delay
    }

    /// Withdraws the cost of one hedge, after the delay has passed. Returns false if the budget is
    /// too low.
    #[must_use]
    pub const fn withdraw(&mut self) -> bool {
        if self.budget_milli < COST_MILLI {
            return false;
        }
        self.budget_milli -= COST_MILLI;
        true
    }

    /// Starts a new window if the current one has ended, and updates the delay.
    fn rotate(&mut self, now: Timestamp) {
        let age = now.since(self.window_start);
        if age < WINDOW {
            return;
        }
        let ended = std::mem::take(&mut self.current);
        self.previous = if age < WINDOW * 2 {
            ended
        } else {
            LatencySketch::new()
        };
        self.window_start = now;
        let enough = self.previous.len() >= MIN_SAMPLES;
        self.delay = if enough {
            self.previous
                .quantile(QUANTILE)
                .map(|delay| delay.max(MIN_DELAY))
        } else {
            None
        };
    }
}
