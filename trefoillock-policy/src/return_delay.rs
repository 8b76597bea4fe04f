//! When a caller whose call was refused should send it again.
//!
//! The load it answers: a peak of demand that lasts longer than the objective of the calls. Callers
//! send a refused call again once or twice. If they all return as soon as a slot may be free, the
//! peak is still there, they are refused again, and their attempts are used up before it ends.

use std::time::Duration;

/// The part of its remaining time that a caller is prepared to wait before it sends a refused call
/// again, as a divisor.
const LONGEST_SHARE: u32 = 3;

/// What is known of a refused call when its caller is told when to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedReturn {
    /// The expected time until there is room for the call.
    pub room_in: Duration,
    /// The time that the caller has left in all, over all of its attempts.
    pub time_left: Duration,
    /// The time left to meet the objective; `None` if only the deadline counts.
    pub objective_left: Option<Duration>,
}

impl RefusedReturn {
    /// The time after which the caller should send the call again. `draw` is a uniformly distributed
    /// random number.
    ///
    /// A call that can still meet its objective returns as soon as there is room. One that cannot
    /// loses nothing by a longer wait and finds more room, so it returns in the second half of the
    /// time that its caller is prepared to wait. The draw spreads those that were refused together.
    #[must_use]
    pub fn delay(&self, draw: u32) -> Duration {
        let longest = self.time_left / LONGEST_SHARE;
        let meets_objective = self.objective_left.is_some_and(|left| self.room_in < left);
        if meets_objective || longest <= self.room_in {
            return self.room_in;
        }
        let earliest = self.room_in.max(longest / 2);
        let share = f64::from(draw) / f64::from(u32::MAX);
        earliest + longest.saturating_sub(earliest).mul_f64(share)
    }
}
