//! Limits the rate at which calls start, by the generic cell rate algorithm.

use std::time::Duration;

use trefoillock_core::{CallRate, Timestamp};

/// The time by which a call may start before its turn, if it is longer than the time between two
/// calls. It lets a server that had no demand for a moment get the calls that it missed.
const MIN_BURST_TOLERANCE: Duration = Duration::from_millis(100);
/// The longest time between two calls. A server that states a lower rate, or none, still gets a
/// call from time to time, because only its answers tell when the limit has changed.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// A limit on the rate at which calls to one server start.
///
/// Each call takes a turn, and turns are one interval of the rate apart.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    limit: Option<CallRate>,
    /// The turn of the next call.
    next_turn: Timestamp,
}

impl RateLimiter {
    /// The limit; `None` if the rate is not limited.
    pub(crate) const fn limit(&self) -> Option<CallRate> {
        self.limit
    }

    /// Replaces the limit. The first call under a new limit waits for one interval; if the limit
    /// only changes, the calls that have started ahead of their turns count as before, but delay
    /// the next one by no more than an interval.
    pub(crate) fn set_limit(&mut self, now: Timestamp, limit: Option<CallRate>) {
        let previous = std::mem::replace(&mut self.limit, limit);
        match (previous, limit) {
            (None, Some(rate)) => self.next_turn = now + interval(rate),
            (Some(old), Some(new)) if old != new => {
                let calls_ahead = self.next_turn.since(now).div_duration_f64(interval(old));
                let latest = interval(new) + burst_tolerance(new);
                self.next_turn = now + interval(new).mul_f64(calls_ahead).min(latest);
            }
            _ => {}
        }
    }

    /// Whether a call may start now.
    pub(crate) fn has_turn(&self, now: Timestamp) -> bool {
        self.wait(now, 0).is_zero()
    }

    /// Takes the turn of a call that starts now.
    pub(crate) fn take_turn(&mut self, now: Timestamp) {
        if let Some(rate) = self.limit {
            self.next_turn = self.next_turn.max(now) + interval(rate);
        }
    }

    /// The time until a call may start, if `ahead` calls start before it.
    pub(crate) fn wait(&self, now: Timestamp, ahead: usize) -> Duration {
        let Some(rate) = self.limit else {
            return Duration::ZERO;
        };
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let turn = self.next_turn.max(now) + interval(rate).saturating_mul(ahead);
        turn.since(now + burst_tolerance(rate))
    }
}

fn burst_tolerance(rate: CallRate) -> Duration {
    interval(rate).max(MIN_BURST_TOLERANCE)
}

fn interval(rate: CallRate) -> Duration {
    rate.interval()
        .map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL))
}
