//! What the leader knows of one move beside the replicated state.

use std::time::Duration;

use trefoillock_core::{LatencySketch, Move, MoveEvidence, Share, Timestamp};

use crate::judge::{Judge, RouteHistory, Window};

/// The time over which the rate of calls is averaged.
const RATE_SPAN: Duration = Duration::from_secs(15);
/// The shortest silence after which evidence counts as lost.
const MIN_SILENCE: Duration = Duration::from_secs(3);
/// The number of calls that must be missing before evidence counts as lost.
const MISSING_CALLS: f64 = 10.0;
/// The shortest time of own observation on which a leader raises a share.
const MIN_OBSERVED: Duration = Duration::from_secs(2);
/// Calls of both pools that fill a window.
const WINDOW_CALLS: u64 = 10;
/// The time after which a window is full with fewer calls.
const WINDOW_SPAN: Duration = Duration::from_secs(3);
/// The time for which a share is kept after a node cut the new pool. The steps at its start and
/// its end tell the node that control has seen the cut.
const CUT_HOLD: Duration = Duration::from_secs(10);
/// The largest time that one report counts for.
const MAX_GAP: Duration = Duration::from_secs(10);

/// The soft state of one move.
#[derive(Debug, Clone, Default)]
pub(crate) struct Track {
    pub(crate) judge: Judge,
    history: RouteHistory,
    /// Evidence that is not yet enough for a window.
    gathered: MoveEvidence,
    gathered_since: Option<Timestamp>,
    pending: Vec<MoveEvidence>,
    /// The share and the first step that had it.
    share: Option<(Share, u32)>,
    share_since: Timestamp,
    calls_at_share: u64,
    last_cut: Option<Timestamp>,
    observed_since: Option<Timestamp>,
    counted: Timestamp,
    last_calls: Option<Timestamp>,
    rate: f64,
    busy: f64,
}

impl Track {
    /// Takes in the evidence of one report.
    pub(crate) fn observe(&mut self, now: Timestamp, evidence: &MoveEvidence) {
        if self.observed_since.is_none() {
            self.observed_since = Some(now);
            self.counted = now;
        }
        self.pending.push(evidence.clone());
    }

    /// Follows the replicated state of the move.
    pub(crate) fn sync(&mut self, action: &Move) {
        if self.share.is_none_or(|(share, _)| share != action.share) {
            self.share = Some((action.share, action.step));
            self.share_since = action.stepped;
            self.calls_at_share = 0;
        }
    }

    /// Judges the reports that arrived since the last call and returns what they compare.
    pub(crate) fn drain(&mut self, now: Timestamp, is_cold: bool) -> Vec<Window> {
        let pending = std::mem::take(&mut self.pending);
        self.update_rate(now, &pending);
        let step = self.share.map_or(0, |(_, step)| step);
        for evidence in pending.iter().filter(|evidence| evidence.step >= step) {
            self.calls_at_share += evidence.new.calls;
        }
        if pending.iter().any(|evidence| evidence.local_cuts > 0) {
            self.last_cut = Some(now);
        }
        let mut windows = Vec::with_capacity(pending.len());
        for evidence in &pending {
            self.gather(now, evidence);
            if self.is_window_full(now) {
                let gathered = std::mem::take(&mut self.gathered);
                self.gathered_since = None;
                let window = self.history.window(&gathered, is_cold);
                self.judge.add(std::slice::from_ref(&window));
                windows.push(window);
            }
        }
        windows
    }

    /// Adds the counts of a report to those of the open window.
    fn gather(&mut self, now: Timestamp, evidence: &MoveEvidence) {
        self.gathered.old.merge(&evidence.old);
        self.gathered.new.merge(&evidence.new);
        self.gathered_since.get_or_insert(now);
    }

    /// Whether the open window can be compared. The rule looks at numbers of calls and at time
    /// only, never at how calls ended.
    fn is_window_full(&self, now: Timestamp) -> bool {
        let (old, new) = (self.gathered.old.calls, self.gathered.new.calls);
        let age = self
            .gathered_since
            .map_or(Duration::ZERO, |since| now.since(since));
        old > 0 && new > 0 && (old + new >= WINDOW_CALLS || age >= WINDOW_SPAN)
    }

    /// When the present share was set.
    pub(crate) const fn share_since(&self) -> Timestamp {
        self.share_since
    }

    /// Calls of the new pool at the present share.
    pub(crate) const fn calls_at_share(&self) -> u64 {
        self.calls_at_share
    }

    /// Whether a node cut the new pool of late.
    pub(crate) fn was_cut(&self, now: Timestamp) -> bool {
        self.last_cut.is_some_and(|cut| now.since(cut) < CUT_HOLD)
    }

    /// The calls of the route a second.
    pub(crate) const fn rate(&self) -> f64 {
        self.rate
    }

    /// The number of calls of the route that are in flight at once.
    pub(crate) const fn busy(&self) -> f64 {
        self.busy
    }

    /// Whether this leader has watched the move for long enough to raise its share.
    pub(crate) fn is_observed(&self, now: Timestamp) -> bool {
        self.observed_since
            .is_some_and(|since| now.since(since) >= MIN_OBSERVED)
    }

    /// Whether a route that had calls has been silent for so long that its evidence must count
    /// as lost.
    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        self.last_calls.is_some_and(|last| {
            let silence = now.since(last);
            silence > MIN_SILENCE && silence.as_secs_f64() * self.rate > MISSING_CALLS
        })
    }

    #[expect(clippy::cast_precision_loss)]
    fn update_rate(&mut self, now: Timestamp, pending: &[MoveEvidence]) {
        let Some(since) = self.observed_since else {
            return;
        };
        let gap = now.since(self.counted).min(MAX_GAP).as_secs_f64();
        if gap <= 0.0 {
            return;
        }
        self.counted = now;
        let calls: u64 = pending.iter().map(|e| e.old.calls + e.new.calls).sum();
        if calls > 0 {
            self.last_calls = Some(now);
        }
        if self.is_silent(now) {
            return;
        }
        let span = RATE_SPAN.min(now.since(since).max(Duration::from_secs(1)));
        let part = (gap / span.as_secs_f64()).min(1.0);
        self.rate += (calls as f64 / gap - self.rate) * part;
        let busy: f64 = pending.iter().map(busy_seconds).sum();
        self.busy += (busy / gap - self.busy) * part;
    }
}

/// The time that the answered calls of both pools took, in seconds, added up.
fn busy_seconds(evidence: &MoveEvidence) -> f64 {
    let sketches = [&evidence.old.latency, &evidence.new.latency];
    sketches
        .into_iter()
        .flat_map(LatencySketch::buckets)
        .map(|(bound, count)| bound.as_secs_f64() * f64::from(count))
        .sum()
}
