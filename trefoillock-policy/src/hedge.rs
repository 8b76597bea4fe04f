//! When a second copy of a slow lookup is sent.

use std::time::Duration;

use trefoillock_core::{LatencySketch, RouteClass, Timestamp};

/// The time after which a new window of latencies begins.
const WINDOW: Duration = Duration::from_secs(10);
/// The quantile of the latency after which a lookup is hedged.
const QUANTILE: f64 = 0.95;
/// The number of latencies below which no lookup is hedged.
const MIN_SAMPLES: u64 = 50;
/// Thousandths of a hedge that one call pays in.
const DEPOSIT_MILLI: u32 = 50;
/// Thousandths of a hedge that one hedge costs.
const COST_MILLI: u32 = 1_000;
/// The most that the budget holds, in thousandths of a hedge.
const CAPACITY_MILLI: u32 = 10_000;
/// The shortest delay before a hedge.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Decides on hedges for the lookups of one route.
///
/// The delay is a quantile of the latencies of the last 10 to 20 seconds. The budget is a share
/// of the calls: at most one hedge for twenty.
#[derive(Debug, Clone, Default)]
pub struct Hedge {
    current: LatencySketch,
    previous: LatencySketch,
    window_start: Timestamp,
    delay: Option<Duration>,
    milli: u32,
}

impl Hedge {
    /// Creates a hedge without latencies and budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call that was answered in full within a latency. Only calls that were not
    /// hedged are counted, else the delay would shrink by its own effect.
    pub fn record(&mut self, now: Timestamp, latency: Duration) {
        self.rotate(now);
        self.current.record(latency);
    }

    /// Counts a call and returns the time after which it may be hedged, if it may.
    pub fn start(&mut self, now: Timestamp, class: RouteClass) -> Option<Duration> {
        if class != RouteClass::Lookup {
            return None;
        }
        self.milli = (self.milli + DEPOSIT_MILLI).min(CAPACITY_MILLI);
        self.rotate(now);
        self.delay
    }

    /// Takes the cost of one hedge from the budget when the delay has passed.
    #[must_use]
    pub const fn withdraw(&mut self) -> bool {
        if self.milli < COST_MILLI {
            return false;
        }
        self.milli -= COST_MILLI;
        true
    }

    /// Begins a new window if the present one has ended.
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
            self.previous.quantile(QUANTILE).map(|d| d.max(MIN_DELAY))
        } else {
            None
        };
    }
}
