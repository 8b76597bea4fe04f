//! What an entry node expects of a backend server between two reports of its expected time.

use std::time::Duration;

use trefoillock_core::Timestamp;

use crate::{LoadHint, TimeHint};

/// The time in which a difference of the pace of work from its average is expected to pass.
const PACE_MEMORY: Duration = Duration::from_millis(600);
/// The shortest time in which the number of calls at a server is expected to change.
const MIN_LOAD_MEMORY: Duration = Duration::from_millis(20);
/// The time over which the number of calls at a server is averaged.
const LOAD_SPAN: Duration = Duration::from_secs(2);
/// The time in which the expectation that a server is as full as in its reports passes without
/// further reports, so that it gets calls again.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// The squared share of the deviation of a number around zero that its positive part has in the
/// mean; 0.399 for a normal distribution.
const POSITIVE_PART_SHARE: f64 = 0.16;

/// The last report of a backend server's expected time, and averages of the reports before.
///
/// A report loses its meaning with age: the pace of work returns to its average, and the number of
/// calls to its average in the reports, with a deviation that grows up to the square root of that
/// number. The expected wait includes that deviation, so that a server whose slots are nearly full
/// in an old report isn't taken for one without a wait.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerForecast {
    time: TimeHint,
    /// Running and waiting calls in the last report, with those that this node has sent since.
    calls: f64,
    /// The moving average of the running and waiting calls in the reports.
    mean_calls: f64,
    slots: f64,
    reported_at: Timestamp,
}

impl ServerForecast {
    /// Creates the forecast from a report, and from the forecast before if there was one.
    pub(crate) fn new(
        now: Timestamp,
        hint: &LoadHint,
        time: TimeHint,
        previous: Option<&Self>,
    ) -> Self {
        let calls = f64::from(hint.running) + f64::from(hint.queued);
        let mean_calls = previous.map_or(calls, |previous| {
            let kept = decay(now.since(previous.reported_at), LOAD_SPAN);
            calls + (previous.mean_calls - calls) * kept
        });
        Self {
            time,
            calls,
            mean_calls,
            slots: f64::from(hint.slots.max(1)),
            reported_at: now,
        }
    }

    /// Counts a call that this node has sent to the server.
    pub(crate) fn record_start(&mut self) {
        self.calls += 1.0;
    }

    /// The share of the last report that has lost its meaning, between 0 and 1.
    pub(crate) fn staleness(&self, now: Timestamp) -> f64 {
        1.0 - decay(now.since(self.reported_at), self.load_memory())
    }

    /// Applies a refusal for lack of a slot: at least all slots are occupied.
    pub(crate) fn record_refusal(&mut self) {
        self.calls = self.calls.max(self.slots);
    }

    /// The expected time of a call sent now, in microseconds.
    pub(crate) fn expected_us(&self, now: Timestamp) -> f64 {
        self.service_us(now) + self.wait_us(now)
    }

    /// The expected service time of a call sent now, in microseconds.
    fn service_us(&self, now: Timestamp) -> f64 {
        let age = now.since(self.reported_at);
        let (current, usual) = (
            f64::from(self.time.service_us),
            f64::from(self.time.usual_us),
        );
        usual + (current - usual) * decay(age, PACE_MEMORY)
    }

    /// The expected wait for a slot of a call sent now, in microseconds.
    pub(crate) fn wait_us(&self, now: Timestamp) -> f64 {
        let age = now.since(self.reported_at);
        let kept = decay(age, self.load_memory());
        let calls = self.mean_calls + (self.calls - self.mean_calls) * kept;
        let calls = calls * decay(age, REPORT_LIFETIME);
        let variance = calls * (1.0 - kept * kept);
        let excess = calls + 1.0 - self.slots;
        let waiting = f64::midpoint(
            excess,
            (excess * excess + 4.0 * POSITIVE_PART_SHARE * variance).sqrt(),
        );
        self.service_us(now) / self.slots * waiting
    }

    /// The time in which the number of calls at the server changes: about that of one call.
    fn load_memory(&self) -> Duration {
        Duration::from_micros(self.time.usual_us.into()).max(MIN_LOAD_MEMORY)
    }
}

/// The share that is left of a quantity that decays exponentially.
fn decay(age: Duration, memory: Duration) -> f64 {
    (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}
