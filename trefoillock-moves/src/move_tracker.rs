//! Soft state of one move on the leader: collected evidence, call rate and the time at the
//! current share.

use std::time::Duration;

use trefoillock_core::{LatencySketch, Move, MoveEvidence, Share, Timestamp};

use crate::version_analysis::{RouteHistory, VersionAnalysis, Window};

/// Time over which the call rate is averaged.
const RATE_AVERAGING_TIME: Duration = Duration::from_secs(15);
/// Shortest silence after which evidence counts as lost.
const MIN_SILENCE: Duration = Duration::from_secs(3);
/// Number of expected calls that must be missing before evidence counts as lost.
const MIN_MISSING_CALLS: f64 = 10.0;
/// How long a leader must have observed a move itself before it raises the share.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Number of calls of both pools that fill a window.
const WINDOW_CALLS: u64 = 10;
/// Time after which a window is full with fewer calls.
const MAX_WINDOW_TIME: Duration = Duration::from_secs(3);
/// How long a share is kept after a node cut the new pool. The steps at the start and the end of
/// the hold tell the node that the control replicas have seen the cut.
const CUT_HOLD_TIME: Duration = Duration::from_secs(10);
/// Longest time that one update of the call rate accounts for.
const MAX_UPDATE_TIME: Duration = Duration::from_secs(10);

/// Soft state of one move.
#[derive(Debug, Clone, Default)]
pub(crate) struct MoveTracker {
    pub(crate) analysis: VersionAnalysis,
    history: RouteHistory,
    /// Evidence collected for the open window.
    open_window: MoveEvidence,
    open_window_since: Option<Timestamp>,
    pending_reports: Vec<MoveEvidence>,
    /// The current share and the first step that had it.
    share: Option<(Share, u32)>,
    share_since: Timestamp,
    calls_at_share: u64,
    last_cut_at: Option<Timestamp>,
    observed_since: Option<Timestamp>,
    rate_updated_at: Timestamp,
    last_calls_at: Option<Timestamp>,
    rate: f64,
    concurrency: f64,
}

impl MoveTracker {
    /// Queues the evidence of one report.
    pub(crate) fn add_evidence(&mut self, now: Timestamp, evidence: &MoveEvidence) {
        if self.observed_since.is_none() {
            self.observed_since = Some(now);
            self.rate_updated_at = now;
        }
        self.pending_reports.push(evidence.clone());
    }

    /// Follows the replicated state: a changed share restarts the count of calls at that share.
    pub(crate) fn update_share(&mut self, route_move: &Move) {
        if self
            .share
            .is_none_or(|(share, _)| share != route_move.share)
        {
            self.share = Some((route_move.share, route_move.step));
            self.share_since = route_move.stepped;
            self.calls_at_share = 0;
        }
    }

    /// Processes the reports queued since the last call, runs the analysis on the windows that
    /// they fill, and returns these windows.
    pub(crate) fn close_windows(&mut self, now: Timestamp, is_cold: bool) -> Vec<Window> {
        let pending_reports = std::mem::take(&mut self.pending_reports);
        self.update_rate(now, &pending_reports);
        let step = self.share.map_or(0, |(_, step)| step);
        for evidence in pending_reports
            .iter()
            .filter(|evidence| evidence.step >= step)
        {
            self.calls_at_share += evidence.new.calls;
        }
        if pending_reports
            .iter()
            .any(|evidence| evidence.local_cuts > 0)
        {
            self.last_cut_at = Some(now);
        }
        let mut windows = Vec::with_capacity(pending_reports.len());
        for evidence in &pending_reports {
            self.add_to_open_window(now, evidence);
            if self.is_window_full(now) {
                let open_window = std::mem::take(&mut self.open_window);
                self.open_window_since = None;
                let window = self.history.add_window(&open_window, is_cold);
                self.analysis.add(std::slice::from_ref(&window));
                windows.push(window);
            }
        }
        windows
    }

    /// Adds the counts of a report to the open window.
    fn add_to_open_window(&mut self, now: Timestamp, evidence: &MoveEvidence) {
        self.open_window.old.merge(&evidence.old);
        self.open_window.new.merge(&evidence.new);
        self.open_window_since.get_or_insert(now);
    }

    /// Whether the open window is full. The rule depends on numbers of calls and on time only,
    /// never on how calls ended, since that would bias the sequential tests.
    fn is_window_full(&self, now: Timestamp) -> bool {
        let (old, new) = (self.open_window.old.calls, self.open_window.new.calls);
        let age = self
            .open_window_since
            .map_or(Duration::ZERO, |since| now.since(since));
        old > 0 && new > 0 && (old + new >= WINDOW_CALLS || age >= MAX_WINDOW_TIME)
    }

    /// When the current share was set.
    pub(crate) const fn share_since(&self) -> Timestamp {
        self.share_since
    }

    /// Number of calls to the new pool at the current share.
    pub(crate) const fn calls_at_share(&self) -> u64 {
        self.calls_at_share
    }

    /// Whether a node cut the new pool within [`CUT_HOLD_TIME`].
    pub(crate) fn was_cut(&self, now: Timestamp) -> bool {
        self.last_cut_at
            .is_some_and(|cut| now.since(cut) < CUT_HOLD_TIME)
    }

    /// Calls of the route per second.
    pub(crate) const fn rate(&self) -> f64 {
        self.rate
    }

    /// Average number of calls of the route in flight.
    pub(crate) const fn concurrency(&self) -> f64 {
        self.concurrency
    }

    /// Whether this leader has observed the move for long enough to raise its share.
    pub(crate) fn is_observed(&self, now: Timestamp) -> bool {
        self.observed_since
            .is_some_and(|since| now.since(since) >= MIN_OBSERVATION_TIME)
    }

    /// Whether a route that had calls has been silent for so long that its evidence counts as
    /// lost.
    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        self.last_calls_at.is_some_and(|last| {
            let silence = now.since(last);
            silence > MIN_SILENCE && silence.as_secs_f64() * self.rate > MIN_MISSING_CALLS
        })
    }

    /// Updates the moving averages of the call rate and the calls in flight.
    #[expect(clippy::cast_precision_loss)]
    fn update_rate(&mut self, now: Timestamp, pending_reports: &[MoveEvidence]) {
        let Some(since) = self.observed_since else {
            return;
        };
        let elapsed_s = now
            .since(self.rate_updated_at)
            .min(MAX_UPDATE_TIME)
            .as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        self.rate_updated_at = now;
        let calls: u64 = pending_reports
            .iter()
            .map(|e| e.old.calls + e.new.calls)
            .sum();
        if calls > 0 {
            self.last_calls_at = Some(now);
        }
        if self.is_silent(now) {
            return;
        }
        let span = RATE_AVERAGING_TIME.min(now.since(since).max(Duration::from_secs(1)));
        let weight = (elapsed_s / span.as_secs_f64()).min(1.0);
        self.rate += (calls as f64 / elapsed_s - self.rate) * weight;
        let latency_s: f64 = pending_reports.iter().map(total_latency_s).sum();
        self.concurrency += (latency_s / elapsed_s - self.concurrency) * weight;
    }
}

/// Sum of the latencies of the answered calls of both pools, in seconds.
fn total_latency_s(evidence: &MoveEvidence) -> f64 {
    let sketches = [&evidence.old.latency, &evidence.new.latency];
    sketches
        .into_iter()
        .flat_map(LatencySketch::buckets)
        .map(|(bound, count)| bound.as_secs_f64() * f64::from(count))
        .sum()
}
