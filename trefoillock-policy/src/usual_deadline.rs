//! How long the callers of a route usually wait.

use std::{collections::VecDeque, time::Duration};

/// The number of latest calls that are looked at.
const WINDOW: usize = 256;
/// The number of calls before anything is told, and between two looks at the window.
const LOOK_EVERY: usize = 32;
/// The part of the calls, one in so many, that may be given more than the usual time.
const LONGER_PART: usize = 10;
/// The part of the usual time, in percent, by which the callers of a route differ among
/// themselves; only what is below counts as time that has passed.
const TOLERANCE_PERCENT: u32 = 20;

/// Learns the time that callers of one route give their first attempts.
///
/// A later attempt of a caller names what is left of that time. So a call that names much less
/// than most has likely been tried before, and its caller has waited for the difference.
///
/// ```
/// use std::time::Duration;
/// use trefoillock_policy::UsualDeadline;
///
/// let mut usual = UsualDeadline::default();
/// for _ in 0..50 {
///     usual.record(Duration::from_millis(800));
/// }
/// assert_eq!(usual.elapsed(Duration::from_millis(500)), Duration::from_millis(300));
/// assert_eq!(usual.elapsed(Duration::from_millis(700)), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Default)]
pub struct UsualDeadline {
    latest: VecDeque<Duration>,
    since_look: usize,
    usual: Option<Duration>,
}

impl UsualDeadline {
    /// Counts a call with the time that its caller gives it.
    pub fn record(&mut self, time: Duration) {
        if self.latest.len() >= WINDOW {
            self.latest.pop_front();
        }
        self.latest.push_back(time);
        self.since_look += 1;
        if self.since_look >= LOOK_EVERY {
            self.since_look = 0;
            self.usual = self.look();
        }
    }

    /// The time for which the caller of a call that is given `time` has likely waited before.
    #[must_use]
    pub fn elapsed(&self, time: Duration) -> Duration {
        let usual = self.usual.unwrap_or_default();
        if time >= usual * (100 - TOLERANCE_PERCENT) / 100 {
            Duration::ZERO
        } else {
            usual.saturating_sub(time)
        }
    }

    /// The time that all but a few of the latest calls are given at most.
    fn look(&self) -> Option<Duration> {
        let mut times: Vec<Duration> = self.latest.iter().copied().collect();
        let at = times.len().checked_sub(1)? - times.len() / LONGER_PART;
        let (_, usual, _) = times.select_nth_unstable(at);
        Some(*usual)
    }
}
