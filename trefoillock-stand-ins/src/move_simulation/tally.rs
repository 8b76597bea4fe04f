//! Sums the results of many runs. The runs of one cell of the matrix differ only in their seeds.

use serde::Serialize;

use super::outcome::RunResult;

/// The maximum share of a route's calls that a version with an immediately visible defect may get.
const MAX_SHARE_IF_BAD_AT_ONCE: f64 = 0.01;
/// The maximum share of a route's calls that any other bad version may get while its defect is
/// active.
const MAX_BAD_SHARE: f64 = 0.05;
/// The maximum time from the moment a bad version is detectable to zero share on every node, in
/// seconds.
const MAX_TIME_TO_ZERO_S: f64 = 3.0;

/// Sums over the runs of one or more cells.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Tally {
    /// The number of runs.
    pub runs: u64,
    /// The number of runs in which every move was done by its deadline.
    pub done_in_time: u64,
    /// The number of runs in which a move was taken back because the version was judged bad.
    pub judged_bad: u64,
    /// The number of runs in which all moves of bad routes were taken back.
    pub bad_taken_back: u64,
    /// The number of runs in which an ideal observer could detect the bad version before the moves
    /// were done.
    pub shown: u64,
    /// The number of postings that the new version took while its defect was active.
    pub bad_postings: u64,
    /// The times from the moment the bad version was detectable to zero share, in seconds, in
    /// ascending order.
    pub zero_seconds: Vec<f64>,
    /// The times to the last step of any move, as fractions of the time to the deadline, in
    /// ascending order.
    pub parts_of_deadline: Vec<f64>,
    bad_calls: u64,
    bad_route_calls: u64,
}

impl Tally {
    /// Adds the result of a run.
    pub fn add(&mut self, run: &RunResult) {
        self.runs += 1;
        self.done_in_time += u64::from(run.is_done_in_time());
        self.judged_bad += u64::from(run.is_judged_bad());
        self.bad_taken_back += u64::from(run.is_bad_taken_back());
        self.shown += u64::from(run.was_detectable());
        self.bad_postings += run.bad_postings();
        if let Some(time) = run.time_to_zero() {
            insert(&mut self.zero_seconds, time.as_secs_f64());
        }
        insert(&mut self.parts_of_deadline, run.fraction_of_deadline());
        for (route, result) in run.routes.iter().enumerate() {
            if run.version.is_bad_on(route) {
                self.bad_calls += result.bad_calls;
                self.bad_route_calls += result.calls;
            }
        }
    }

    /// Adds the runs of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.runs += other.runs;
        self.done_in_time += other.done_in_time;
        self.judged_bad += other.judged_bad;
        self.bad_taken_back += other.bad_taken_back;
        self.shown += other.shown;
        self.bad_postings += other.bad_postings;
        self.bad_calls += other.bad_calls;
        self.bad_route_calls += other.bad_route_calls;
        for seconds in &other.zero_seconds {
            insert(&mut self.zero_seconds, *seconds);
        }
        for fraction in &other.parts_of_deadline {
            insert(&mut self.parts_of_deadline, *fraction);
        }
    }

    /// The share of the calls of bad routes that the new version took while its defect was active.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn bad_share(&self) -> f64 {
        self.bad_calls as f64 / self.bad_route_calls.max(1) as f64
    }

    /// Whether the runs met the targets of a good version: done in time and never judged bad.
    #[must_use]
    pub const fn meets_good_targets(&self) -> bool {
        self.done_in_time == self.runs && self.judged_bad == 0
    }

    /// The names of the targets of a bad version that the runs missed.
    #[must_use]
    pub fn missed_bad_targets(&self, is_bad_at_once: bool) -> Vec<&'static str> {
        let limit = if is_bad_at_once {
            MAX_SHARE_IF_BAD_AT_ONCE
        } else {
            MAX_BAD_SHARE
        };
        let checks = [
            (self.bad_taken_back == self.runs, "taken back"),
            (self.bad_share() <= limit, "share"),
            (
                quantile(&self.zero_seconds, 1.0) <= MAX_TIME_TO_ZERO_S,
                "time to zero",
            ),
        ];
        let missed = checks.into_iter().filter(|(is_met, _)| !is_met);
        missed.map(|(_, name)| name).collect()
    }
}

/// The value at a quantile, from 0 to 1, of numbers in ascending order; zero if there are none.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
pub fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let at = (quantile * last as f64).round() as usize;
    sorted.get(at).copied().unwrap_or(0.0)
}

fn insert(sorted: &mut Vec<f64>, value: f64) {
    let at = sorted.partition_point(|other| *other <= value);
    sorted.insert(at, value);
}
