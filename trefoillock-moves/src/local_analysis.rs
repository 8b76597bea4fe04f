//! Analysis on a node, which can only stop calls to the new pool of a move.
//!
//! A node counts the outcomes of its own calls, reports them to the control replicas and, on
//! strong evidence, cuts the new pool: it sends the pool no more calls until the control replicas
//! have decided on the move again.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{Config, Evidence, MoveEvidence, MoveId, PoolEvidence, Timestamp};

use crate::{comparison::Comparison, sample::Sample};

/// Highest probability that a node ever cuts a good version.
const FALSE_CUT_PROBABILITY: f64 = 1e-7;
/// Time for which calls are collected before they are compared.
const WINDOW_TIME: Duration = Duration::from_millis(250);
/// Number of steps after which a cut ends. The first step after a cut may have been decided
/// before the control replicas received the report of the cut; the second was not.
const STEPS_TO_END_CUT: u32 = 2;
/// How long the control replicas may be silent before a node sends new pools no calls.
const MAX_SILENCE: Duration = Duration::from_secs(5);

/// How a call of a moving route ended, as seen by the node that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveCallResult {
    /// It was answered in full after this time.
    Answered(Duration),
    /// It ended with a server error, a broken connection to the backend server or a timeout.
    Failed,
    /// The response was cut off in the body.
    Aborted,
    /// The process of the backend server ended while it ran the call.
    Crashed,
    /// It was refused before it ran, which says something about load, not about the version.
    Refused,
    /// The node next to the backend server was lost, which says something about the node, not
    /// about the version.
    NodeLost,
}

/// Local counts and state of one move.
#[derive(Debug, Clone, Default)]
struct LocalMoveState {
    /// The step in force.
    step: u32,
    /// The step that was in force when the node cut the new pool.
    cut: Option<u32>,
    comparison: Comparison,
    window: Sample,
    window_since: Timestamp,
    report: MoveEvidence,
}

/// Counts the calls of moving routes, reports them, and cuts a new pool on strong evidence.
#[derive(Debug, Clone, Default)]
pub struct LocalAnalysis {
    moves: BTreeMap<MoveId, LocalMoveState>,
    confirmed_at: Option<Timestamp>,
}

impl LocalAnalysis {
    /// Creates an analysis without moves.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Follows a configuration: drops moves that ended, and ends a cut once the control replicas
    /// have decided enough further steps of the move.
    pub fn apply(&mut self, config: &Config) {
        let shares = config.moves();
        self.moves
            .retain(|id, _| shares.values().any(|share| share.id == *id));
        for share in shares.values() {
            self.set_step(share.id, share.step);
        }
    }

    /// Sets the step of a move that is in force on this node.
    pub fn set_step(&mut self, id: MoveId, step: u32) {
        let state = self.moves.entry(id).or_default();
        if step <= state.step {
            return;
        }
        state.step = step;
        if state
            .cut
            .is_some_and(|cut| step >= cut.saturating_add(STEPS_TO_END_CUT))
        {
            state.cut = None;
            state.comparison = Comparison::new();
        }
    }

    /// Counts a call. `step` is the step in force when the call was assigned to a pool; calls of
    /// other steps are analysed but not reported.
    pub fn record_call(
        &mut self,
        now: Timestamp,
        id: MoveId,
        step: u32,
        is_new: bool,
        result: MoveCallResult,
    ) {
        let Some(state) = self.moves.get_mut(&id) else {
            return;
        };
        if step == state.step {
            state.report_call(is_new, result);
        }
        state.analyse_call(now, is_new, result);
    }

    /// Analyses calls that were counted elsewhere, all over one time span, and returns the moves
    /// whose new pool is cut by it. The counts are not reported again.
    pub fn analyse_counts(&mut self, evidence: &Evidence) -> Vec<MoveId> {
        let mut cuts = Vec::new();
        for (id, counts) in &evidence.moves {
            let Some(state) = self.moves.get_mut(id).filter(|state| state.cut.is_none()) else {
                continue;
            };
            state
                .comparison
                .add(failure_sample(&counts.old, &counts.new));
            state.cut_if_bad();
            if state.cut.is_some() {
                cuts.push(*id);
            }
        }
        cuts
    }

    /// Records that a live leader confirmed the configuration of this node, directly or through
    /// relays.
    pub const fn record_confirmation(&mut self, now: Timestamp) {
        self.confirmed_at = Some(now);
    }

    /// Whether the control replicas have been silent for so long that nothing would take a bad
    /// version back. The node then sends no calls to the new pool of any move until a leader
    /// confirms its configuration again.
    ///
    /// Silence is not checked before the first call of [`LocalAnalysis::record_confirmation`].
    #[must_use]
    pub fn is_unsupervised(&self, now: Timestamp) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed_at| now.since(confirmed_at) > MAX_SILENCE)
    }

    /// Whether this node has cut the new pool of a move, so that the pool gets no calls whatever
    /// its share is. A cut lasts until the control replicas have decided on the move again.
    #[must_use]
    pub fn is_cut(&self, id: MoveId) -> bool {
        self.moves.get(&id).is_some_and(|state| state.cut.is_some())
    }

    /// Returns the evidence since the last report.
    pub fn take_report(&mut self) -> Evidence {
        let mut evidence = Evidence::default();
        for (id, state) in &mut self.moves {
            let report = std::mem::take(&mut state.report);
            let is_empty = report.old.is_empty() && report.new.is_empty() && report.local_cuts == 0;
            if !is_empty {
                evidence.moves.insert(*id, report);
            }
        }
        evidence
    }
}

impl LocalMoveState {
    fn report_call(&mut self, is_new: bool, result: MoveCallResult) {
        if self.report.step != self.step {
            self.report = MoveEvidence {
                step: self.step,
                local_cuts: self.report.local_cuts,
                ..MoveEvidence::default()
            };
        }
        let pool = if is_new {
            &mut self.report.new
        } else {
            &mut self.report.old
        };
        count_call(pool, result);
    }

    fn analyse_call(&mut self, now: Timestamp, is_new: bool, result: MoveCallResult) {
        if now.since(self.window_since) >= WINDOW_TIME {
            let window = std::mem::take(&mut self.window);
            self.window_since = now;
            self.comparison.add(window);
            self.cut_if_bad();
        }
        let event = match result {
            MoveCallResult::Answered(_) => 0,
            MoveCallResult::Failed | MoveCallResult::Aborted => 1,
            MoveCallResult::Crashed | MoveCallResult::Refused | MoveCallResult::NodeLost => return,
        };
        if is_new {
            self.window.new_calls += 1;
            self.window.new_events += event;
        } else {
            self.window.old_calls += 1;
            self.window.old_events += event;
        }
    }

    fn cut_if_bad(&mut self) {
        if self.cut.is_none() && self.comparison.log_evidence() >= -FALSE_CUT_PROBABILITY.ln() {
            self.cut = Some(self.step);
            self.report.step = self.step;
            self.report.local_cuts += 1;
        }
    }
}

/// The failures of both pools. Crashes are left out, since a single request can cause many of
/// them.
const fn failure_sample(old: &PoolEvidence, new: &PoolEvidence) -> Sample {
    Sample {
        new_calls: new.calls.saturating_sub(new.crashes),
        new_events: new.failures.saturating_sub(new.crashes),
        old_calls: old.calls.saturating_sub(old.crashes),
        old_events: old.failures.saturating_sub(old.crashes),
    }
}

/// Adds a call to the counts of its pool.
fn count_call(pool: &mut PoolEvidence, result: MoveCallResult) {
    match result {
        MoveCallResult::Answered(latency) => pool.record_answer(latency),
        MoveCallResult::Failed => pool.record_failure(),
        MoveCallResult::Aborted => {
            pool.record_failure();
            pool.aborted += 1;
        }
        MoveCallResult::Crashed => {
            pool.record_failure();
            pool.crashes += 1;
        }
        MoveCallResult::Refused | MoveCallResult::NodeLost => pool.refused += 1,
    }
}
