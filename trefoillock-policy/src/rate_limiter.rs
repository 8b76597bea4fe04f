//! Limits the rate at which calls start, by the generic cell rate algorithm.

use std::time::Duration;

use trefoillock_core::{CallRate, Timestamp};

use crate::recent_starts::RecentStarts;

/// The time by which a call may start before its turn, if it is longer than the time between two
/// calls. It lets a server that had no demand for a moment get the calls that it missed.
const MIN_BURST_TOLERANCE: Duration = Duration::from_millis(100);
/// The longest time between two calls. A server that states a lower rate, or none, still gets a
/// call from time to time, because only its answers tell when the limit has changed.
const MAX_INTERVAL: Duration = Duration::from_secs(2);
/// The time in which the calls to a cold server are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// The turns of a cold server for which a call may wait. In a simulated failback at 60% load, 0.35%
/// of the calls were late if they could wait for their whole latency objective, and with two turns
/// 1.1% were refused because two cold servers in a row had no turn; with three turns 0.1%.
const COLD_QUEUE_TURNS: u32 = 3;
/// The calls that are counted for a time in which unknown calls may have started: more than any
/// rate of a cold server in use, and few enough to be added up.
const UNKNOWN_CALLS: u32 = 1 << 24;

/// The limits on the rate at which calls to one server start: the one that the server states, and
/// the one that holds while it is cold. The lower of the two is in force.
///
/// Each call takes a turn, and turns are one interval of the rate apart. While the server is cold,
/// no sliding second has more starts than the turns of a second and the burst tolerance give,
/// including the calls that started before the server turned cold.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    stated: Option<CallRate>,
    cold: Option<CallRate>,
    /// The turn of the next call.
    next_turn: Timestamp,
    recent: RecentStarts,
}

impl RateLimiter {
    /// The limit in force; `None` if the rate is not limited.
    pub(crate) const fn limit(&self) -> Option<CallRate> {
        match (self.stated, self.cold) {
            (Some(stated), Some(cold)) if cold.micros_per_s() < stated.micros_per_s() => Some(cold),
            (None, cold) => cold,
            (stated, _) => stated,
        }
    }

    /// The limit that the server states; `None` if it states none.
    pub(crate) const fn stated(&self) -> Option<CallRate> {
        self.stated
    }

    /// The limit that holds because the server is cold; `None` if it is not.
    pub(crate) const fn cold(&self) -> Option<CallRate> {
        self.cold
    }

    /// Replaces the limit that the server states. The first call under a new limit waits for one
    /// interval; if the limit only changes, the calls that have started ahead of their turns count
    /// as before, but delay the next one by no more than an interval.
    pub(crate) fn set_stated(&mut self, now: Timestamp, stated: Option<CallRate>) {
        let previous = self.limit();
        self.stated = stated;
        self.change_turns(now, previous);
    }

    /// Replaces the limit that holds because the server is cold. The first turn comes when the calls
    /// that started in the second before leave room for it.
    pub(crate) fn set_cold(&mut self, now: Timestamp, cold: Option<CallRate>) {
        let previous = self.limit();
        let turned_cold = self.cold.is_none() && cold.is_some();
        self.cold = cold;
        self.change_turns(now, previous);
        if turned_cold && let Some(rate) = self.limit() {
            let room = now + self.window_wait(now, 0) + burst_tolerance(rate);
            self.next_turn = self.next_turn.max(room);
        }
    }

    /// Counts the second that begins at `at` as used up for a cold server, because the calls that
    /// started before `at` are not known.
    pub(crate) fn assume_used(&mut self, at: Timestamp) {
        self.recent.record(at, UNKNOWN_CALLS);
    }

    /// The number of calls that started within the last second.
    pub(crate) fn recent_starts(&self, now: Timestamp) -> u32 {
        self.recent.count(now)
    }

    /// Takes over the calls that another limiter has counted for the same server.
    pub(crate) fn inherit_starts(&mut self, earlier: &Self) {
        self.recent = earlier.recent.clone();
    }

    /// The longest time that a call waits for a cold server; [`Duration::MAX`] if it is not cold.
    pub(crate) fn longest_cold_wait(&self) -> Duration {
        self.cold.map_or(Duration::MAX, |cold| {
            interval(cold).saturating_mul(COLD_QUEUE_TURNS)
        })
    }

    /// Whether a call may start now.
    pub(crate) fn has_turn(&self, now: Timestamp) -> bool {
        self.wait(now, 0).is_zero()
    }

    /// Takes the turn of a call that starts now.
    pub(crate) fn take_turn(&mut self, now: Timestamp) {
        self.recent.record(now, 1);
        if let Some(rate) = self.limit() {
            self.next_turn = self.next_turn.max(now) + interval(rate);
        }
    }

    /// The time until a call may start, if `ahead` calls start before it.
    pub(crate) fn wait(&self, now: Timestamp, ahead: usize) -> Duration {
        let Some(rate) = self.limit() else {
            return Duration::ZERO;
        };
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let turn = self.next_turn.max(now) + interval(rate).saturating_mul(ahead);
        turn.since(now + burst_tolerance(rate))
            .max(self.window_wait(now, ahead))
    }

    /// The time until the sliding second of a cold server has room.
    fn window_wait(&self, now: Timestamp, ahead: u32) -> Duration {
        self.cold.map_or(Duration::ZERO, |cold| {
            self.recent.wait(now, calls_per_window(cold), ahead)
        })
    }

    /// Adapts the next turn after the limit in force has changed.
    fn change_turns(&mut self, now: Timestamp, previous: Option<CallRate>) {
        match (previous, self.limit()) {
            (None, Some(rate)) => self.next_turn = now + interval(rate),
            (Some(old), Some(new)) if old != new => {
                let calls_ahead = self.next_turn.since(now).div_duration_f64(interval(old));
                let latest = interval(new) + burst_tolerance(new);
                self.next_turn = now + interval(new).mul_f64(calls_ahead).min(latest);
            }
            _ => {}
        }
    }
}

/// The largest number of calls that the turns of a rate allow in a [`COLD_WINDOW`].
fn calls_per_window(rate: CallRate) -> u32 {
    let turns = (COLD_WINDOW + burst_tolerance(rate)).div_duration_f64(interval(rate));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the conversion saturates"
    )]
    let turns = turns as u32;
    turns.saturating_add(1)
}

fn burst_tolerance(rate: CallRate) -> Duration {
    interval(rate).max(MIN_BURST_TOLERANCE)
}

fn interval(rate: CallRate) -> Duration {
    rate.interval()
        .map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL))
}
