//! How many calls the new version of a rollout may get, and what for.
//!
//! A share of the calls bounds their number only while evidence returns in time and the rate of calls
//! stays the same. So the calls themselves are bounded: each extension of the allowance stays within the
//! limits for the calls of the service that have been reported so far. What the version may get is
//! spent in three parts: on a canary, on a short time at the full share, and, once the version is proven
//! good, on the calls that arrive while those to the old version end.

use std::time::Duration;

use trefoillock_core::{
    AllowancePurpose, Incarnation, RolloutAllowance, RolloutLimits, ServerId, Share,
};

/// Time before the completion in which the calls to the old versions end.
pub(crate) const CLOSING_TIME: Duration = Duration::from_millis(400);
/// Number of calls that the new version should get at the full share.
const FULL_SHARE_CALLS: f64 = 60.0;
/// Shortest time at the full share, so that the new version gets as many calls at once as later.
const MIN_FULL_SHARE_TIME: Duration = Duration::from_millis(500);
/// Longest time at the full share.
const MAX_FULL_SHARE_TIME: Duration = Duration::from_millis(1_800);
/// Part of the calls that are left for the full share and the completion which at most is kept for the
/// completion.
const MAX_CLOSING_PART: f64 = 1.0 / 3.0;
/// Calls of the limit that a canary leaves for the full share, at most four fifths of it.
const FULL_SHARE_RESERVE: u64 = 40;
/// Smallest and largest number of calls of a canary that may be under way or not reported.
const UNREPORTED_CANARY_CALLS: (f64, f64) = (25.0, 40.0);
/// Time in which a canary that gets calls steadily uses those that may be unreported.
const CANARY_REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Time between two extensions at the full share.
pub(crate) const FULL_SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Time at the full share for which an extension there lasts at most.
const FULL_SHARE_EXTENSION: Duration = Duration::from_millis(250);
/// Smallest extension beside the first one of a server, so that the configuration seldom changes.
const MIN_EXTENSION: u64 = 5;
/// Part of the time to stop a bad version for which an extension for the full share is valid. The rest is
/// for nodes that learn of it late.
const VALID_PART: f64 = 0.6;

/// The state from which the next extension of an allowance is planned.
pub(crate) struct RolloutPlan<'a> {
    pub(crate) limits: &'a RolloutLimits,
    pub(crate) held: &'a RolloutAllowance,
    /// The calls of the service since the order, as far as they are reported.
    pub(crate) calls: u64,
    /// Those of them that the new version got.
    pub(crate) new_calls: u64,
    /// The calls of the service per second.
    pub(crate) call_rate: f64,
}

/// The time for which the new version should get all calls before it is judged by them.
pub(crate) fn full_share_time(call_rate: f64) -> Duration {
    let min_rate = FULL_SHARE_CALLS / MAX_FULL_SHARE_TIME.as_secs_f64();
    let time = Duration::from_secs_f64(FULL_SHARE_CALLS / call_rate.max(min_rate));
    time.max(MIN_FULL_SHARE_TIME)
}

impl RolloutPlan<'_> {
    /// Lets a canary go on, if its reports show that it has used much of its calls, and leaves enough for
    /// the full share.
    pub(crate) fn canary(
        &self,
        share: Share,
        servers: &[(ServerId, Incarnation)],
    ) -> Option<RolloutAllowance> {
        let (min, max) = UNREPORTED_CANARY_CALLS;
        let per_second = share.fraction() * self.call_rate;
        let unreported = to_calls((per_second * CANARY_REPORT_TIME.as_secs_f64()).clamp(min, max));
        let allowed = self.allowed();
        let reserve = FULL_SHARE_RESERVE.min(allowed / 5 * 4);
        let goal = (self.new_calls + unreported).min(allowed - reserve);
        let calls = goal.saturating_sub(self.held.granted());
        let min_extension = to_calls(per_second).clamp(MIN_EXTENSION, unreported / 2);
        let is_missing = |(server, incarnation): &(ServerId, Incarnation)| {
            self.held.calls_of(server, *incarnation) == 0
        };
        let is_due = calls >= min_extension || servers.iter().any(is_missing);
        (calls > 0 && is_due).then(|| self.extend(servers, calls, AllowancePurpose::Canary, None))
    }

    /// Lets the new version get all calls for [`full_share_time`], or for as long as its limit permits.
    pub(crate) fn full_share(
        &self,
        servers: &[(ServerId, Incarnation)],
    ) -> Option<RolloutAllowance> {
        let left = self.left();
        let closing =
            (self.call_rate * CLOSING_TIME.as_secs_f64()).min(to_f64(left) * MAX_CLOSING_PART);
        let due = self.call_rate * full_share_time(self.call_rate).as_secs_f64();
        let calls = (left - to_calls(closing).min(left)).min(to_calls(due.max(FULL_SHARE_CALLS)));
        (calls > 0).then(|| {
            self.extend(
                servers,
                calls,
                AllowancePurpose::FullShare,
                Some(self.validity()),
            )
        })
    }

    /// Lets the new version get some more calls at the full share until it is judged, since it may turn bad
    /// late. Keeps enough for the completion.
    pub(crate) fn full_share_again(
        &self,
        servers: &[(ServerId, Incarnation)],
    ) -> Option<RolloutAllowance> {
        let closing = to_calls(self.call_rate * CLOSING_TIME.as_secs_f64());
        let most = to_calls(self.call_rate * FULL_SHARE_EXTENSION.as_secs_f64());
        let most = most.max(2 * MIN_EXTENSION);
        let calls = self.left().saturating_sub(closing).min(most);
        let purpose = AllowancePurpose::FullShare;
        (calls >= MIN_EXTENSION)
            .then(|| self.extend(servers, calls, purpose, Some(self.validity())))
    }

    /// Lets the new version get what is left, since it is proven good.
    pub(crate) fn closing(&self, servers: &[(ServerId, Incarnation)]) -> RolloutAllowance {
        let purpose = AllowancePurpose::Closing;
        self.extend(servers, self.left(), purpose, Some(self.validity()))
    }

    fn extend(
        &self,
        servers: &[(ServerId, Incarnation)],
        calls: u64,
        purpose: AllowancePurpose,
        valid_for: Option<Duration>,
    ) -> RolloutAllowance {
        RolloutAllowance {
            purpose,
            valid_for,
            ..self.held.extended(servers, calls)
        }
    }

    fn allowed(&self) -> u64 {
        self.limits.allowed_calls(self.calls)
    }

    fn left(&self) -> u64 {
        self.allowed().saturating_sub(self.held.granted())
    }

    fn validity(&self) -> Duration {
        self.limits.stop_within.mul_f64(VALID_PART)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of calls are small and not negative"
)]
const fn to_calls(calls: f64) -> u64 {
    calls.round() as u64
}

#[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
const fn to_f64(calls: u64) -> f64 {
    calls as f64
}
