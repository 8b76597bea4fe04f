//! Decides whether a backend server is cold, from what it states and what happened to it.

use std::time::Duration;

use trefoillock_core::{CallRate, Timestamp, WarmUp};

/// The time by which a backend server is treated as cold beyond what it states, because the stated
/// time may be rounded.
const STATED_MARGIN: Duration = Duration::from_millis(50);
/// The longest time for which a statement holds, which is also the longest that the tables allow.
const MAX_STATED: Duration = Duration::from_hours(1);

/// What is known about the temperature of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It has stated that it is warm.
    Warm,
    /// It has stated how long it stays cold.
    Until(Timestamp),
    /// It is assumed to be cold since this time, for the time that its pool states.
    AssumedSince(Timestamp),
}

/// Whether a backend server is cold, as its node knows it.
///
/// A backend server that starts is cold unless it states otherwise, and so is one about which
/// nothing is known. The last statement holds until the next one, or until an event after which it
/// may be outdated. Without a [`WarmUp`] in the policy of its pool, a cold backend server is not
/// limited.
///
/// ```
/// use std::time::Duration;
/// use trefoillock_core::{CallRate, Timestamp, WarmUp};
/// use trefoillock_policy::WarmUpPhase;
///
/// let start = Timestamp::from_secs(10);
/// let rate = CallRate::try_from(13.0).expect("a rate");
/// let mut phase = WarmUpPhase::cold_since(start);
/// assert_eq!(phase.cold_rate(start), None, "the pool states no limit");
/// phase.set_policy(Some(WarmUp { duration_ms: 3_000, rate }));
/// assert_eq!(phase.cold_rate(start), Some(rate));
/// phase.record_statement(start, Some(Duration::ZERO));
/// assert_eq!(phase.cold_rate(start), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUpPhase {
    policy: Option<WarmUp>,
    phase: Phase,
}

impl WarmUpPhase {
    /// The phase of a backend server that has started, or is first seen, at a time.
    #[must_use]
    pub const fn cold_since(now: Timestamp) -> Self {
        Self {
            policy: None,
            phase: Phase::AssumedSince(now),
        }
    }

    /// The policy of the pool; `None` if it does not limit calls to cold backend servers.
    #[must_use]
    pub const fn policy(&self) -> Option<WarmUp> {
        self.policy
    }

    /// Replaces the policy of the pool.
    pub const fn set_policy(&mut self, policy: Option<WarmUp>) {
        self.policy = policy;
    }

    /// Records for how long the backend server states to stay cold. `None` if it states nothing,
    /// which changes nothing.
    pub fn record_statement(&mut self, now: Timestamp, left: Option<Duration>) {
        self.phase = match left {
            None => return,
            Some(Duration::ZERO) => Phase::Warm,
            Some(left) => Phase::Until(now + left.min(MAX_STATED) + STATED_MARGIN),
        };
    }

    /// Records for how long the backend server answered a health check that it stays cold. Unlike a
    /// heartbeat, the answer cannot end the phase, because a heartbeat sent after it may have arrived
    /// before it.
    pub fn record_probe(&mut self, now: Timestamp, left: Duration) {
        let until = now + left.min(MAX_STATED) + STATED_MARGIN;
        if !left.is_zero() && self.end_of(self.phase) < until {
            self.phase = Phase::Until(until);
        }
    }

    /// Treats the backend server as cold from now on, until it states otherwise or the time of its
    /// pool has passed. A later end that it has stated still holds.
    pub fn assume_cold(&mut self, now: Timestamp) {
        let assumed = Phase::AssumedSince(now);
        if self.end_of(self.phase) <= self.end_of(assumed) {
            self.phase = assumed;
        }
    }

    /// The limit on the rate of calls while the backend server is cold; `None` if it is warm or its
    /// pool states no limit.
    #[must_use]
    pub fn cold_rate(&self, now: Timestamp) -> Option<CallRate> {
        let is_cold = self.end_of(self.phase) > now;
        self.policy.filter(|_| is_cold).map(|policy| policy.rate)
    }

    /// The time until the backend server is warm; zero if it is.
    #[must_use]
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.end_of(self.phase).since(now)
    }

    fn end_of(&self, phase: Phase) -> Timestamp {
        let duration = self.policy.map_or(0, |policy| policy.duration_ms);
        match phase {
            Phase::Warm => Timestamp::EPOCH,
            Phase::Until(until) => until,
            Phase::AssumedSince(since) => since + Duration::from_millis(u64::from(duration)),
        }
    }
}
