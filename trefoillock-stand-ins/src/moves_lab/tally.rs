//! The sum of many runs of one cell.

use serde::Serialize;

use super::outcome::RunResult;

/// The highest share of a route's calls that a version that is bad at once may get.
const AT_ONCE_TARGET: f64 = 0.01;
/// The highest share of a route's calls that any bad version may get while it is bad.
const EVER_TARGET: f64 = 0.05;
/// The longest time from the badness showing to zero share on every node, in seconds.
const ZERO_TARGET: f64 = 3.0;

/// Counts over the runs of a cell.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Tally {
    /// Runs.
    pub runs: u64,
    /// Runs in which every move was done by its deadline.
    pub done_in_time: u64,
    /// Runs in which a move was taken back because the version was judged bad.
    pub judged_bad: u64,
    /// Runs in which all moves of bad routes were taken back.
    pub bad_taken_back: u64,
    /// Runs in which the badness showed while a move was under way.
    pub shown: u64,
    /// Postings that the version ran while it was bad.
    pub bad_postings: u64,
    /// Times from the badness showing to zero share, in seconds, in rising order.
    pub zero_seconds: Vec<f64>,
    /// Times to the end of the last move, as parts of the time to the deadline, in rising order.
    pub parts_of_deadline: Vec<f64>,
    bad_calls: u64,
    bad_route_calls: u64,
}

impl Tally {
    /// Adds a run.
    pub fn add(&mut self, run: &RunResult) {
        self.runs += 1;
        self.done_in_time += u64::from(run.is_done_in_time());
        self.judged_bad += u64::from(run.is_judged_bad());
        self.bad_taken_back += u64::from(run.is_bad_taken_back());
        self.shown += u64::from(run.has_shown());
        self.bad_postings += run.bad_postings();
        if let Some(time) = run.time_to_zero() {
            insert(&mut self.zero_seconds, time.as_secs_f64());
        }
        insert(&mut self.parts_of_deadline, run.part_of_deadline());
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
        for part in &other.parts_of_deadline {
            insert(&mut self.parts_of_deadline, *part);
        }
    }

    /// The share of the calls of bad routes that the version took while it was bad.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn bad_share(&self) -> f64 {
        self.bad_calls as f64 / self.bad_route_calls.max(1) as f64
    }

    /// Whether a good version met every target.
    #[must_use]
    pub const fn is_good_met(&self) -> bool {
        self.done_in_time == self.runs && self.judged_bad == 0
    }

    /// The targets that a bad version missed.
    #[must_use]
    pub fn bad_misses(&self, is_bad_at_once: bool) -> Vec<&'static str> {
        let limit = if is_bad_at_once {
            AT_ONCE_TARGET
        } else {
            EVER_TARGET
        };
        let checks = [
            (self.bad_taken_back == self.runs, "taken back"),
            (self.bad_share() <= limit, "share"),
            (
                quantile(&self.zero_seconds, 1.0) <= ZERO_TARGET,
                "time to zero",
            ),
        ];
        let missed = checks.into_iter().filter(|(is_met, _)| !is_met);
        missed.map(|(_, name)| name).collect()
    }
}

/// The value at a quantile of numbers in rising order, or zero if there are none.
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
    let at = sorted.partition_point(|held| *held <= value);
    sorted.insert(at, value);
}
