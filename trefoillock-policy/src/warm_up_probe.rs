//! Decides when the health path of a backend server is asked whether the server is cold.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::Timestamp;

use crate::Lane;

/// The shortest time between two probes. Health checks have a price, and heartbeats tell the same
/// after at most 1.5 s on the platform of one user.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The share of the usual time between two statements after which the next one is overdue.
const OVERDUE_FACTOR: u32 = 2;
/// The factor on the usual duration from which an answer is slow.
const SLOW_FACTOR: f64 = 3.0;
/// The time that an answer must at least take beyond the usual duration to be slow.
const MIN_SLOW_EXCESS_S: f64 = 0.05;
/// The number of slow answers in a row after which the server may have turned cold.
const SLOW_ANSWERS: u32 = 3;
/// The weight of the newest answer in the usual duration.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Decides when the health path of a backend server is asked whether the server is cold, because it
/// may have turned cold since its last statement: it was unreachable for a moment, its answers have
/// become much slower, or its next statement is overdue.
#[derive(Debug, Default)]
pub struct WarmUpProbe {
    stated_at: Option<Timestamp>,
    /// The last time between two statements.
    interval: Option<Duration>,
    /// The usual duration of calls by kind, in seconds.
    usual_s: BTreeMap<Lane, f64>,
    slow_answers: u32,
    was_unreachable: bool,
    probed_at: Option<Timestamp>,
}

impl WarmUpProbe {
    /// Notes that the server has stated whether it is cold.
    pub fn record_statement(&mut self, now: Timestamp) {
        self.interval = self.stated_at.map(|stated_at| now.since(stated_at));
        self.stated_at = Some(now);
    }

    /// Notes that a connection to the server could not be opened.
    pub const fn record_unreachable(&mut self) {
        self.was_unreachable = true;
    }

    /// Notes that the server answered a call of a kind after a time.
    pub fn record_answer(&mut self, kind: Lane, duration: Duration) {
        let duration_s = duration.as_secs_f64();
        let usual_s = self.usual_s.entry(kind).or_insert(duration_s);
        let is_slow =
            duration_s > *usual_s * SLOW_FACTOR && duration_s > *usual_s + MIN_SLOW_EXCESS_S;
        *usual_s += AVERAGE_WEIGHT * (duration_s - *usual_s);
        self.slow_answers = if is_slow { self.slow_answers + 1 } else { 0 };
    }

    /// Whether a probe is sent now, which is then counted as sent.
    pub fn begin(&mut self, now: Timestamp) -> bool {
        let is_due = self.was_unreachable
            || self.slow_answers >= SLOW_ANSWERS
            || self.is_statement_overdue(now);
        let is_allowed = self
            .probed_at
            .is_none_or(|probed_at| now.since(probed_at) >= MIN_PROBE_INTERVAL);
        if !is_due || !is_allowed {
            return false;
        }
        self.probed_at = Some(now);
        self.slow_answers = 0;
        self.was_unreachable = false;
        true
    }

    /// Without two statements the time between them is not known.
    fn is_statement_overdue(&self, now: Timestamp) -> bool {
        let (Some(stated_at), Some(interval)) = (self.stated_at, self.interval) else {
            return false;
        };
        let expected = interval
            .saturating_mul(OVERDUE_FACTOR)
            .max(MIN_PROBE_INTERVAL);
        now.since(stated_at) > expected
    }
}
