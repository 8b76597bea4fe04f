//! The decision on one move.

use std::time::Duration;

use trefoillock_core::{
    HoldReason, Move, MoveEnd, MoveState, MoveStep, RiskReason, RouteClass, Share, Timestamp,
};

use crate::{
    judge::Verdict,
    node_report::NodeReport,
    plan::{MIN_DWELL, Next, Plan},
    servers::PoolServers,
    siblings::Siblings,
    track::Track,
};

/// The part of the new pool's slots that may be busy.
const MAX_BUSY: f64 = 0.85;
/// The largest share to which a doubtful version may be raised for a closer look.
const CLOSER_LOOK: f64 = 0.025;
/// The longest hold that is not told as a step of its own.
const BRIEF_HOLD: Duration = Duration::from_secs(3);
/// By how much the earliest time must change to be reported again.
const EARLIEST_CHANGE: Duration = Duration::from_secs(30);

/// What a decision on one move is based on.
pub(crate) struct Scene<'a> {
    pub(crate) now: Timestamp,
    pub(crate) action: &'a Move,
    pub(crate) class: RouteClass,
    pub(crate) track: &'a Track,
    pub(crate) verdict: Verdict,
    /// The verdict on all moves to the same pool.
    pub(crate) pool_verdict: Verdict,
    pub(crate) servers: PoolServers,
    pub(crate) report: NodeReport,
    /// Slots that the other moves to the same pool keep busy.
    pub(crate) busy_of_others: f64,
    /// Whether another move to the same pool has not reached its last stage, or has only just.
    pub(crate) others_are_rising: bool,
    pub(crate) siblings: Siblings,
    /// Why another move to the same pool was taken back while this one was at a large share.
    pub(crate) bad_under_load: Option<MoveEnd>,
}

/// Where a move shall stand.
struct Aim {
    state: MoveState,
    share: Share,
}

impl Scene<'_> {
    /// The step that leads to the aim, or `None` if the move stands there.
    pub(crate) fn step(&self) -> Option<MoveStep> {
        let aim = self.aim();
        let action = self.action;
        if aim.share == action.share && same_state(aim.state, action.state) {
            return None;
        }
        Some(MoveStep {
            id: action.id,
            step: action.step + 1,
            state: aim.state,
            share: aim.share,
            at: self.now,
            evidence: self.evidence(),
        })
    }

    fn evidence(&self) -> String {
        format!(
            "{}; {} of {} nodes report, {:.1} calls/s, {} new calls at this share",
            self.track.judge.describe(),
            self.report.nodes_reporting,
            self.report.nodes_expected,
            self.track.rate(),
            self.track.calls_at_share(),
        )
    }

    /// Where the move shall stand.
    fn aim(&self) -> Aim {
        if let Verdict::Bad(end) = self.verdict {
            return taken_back(end);
        }
        if let (RouteClass::Posting, Siblings::Bad(end)) = (self.class, self.siblings) {
            return taken_back(end);
        }
        if let Some(end) = self.bad_under_load {
            return taken_back(end);
        }
        if self.now >= self.action.deadline {
            return taken_back(MoveEnd::DeadlinePassed);
        }
        let is_vouched = self.siblings == Siblings::Proven;
        let plan = Plan::new(self.action, self.class, is_vouched, self.track.rate());
        if self.servers.is_empty() {
            return self.without_servers(&plan);
        }
        if self.is_suspect() {
            let share = self.action.share.min(plan.canary());
            return self.at_share(&plan, share, Some(HoldReason::Suspicion));
        }
        if self.busy_of_others + self.busy(self.action.share) > self.slots() {
            let share = self.affordable_share();
            return self.at_share(&plan, share, Some(HoldReason::Capacity));
        }
        if !self.track.is_observed(self.now) && self.action.share > Share::ZERO {
            return self.unchanged();
        }
        match self.hold_reason(&plan) {
            Some(reason) if self.is_hold_brief(&plan, reason) => self.unchanged(),
            Some(reason) => self.at_share(&plan, self.action.share, Some(reason)),
            None => self.onwards(&plan),
        }
    }

    /// The next share, or the end, if it is time.
    fn onwards(&self, plan: &Plan) -> Aim {
        let share = self.action.share;
        let kept = self.now.since(self.track.share_since());
        let dwell = plan.dwell(share, self.track.share_since());
        let is_due = share == Share::ZERO || kept >= dwell;
        match plan.next(share) {
            _ if !is_due => self.at_share(plan, share, None),
            Next::Done if self.must_wait_for_others(plan) => self.at_share(plan, share, None),
            Next::Raise(next) => self.at_share(plan, next, None),
            Next::Done => Aim {
                state: MoveState::Done,
                share: Share::FULL,
            },
        }
    }

    /// Whether other moves to the same pool are still being raised, so that the pool has not
    /// yet been watched under the load of all of them.
    fn must_wait_for_others(&self, plan: &Plan) -> bool {
        self.others_are_rising && self.now < plan.latest()
    }

    fn is_suspect(&self) -> bool {
        self.verdict == Verdict::Suspect
    }

    /// Why the share must not be raised now, whatever the time.
    #[expect(clippy::cast_precision_loss)]
    fn hold_reason(&self, plan: &Plan) -> Option<HoldReason> {
        let share = self.action.share;
        if !self.report.is_enough() || self.track.is_silent(self.now) {
            return Some(HoldReason::EvidenceMissing);
        }
        if share == Share::ZERO {
            let must_wait =
                self.class == RouteClass::Posting && self.siblings == Siblings::Unproven;
            return must_wait.then_some(HoldReason::ThinEvidence);
        }
        if self.track.was_cut(self.now) {
            return Some(HoldReason::Suspicion);
        }
        let since = self.track.share_since();
        let is_due = self.now.since(since) >= plan.dwell(share, since);
        if !is_due {
            let reason = HoldReason::Capacity;
            let is_still_short =
                self.action.state == MoveState::Holding { reason } && self.is_next_too_large(plan);
            return is_still_short.then_some(reason);
        }
        if self.verdict == Verdict::Doubtful && !self.may_look_closer(plan) {
            return Some(HoldReason::Suspicion);
        }
        let needed = plan.calls_needed(share, since, self.track.rate());
        if (self.track.calls_at_share() as f64) < needed {
            return Some(HoldReason::ThinEvidence);
        }
        if self.servers.is_all_cold() && share <= plan.canary() {
            return Some(HoldReason::ColdStart);
        }
        self.is_next_too_large(plan).then_some(HoldReason::Capacity)
    }

    /// Whether the slots of the new pool cannot carry the next share.
    fn is_next_too_large(&self, plan: &Plan) -> bool {
        let next = match plan.next(self.action.share) {
            Next::Raise(next) => next,
            Next::Done => Share::FULL,
        };
        self.busy_of_others + self.busy(next) > self.slots() * MAX_BUSY
    }

    /// Whether a doubt of this route alone may be settled at the next share, since it is small
    /// and the version is clear on the routes as a whole.
    fn may_look_closer(&self, plan: &Plan) -> bool {
        let is_small = |share: Share| share.fraction() <= CLOSER_LOOK;
        self.pool_verdict == Verdict::Clear
            && matches!(plan.next(self.action.share), Next::Raise(next) if is_small(next))
    }

    /// The slots of the new pool that the route keeps busy at a share.
    fn busy(&self, share: Share) -> f64 {
        self.track.busy() * share.fraction()
    }

    fn slots(&self) -> f64 {
        f64::from(self.servers.slots)
    }

    /// The share that the slots of the new pool can carry, if all routes are lowered alike.
    fn affordable_share(&self) -> Share {
        let busy = self.busy_of_others + self.busy(self.action.share);
        let part = self.slots() * MAX_BUSY / busy;
        Share::from_fraction(self.action.share.fraction() * part.min(1.0))
    }

    /// Whether a hold is so short that it is not worth a step.
    fn is_hold_brief(&self, plan: &Plan, reason: HoldReason) -> bool {
        let since = self.track.share_since();
        let dwell = plan.dwell(self.action.share, since);
        let is_unheld = matches!(self.action.state, MoveState::Canary | MoveState::Ramping);
        is_unheld
            && !(reason == HoldReason::Suspicion && self.track.was_cut(self.now))
            && self.now.since(since) < dwell + BRIEF_HOLD
    }

    /// No step.
    const fn unchanged(&self) -> Aim {
        Aim {
            state: self.action.state,
            share: self.action.share,
        }
    }

    /// Stays at a share, and tells whether it may be done in time.
    fn at_share(&self, plan: &Plan, share: Share, hold: Option<HoldReason>) -> Aim {
        let earliest = plan.earliest(share, self.now);
        let state = if earliest > self.action.deadline {
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
                None if share <= plan.canary() => MoveState::Canary,
                None => MoveState::Ramping,
            }
        };
        Aim { state, share }
    }

    /// Without backend servers the new pool gets no calls.
    fn without_servers(&self, plan: &Plan) -> Aim {
        let share = Share::ZERO;
        let is_late = plan.earliest(share, self.now) + MIN_DWELL > self.action.deadline;
        let state = if is_late {
            MoveState::AtRisk {
                reason: RiskReason::NoServers,
                earliest: None,
            }
        } else if self.action.share == Share::ZERO
            && self.action.state == MoveState::WaitingForServers
        {
            MoveState::WaitingForServers
        } else {
            MoveState::Holding {
                reason: HoldReason::NoServers,
            }
        };
        Aim { state, share }
    }
}

const fn taken_back(end: MoveEnd) -> Aim {
    Aim {
        state: MoveState::TakenBack { end },
        share: Share::ZERO,
    }
}

/// Whether two states tell an operator the same.
fn same_state(aim: MoveState, held: MoveState) -> bool {
    match (aim, held) {
        (
            MoveState::AtRisk { reason, earliest },
            MoveState::AtRisk {
                reason: held_reason,
                earliest: held_earliest,
            },
        ) => {
            let (new, old) = (
                earliest.unwrap_or_default(),
                held_earliest.unwrap_or_default(),
            );
            let change = new.since(old).max(old.since(new));
            reason == held_reason && change < EARLIEST_CHANGE
        }
        _ => aim == held,
    }
}
