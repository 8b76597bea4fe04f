//! The judge on a node, which can only lower a share.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{Config, Evidence, MoveEvidence, MoveId, PoolEvidence, Timestamp};

use crate::{comparison::Comparison, sample::Sample};

/// The probability that a node ever cuts a good version.
const FALSE_CUT: f64 = 1e-7;
/// The time over which calls are gathered before they are compared.
const WINDOW: Duration = Duration::from_millis(250);
/// The number of steps after which a cut ends. The first step after a cut may have been
/// decided before control saw the cut; the second one was not.
const STEPS_TO_CLEAR: u32 = 2;
/// The silence of control after which a node gives new pools no calls.
const MAX_SILENCE: Duration = Duration::from_secs(5);

/// How a call of a route on the move ended, as the node that took it in saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// It was answered in full after this time.
    Answered(Duration),
    /// A server error, a broken connection to the backend server or a timeout.
    Failed,
    /// The answer was cut in mid-body.
    Aborted,
    /// The backend server's process ended while it ran the call.
    Crashed,
    /// It was refused before running; this speaks of load, not of the version.
    Refused,
    /// The node beside the backend server was lost; this speaks of the node, not of the version.
    NodeLost,
}

/// What a node saw of one move.
#[derive(Debug, Clone, Default)]
struct LocalMove {
    /// The step in force.
    step: u32,
    /// The step that was in force when the node cut the new pool.
    cut: Option<u32>,
    comparison: Comparison,
    window: Sample,
    window_since: Timestamp,
    report: MoveEvidence,
}

/// Counts the calls of routes on the move, reports them, and cuts a new pool on strong evidence.
#[derive(Debug, Clone, Default)]
pub struct LocalJudge {
    moves: BTreeMap<MoveId, LocalMove>,
    confirmed: Option<Timestamp>,
}

impl LocalJudge {
    /// Creates a judge without moves.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Follows a configuration: forgets moves that ended and ends cuts that control has raised
    /// again.
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
            .is_some_and(|cut| step >= cut.saturating_add(STEPS_TO_CLEAR))
        {
            state.cut = None;
            state.comparison = Comparison::new();
        }
    }

    /// Counts a call. `step` is the step at which it was assigned to a pool.
    pub fn record(
        &mut self,
        now: Timestamp,
        id: MoveId,
        step: u32,
        is_new: bool,
        result: CallResult,
    ) {
        let Some(state) = self.moves.get_mut(&id) else {
            return;
        };
        if step == state.step {
            state.report_call(is_new, result);
        }
        state.judge_call(now, is_new, result);
    }

    /// Judges calls that were counted elsewhere, all of one span of time, and returns the moves
    /// whose new pool is cut from now on. The counts are not reported again.
    pub fn judge(&mut self, evidence: &Evidence) -> Vec<MoveId> {
        let mut cuts = Vec::new();
        for (id, counts) in &evidence.moves {
            let Some(state) = self.moves.get_mut(id).filter(|state| state.cut.is_none()) else {
                continue;
            };
            state.comparison.add(sample_of(&counts.old, &counts.new));
            state.cut_if_bad();
            if state.cut.is_some() {
                cuts.push(*id);
            }
        }
        cuts
    }

    /// Notes that a live leader confirmed the configuration of this node, directly or through
    /// relays.
    pub const fn confirm(&mut self, now: Timestamp) {
        self.confirmed = Some(now);
    }

    /// Whether control has been silent for so long that nobody would take a bad version back; the
    /// node then gives no new pool of a move any calls until control is heard again.
    ///
    /// A node that [`LocalJudge::confirm`] was never called on does not watch for silence.
    #[must_use]
    pub fn is_unsupervised(&self, now: Timestamp) -> bool {
        self.confirmed
            .is_some_and(|confirmed| now.since(confirmed) > MAX_SILENCE)
    }

    /// Whether this node has cut the new pool of a move, so that it gets no calls whatever its
    /// share is. A cut lasts until control has decided on the move again.
    #[must_use]
    pub fn cut(&self, id: MoveId) -> bool {
        self.moves.get(&id).is_some_and(|state| state.cut.is_some())
    }

    /// Takes the evidence since the last report.
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

impl LocalMove {
    fn report_call(&mut self, is_new: bool, result: CallResult) {
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
        count(pool, result);
    }

    fn judge_call(&mut self, now: Timestamp, is_new: bool, result: CallResult) {
        if now.since(self.window_since) >= WINDOW {
            let window = std::mem::take(&mut self.window);
            self.window_since = now;
            self.comparison.add(window);
            self.cut_if_bad();
        }
        let event = match result {
            CallResult::Answered(_) => 0,
            CallResult::Failed | CallResult::Aborted => 1,
            CallResult::Crashed | CallResult::Refused | CallResult::NodeLost => return,
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
        if self.cut.is_none() && self.comparison.log_evidence() >= -FALSE_CUT.ln() {
            self.cut = Some(self.step);
            self.report.step = self.step;
            self.report.local_cuts += 1;
        }
    }
}

/// The failures of both pools; crashes are left out, for one request can cause them.
const fn sample_of(old: &PoolEvidence, new: &PoolEvidence) -> Sample {
    Sample {
        new_calls: new.calls.saturating_sub(new.crashes),
        new_events: new.failures.saturating_sub(new.crashes),
        old_calls: old.calls.saturating_sub(old.crashes),
        old_events: old.failures.saturating_sub(old.crashes),
    }
}

/// Adds a call to the counts of its pool.
fn count(pool: &mut PoolEvidence, result: CallResult) {
    match result {
        CallResult::Answered(latency) => pool.record_answer(latency),
        CallResult::Failed => pool.record_failure(),
        CallResult::Aborted => {
            pool.record_failure();
            pool.aborted += 1;
        }
        CallResult::Crashed => {
            pool.record_failure();
            pool.crashes += 1;
        }
        CallResult::Refused | CallResult::NodeLost => pool.refused += 1,
    }
}
