//! When the confirmation rounds of a node were started.

use std::collections::VecDeque;

use trefoillock_core::ConfigVersion;
use trefoillock_process::BootInstant;

/// The largest number of times that are kept. A node starts a few rounds a second, so an answer to a
/// forgotten round is of no use any more.
const MAX_TIMES: usize = 256;

/// States that a live leader had a version of the configuration as its newest one at a time after a
/// node asked for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// A time before the node asked.
    pub asked_at: BootInstant,
    /// The version of the configuration that the leader had.
    pub version: ConfigVersion,
}

/// The start times of the unanswered rounds of a node.
#[derive(Debug, Default)]
pub(crate) struct RoundTimes {
    /// The last round that was started at a time or soon after it, in increasing order.
    times: VecDeque<(u64, BootInstant)>,
    /// The last round whose time was dropped.
    forgotten: u64,
}

impl RoundTimes {
    /// Records that all rounds up to `round` that are not recorded yet were started after `time`.
    pub(crate) fn record(&mut self, round: u64, time: BootInstant) {
        let last = self.times.back().map_or(self.forgotten, |(last, _)| *last);
        if round <= last {
            return;
        }
        self.times.push_back((round, time));
        if self.times.len() > MAX_TIMES
            && let Some((round, _)) = self.times.pop_front()
        {
            self.forgotten = round;
        }
    }

    /// Returns a time before a round was started, and drops the times of earlier rounds. `None` if
    /// the time is not known any more.
    pub(crate) fn take(&mut self, round: u64) -> Option<BootInstant> {
        if round <= self.forgotten {
            return None;
        }
        let earlier = self.times.partition_point(|(last, _)| *last < round);
        if let Some((last, _)) = self.times.drain(..earlier).next_back() {
            self.forgotten = last;
        }
        self.times.front().map(|(_, time)| *time)
    }
}

#[cfg(test)]
mod tests;
