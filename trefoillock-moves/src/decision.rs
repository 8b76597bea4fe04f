//! Decision on one move: whether its share is raised, held, lowered, or the move ends.
//!
//! Inputs are the move, the verdicts on the version, the capacity of the new pool and the state
//! of other moves to the same pool. Lowering and taking back never wait for evidence to become
//! complete; raising does.

use std::time::Duration;

use trefoillock_core::{
    HoldReason, Move, MoveState, MoveStep, RiskReason, RouteClass, Share, TakeBackReason, Timestamp,
};

use crate::{
    evidence_coverage::EvidenceCoverage,
    move_tracker::MoveTracker,
    schedule::{MIN_DWELL, MoveSchedule, NextStage},
    servers::PoolCapacity,
    siblings::SiblingState,
    version_analysis::Verdict,
};

/// Fraction of the new pool's slots that may be busy.
const MAX_UTILIZATION: f64 = 0.85;
/// Largest share to which a move may be raised while its evidence is inconclusive, to collect
/// more of it.
const MAX_INCONCLUSIVE_SHARE: f64 = 0.025;
/// Longest hold that is not reported as a step of its own.
const MAX_UNREPORTED_HOLD: Duration = Duration::from_secs(3);
/// Smallest change of the earliest completion that is reported as a step.
const MIN_EARLIEST_CHANGE: Duration = Duration::from_secs(30);

/// Inputs of the decision on one move.
pub(crate) struct DecisionContext<'a> {
    pub(crate) now: Timestamp,
    pub(crate) route_move: &'a Move,
    pub(crate) class: RouteClass,
    pub(crate) tracker: &'a MoveTracker,
    /// The verdict on this move, which takes all moves to the same pool into account.
    pub(crate) verdict: Verdict,
    /// The verdict on all moves to the same pool together.
    pub(crate) pool_verdict: Verdict,
    pub(crate) capacity: PoolCapacity,
    pub(crate) coverage: EvidenceCoverage,
    /// Slots that the other moves to the same pool keep busy.
    pub(crate) busy_slots_of_others: f64,
    /// Whether another move to the same pool is below its last stage or has only just reached it.
    pub(crate) others_are_ramping: bool,
    pub(crate) sibling_state: SiblingState,
    /// Why another move to the same pool was taken back while this one was at a large share.
    pub(crate) bad_under_load: Option<TakeBackReason>,
}

/// State and share that a move should have now.
struct DesiredState {
    state: MoveState,
    share: Share,
}

impl DecisionContext<'_> {
    /// The step to the desired state, or `None` if the move is already there.
    pub(crate) fn next_step(&self) -> Option<MoveStep> {
        let desired = self.desired_state();
        let route_move = self.route_move;
        if desired.share == route_move.share && is_equivalent_state(desired.state, route_move.state)
        {
            return None;
        }
        Some(MoveStep {
            id: route_move.id,
            step: route_move.step + 1,
            state: desired.state,
            share: desired.share,
            at: self.now,
            evidence: self.evidence(),
        })
    }

    /// Describes the evidence for operators.
    fn evidence(&self) -> String {
        format!(
            "{}; {} of {} nodes report, {:.1} calls/s, {} new calls at this share",
            self.tracker.analysis.describe(),
            self.coverage.nodes_reporting,
            self.coverage.nodes_expected,
            self.tracker.rate(),
            self.tracker.calls_at_share(),
        )
    }

    /// The state and share that the move should have now.
    fn desired_state(&self) -> DesiredState {
        if let Verdict::Bad(reason) = self.verdict {
            return taken_back(reason);
        }
        if let (RouteClass::Posting, SiblingState::Bad(reason)) = (self.class, self.sibling_state) {
            return taken_back(reason);
        }
        if let Some(reason) = self.bad_under_load {
            return taken_back(reason);
        }
        if self.now >= self.route_move.deadline {
            return taken_back(TakeBackReason::DeadlinePassed);
        }
        let is_proven = self.sibling_state == SiblingState::Proven;
        let schedule =
            MoveSchedule::new(self.route_move, self.class, is_proven, self.tracker.rate());
        if self.capacity.is_empty() {
            return self.without_servers(&schedule);
        }
        if self.is_suspect() {
            let share = self.route_move.share.min(schedule.canary());
            return self.desired_at_share(&schedule, share, Some(HoldReason::Suspicion));
        }
        if self.busy_slots_of_others + self.busy_slots(self.route_move.share) > self.slots() {
            let share = self.share_within_capacity();
            return self.desired_at_share(&schedule, share, Some(HoldReason::Capacity));
        }
        if !self.tracker.is_observed(self.now) && self.route_move.share > Share::ZERO {
            return self.current_state();
        }
        match self.hold_reason(&schedule) {
            Some(reason) if self.is_hold_brief(&schedule, reason) => self.current_state(),
            Some(reason) => self.desired_at_share(&schedule, self.route_move.share, Some(reason)),
            None => self.advance(&schedule),
        }
    }

    /// Advances to the next share, or to the end of the move, if the current share was kept for
    /// long enough.
    fn advance(&self, schedule: &MoveSchedule) -> DesiredState {
        let share = self.route_move.share;
        let time_at_share = self.now.since(self.tracker.share_since());
        let dwell = schedule.dwell(share, self.tracker.share_since());
        let is_due = share == Share::ZERO || time_at_share >= dwell;
        match schedule.next_stage(share) {
            _ if !is_due => self.desired_at_share(schedule, share, None),
            NextStage::Done if self.must_wait_for_others(schedule) => {
                self.desired_at_share(schedule, share, None)
            }
            NextStage::Raise(next) => self.desired_at_share(schedule, next, None),
            NextStage::Done => DesiredState {
                state: MoveState::Done,
                share: Share::FULL,
            },
        }
    }

    /// Whether other moves to the same pool are still being raised, so that the pool has not been
    /// observed under the load of all of them.
    fn must_wait_for_others(&self, schedule: &MoveSchedule) -> bool {
        self.others_are_ramping && self.now < schedule.latest_completion()
    }

    fn is_suspect(&self) -> bool {
        self.verdict == Verdict::Suspect
    }

    /// Why the share must not be raised now, or `None` if only time decides.
    #[expect(clippy::cast_precision_loss)]
    fn hold_reason(&self, schedule: &MoveSchedule) -> Option<HoldReason> {
        let share = self.route_move.share;
        if !self.coverage.is_enough() || self.tracker.is_silent(self.now) {
            return Some(HoldReason::EvidenceMissing);
        }
        if share == Share::ZERO {
            let must_wait =
                self.class == RouteClass::Posting && self.sibling_state == SiblingState::Unproven;
            return must_wait.then_some(HoldReason::ThinEvidence);
        }
        if self.tracker.was_cut(self.now) {
            return Some(HoldReason::Suspicion);
        }
        let since = self.tracker.share_since();
        let is_due = self.now.since(since) >= schedule.dwell(share, since);
        if !is_due {
            let reason = HoldReason::Capacity;
            let is_still_short_of_slots = self.route_move.state == MoveState::Holding { reason }
                && self.is_next_beyond_capacity(schedule);
            return is_still_short_of_slots.then_some(reason);
        }
        if self.verdict == Verdict::Inconclusive && !self.may_raise_inconclusive(schedule) {
            return Some(HoldReason::Suspicion);
        }
        let needed = schedule.calls_needed(share, since, self.tracker.rate());
        if (self.tracker.calls_at_share() as f64) < needed {
            return Some(HoldReason::ThinEvidence);
        }
        if self.capacity.is_all_cold() && share <= schedule.canary() {
            return Some(HoldReason::ColdStart);
        }
        self.is_next_beyond_capacity(schedule)
            .then_some(HoldReason::Capacity)
    }

    /// Whether the slots of the new pool are too few for the next share.
    fn is_next_beyond_capacity(&self, schedule: &MoveSchedule) -> bool {
        let next = match schedule.next_stage(self.route_move.share) {
            NextStage::Raise(next) => next,
            NextStage::Done => Share::FULL,
        };
        self.busy_slots_of_others + self.busy_slots(next) > self.slots() * MAX_UTILIZATION
    }

    /// Whether a move with inconclusive evidence may still be raised: the next share is small and
    /// the combined evidence of all routes is clear.
    fn may_raise_inconclusive(&self, schedule: &MoveSchedule) -> bool {
        let is_small = |share: Share| share.fraction() <= MAX_INCONCLUSIVE_SHARE;
        self.pool_verdict == Verdict::Clear
            && matches!(schedule.next_stage(self.route_move.share), NextStage::Raise(next) if is_small(next))
    }

    /// Slots of the new pool that the route keeps busy at a share.
    fn busy_slots(&self, share: Share) -> f64 {
        self.tracker.concurrency() * share.fraction()
    }

    fn slots(&self) -> f64 {
        f64::from(self.capacity.slots)
    }

    /// The share that fits the slots of the new pool if all routes are lowered by the same
    /// factor.
    fn share_within_capacity(&self) -> Share {
        let busy = self.busy_slots_of_others + self.busy_slots(self.route_move.share);
        let factor = self.slots() * MAX_UTILIZATION / busy;
        Share::from_fraction(self.route_move.share.fraction() * factor.min(1.0))
    }

    /// Whether a hold is too short to be reported as a step.
    fn is_hold_brief(&self, schedule: &MoveSchedule, reason: HoldReason) -> bool {
        let since = self.tracker.share_since();
        let dwell = schedule.dwell(self.route_move.share, since);
        let is_not_held = matches!(
            self.route_move.state,
            MoveState::Canary | MoveState::Ramping
        );
        is_not_held
            && !(reason == HoldReason::Suspicion && self.tracker.was_cut(self.now))
            && self.now.since(since) < dwell + MAX_UNREPORTED_HOLD
    }

    /// The current state and share, which leads to no step.
    const fn current_state(&self) -> DesiredState {
        DesiredState {
            state: self.route_move.state,
            share: self.route_move.share,
        }
    }

    /// The state of a move at a share: at risk if it cannot be done before the deadline, else
    /// holding, canary or ramping.
    fn desired_at_share(
        &self,
        schedule: &MoveSchedule,
        share: Share,
        hold: Option<HoldReason>,
    ) -> DesiredState {
        let earliest = schedule.earliest_completion(share, self.now);
        let state = if earliest > self.route_move.deadline {
            let reason = match hold {
                Some(HoldReason::Capacity) => RiskReason::Capacity,
                Some(HoldReason::ThinEvidence) => RiskReason::ThinEvidence,
                _ => RiskReason::TimeLeft,
            };
            MoveState::AtRisk {
                reason,
                earliest: Some(earliest),
            }
        } else {
            match hold {
                Some(reason) => MoveState::Holding { reason },
                None if share <= schedule.canary() => MoveState::Canary,
                None => MoveState::Ramping,
            }
        };
        DesiredState { state, share }
    }

    /// The desired state while the new pool has no backend servers: a share of zero.
    fn without_servers(&self, schedule: &MoveSchedule) -> DesiredState {
        let share = Share::ZERO;
        let is_late =
            schedule.earliest_completion(share, self.now) + MIN_DWELL > self.route_move.deadline;
        let state = if is_late {
            MoveState::AtRisk {
                reason: RiskReason::NoServers,
                earliest: None,
            }
        } else if self.route_move.share == Share::ZERO
            && self.route_move.state == MoveState::WaitingForServers
        {
            MoveState::WaitingForServers
        } else {
            MoveState::Holding {
                reason: HoldReason::NoServers,
            }
        };
        DesiredState { state, share }
    }
}

const fn taken_back(end: TakeBackReason) -> DesiredState {
    DesiredState {
        state: MoveState::TakenBack { end },
        share: Share::ZERO,
    }
}

/// Whether two states are the same for an operator. Small changes of the earliest completion do
/// not count.
fn is_equivalent_state(desired: MoveState, current: MoveState) -> bool {
    match (desired, current) {
        (
            MoveState::AtRisk { reason, earliest },
            MoveState::AtRisk {
                reason: current_reason,
                earliest: current_earliest,
            },
        ) => {
            let (new, old) = (
                earliest.unwrap_or_default(),
                current_earliest.unwrap_or_default(),
            );
            let change = new.since(old).max(old.since(new));
            reason == current_reason && change < MIN_EARLIEST_CHANGE
        }
        _ => desired == current,
    }
}
