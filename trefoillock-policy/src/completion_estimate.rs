//! The expected time of a call at the backend server beside a node, from measured service times and
//! the pace of work that the server states.

use std::time::Duration;

use trefoillock_core::Timestamp;

use crate::{LoadHint, TimeHint, WorkPace};

/// The time in which a change of the pace is expected to pass. Other workloads on a machine run by
/// turns of about this length.
const PACE_MEMORY: Duration = Duration::from_millis(600);
/// The age of the last statement from which the pace counts as unknown.
const PACE_LIFETIME: Duration = Duration::from_secs(10);
/// The time over which the usual pace is averaged.
const USUAL_PACE_SPAN: Duration = Duration::from_secs(10);
/// The lowest weight of a call in the mean work. Service times vary by more than their mean, so that
/// a mean of about ten calls would be wrong by a third.
const MIN_WORK_WEIGHT: f64 = 0.01;

/// A reading of the work that a server could have done for one call up to a point in time, taken
/// when a call is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkMark(f64);

/// Estimates the time of a call that is offered to one backend server now.
///
/// The work of a call is its service time divided by the pace in force while it ran, so that the
/// mean work doesn't depend on how often the machine was slow lately. A stated pace is expected to
/// return to its average, because other workloads on the machine come and go.
#[derive(Debug)]
pub struct CompletionEstimate {
    /// The last stated pace, as a factor on the duration of work.
    stated: Option<(f64, Timestamp)>,
    /// The moving average of the pace, as a factor on the duration of work.
    usual_factor: f64,
    /// The work that one call could have had done since the beginning, in seconds at the usual pace.
    work_s: f64,
    advanced_at: Timestamp,
    mean_work_s: f64,
    samples: u32,
}

impl CompletionEstimate {
    /// Creates an estimate that knows nothing yet.
    #[must_use]
    pub const fn new(now: Timestamp) -> Self {
        Self {
            stated: None,
            usual_factor: 1.0,
            work_s: 0.0,
            advanced_at: now,
            mean_work_s: 0.0,
            samples: 0,
        }
    }

    /// Applies the pace that the server has stated in a response.
    pub fn record_pace(&mut self, now: Timestamp, pace: WorkPace) {
        let factor = pace.factor();
        if self.stated.is_none() {
            self.usual_factor = factor;
        }
        self.advance(now);
        self.stated = Some((factor, now));
    }

    /// Takes a mark when a call is sent to the server.
    #[must_use]
    pub fn mark(&mut self, now: Timestamp) -> WorkMark {
        self.advance(now);
        WorkMark(self.work_s)
    }

    /// Counts the service time of a call that was sent when `mark` was taken. Without a stated pace
    /// the time says nothing about the work.
    pub fn record_service(&mut self, now: Timestamp, mark: WorkMark) {
        self.advance(now);
        if !self.knows_pace(now) {
            return;
        }
        let work_s = (self.work_s - mark.0).max(0.0);
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_WORK_WEIGHT);
        self.mean_work_s += weight * (work_s - self.mean_work_s);
    }

    /// The expected time of a call offered now to a server with this load; `None` if the server does
    /// not state its pace or no service time was measured.
    #[must_use]
    pub fn time_hint(&self, now: Timestamp, load: &LoadHint) -> Option<TimeHint> {
        if !self.knows_pace(now) || self.samples == 0 {
            return None;
        }
        let current_s = self.mean_work_s * self.factor(now);
        let usual_s = self.mean_work_s * self.usual_factor;
        // The share of the call's time for which the pace is expected to stay.
        let memory_s = PACE_MEMORY.as_secs_f64();
        let stays = if current_s > 0.0 {
            memory_s / current_s * -(-current_s / memory_s).exp_m1()
        } else {
            1.0
        };
        let service_s = usual_s + (current_s - usual_s) * stays;
        let is_full = load.running >= load.slots || load.queued > 0;
        let wait_s = if is_full {
            service_s * (f64::from(load.queued) + 1.0) / f64::from(load.slots.max(1))
        } else {
            0.0
        };
        Some(TimeHint {
            wait_us: to_micros(wait_s),
            service_us: to_micros(service_s),
            usual_us: to_micros(usual_s),
        })
    }

    fn knows_pace(&self, now: Timestamp) -> bool {
        self.stated
            .is_some_and(|(_, at)| now.since(at) < PACE_LIFETIME)
    }

    /// The pace at a time after the last statement, as a factor on the duration of work.
    fn factor(&self, at: Timestamp) -> f64 {
        let Some((factor, stated_at)) = self.stated else {
            return self.usual_factor;
        };
        let age = at.since(stated_at).as_secs_f64() / PACE_MEMORY.as_secs_f64();
        self.usual_factor + (factor - self.usual_factor) * (-age).exp()
    }

    /// Advances the work clock at the pace that was in force.
    fn advance(&mut self, now: Timestamp) {
        let passed = now.since(self.advanced_at);
        if passed.is_zero() {
            return;
        }
        let factor = self.factor(self.advanced_at + passed / 2);
        self.work_s += passed.as_secs_f64() / factor;
        let weight = -(-passed.as_secs_f64() / USUAL_PACE_SPAN.as_secs_f64()).exp_m1();
        self.usual_factor += weight * (factor - self.usual_factor);
        self.advanced_at = now;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of the type"
)]
fn to_micros(seconds: f64) -> u32 {
    (seconds * 1e6).clamp(0.0, f64::from(u32::MAX)) as u32
}
