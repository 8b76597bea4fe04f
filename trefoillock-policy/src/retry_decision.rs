//! Whether a call that failed is tried again.

use std::time::Duration;

use trefoillock_core::{Outcome, RefusalReason, RouteClass, Timestamp, data};

use crate::RetryBudget;

/// The number of choices up to which a refusal for overload is free.
const FREE_CHOICES: u32 = 2;
/// The largest number of backend servers that are chosen for a call, received or not.
const MAX_CHOICES: u32 = 4;
/// The time that must be left before the deadline for another attempt to make sense.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);

/// Whether a byte of a request may have reached a backend server.
#[data(key)]
pub enum SentState {
    /// No byte has left the destination node, or the call never reached it.
    NotSent,
    /// A byte may have reached the backend server.
    MayBeSent,
}

/// How one attempt of a call ended.
#[data(key)]
pub struct Attempt {
    /// The class of the call's route.
    pub class: RouteClass,
    /// Whether a byte of the request may have reached a backend server.
    pub sent: SentState,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Why it was not answered.
    pub reason: RefusalReason,
    /// The number of backend servers that were chosen so far.
    pub attempts: u32,
    /// The number of backend servers that received the call or may have.
    pub sends: u32,
    /// The largest number of backend servers that may receive it.
    pub max_sends: u32,
    /// The time by which the caller needs the answer.
    pub deadline: Timestamp,
}

/// Why a call is not tried again.
#[data(key)]
pub enum GiveUp {
    /// The call was answered, or another attempt could not end better.
    Final,
    /// The call is not idempotent and may have run.
    MayHaveRun,
    /// The budget or the number of attempts is used up.
    Budget,
    /// Too little time is left.
    Deadline,
}

/// Whether a call is tried again.
#[data(key)]
pub enum RetryDecision {
    /// It is tried again at once, on a backend server that it has not been tried on.
    Retry,
    /// It is not tried again.
    GiveUp(GiveUp),
}

/// Decides whether a call is tried again after a failed attempt, and takes the retry from the
/// budget.
///
/// A posting is only tried again if it is proved that the attempt did not run: no byte was
/// sent, or the backend server itself refused it before running it. Refusals because of a drain
/// cost no budget, so that a planned stop fails no call; they are bounded by the attempts.
#[must_use]
pub fn retry_decision(
    now: Timestamp,
    attempt: &Attempt,
    budget: &mut RetryBudget,
) -> RetryDecision {
    if let Some(why) = final_reason(attempt) {
        return RetryDecision::GiveUp(why);
    }
    if now + MIN_TIME_LEFT > attempt.deadline {
        return RetryDecision::GiveUp(GiveUp::Deadline);
    }
    if attempt.sends >= attempt.max_sends || attempt.attempts >= MAX_CHOICES {
        return RetryDecision::GiveUp(GiveUp::Budget);
    }
    if !is_free(attempt) && !budget.withdraw() {
        return RetryDecision::GiveUp(GiveUp::Budget);
    }
    RetryDecision::Retry
}

/// The reason that rules out another attempt whatever time and budget are left.
/// Whether another choice burdens no backend server: none has received the call, and the nodes
/// beside them are not asked over and over while they are overloaded.
const fn is_free(attempt: &Attempt) -> bool {
    let is_gone = matches!(
        attempt.reason,
        RefusalReason::Draining | RefusalReason::Unreachable
    );
    attempt.sends == 0 && (is_gone || attempt.attempts < FREE_CHOICES)
}

const fn final_reason(attempt: &Attempt) -> Option<GiveUp> {
    if matches!(attempt.outcome, Outcome::Answered) || !is_retryable(attempt.reason) {
        return Some(GiveUp::Final);
    }
    match attempt.class {
        RouteClass::Background => Some(GiveUp::Final),
        RouteClass::Posting if !proved_not_run(attempt) => Some(GiveUp::MayHaveRun),
        RouteClass::Posting | RouteClass::Lookup | RouteClass::Export => None,
    }
}

/// Whether another backend server could answer a call that failed for a reason.
const fn is_retryable(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded
            | RefusalReason::Unreachable
            | RefusalReason::Draining
            | RefusalReason::RefusedByServer
            | RefusalReason::ConnectionLost
            | RefusalReason::SpoiledAnswer
            | RefusalReason::ServerError
    )
}

/// Whether it is proved that the attempt did not run.
const fn proved_not_run(attempt: &Attempt) -> bool {
    let refused = matches!(attempt.reason, RefusalReason::RefusedByServer);
    matches!(attempt.outcome, Outcome::DidNotRun)
        && (matches!(attempt.sent, SentState::NotSent) || refused)
}
