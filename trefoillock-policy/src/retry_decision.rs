//! Decides whether a call is retried after a failed attempt, from the attempt's outcome, the retry
//! budget and the time left. A posting is retried only if it provably did not run.

use std::time::Duration;

use trefoillock_core::{Outcome, RefusalReason, RouteClass, Timestamp, data};

use crate::RetryBudget;

/// The number of attempts below which a retry costs no budget, if no server has received the call.
/// Retries after a refusal by a draining or unreachable server have no such limit.
const MAX_FREE_ATTEMPTS: u32 = 2;
/// The largest number of backend servers that are selected for a call, whether or not they receive
/// it.
const MAX_ATTEMPTS: u32 = 4;
/// The shortest time left before the deadline in which another attempt is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);

/// Whether the backend server may have received any part of the request.
#[data(key)]
pub enum SentState {
    /// No byte was sent to the backend server, or the call never reached its destination node.
    NotSent,
    /// At least one byte may have reached the backend server.
    MayBeSent,
}

/// A finished attempt of a call, as input to [`retry_decision`].
#[data(key)]
pub struct Attempt {
    /// The class of the call's route.
    pub class: RouteClass,
    /// Whether the backend server may have received any part of the request.
    pub sent: SentState,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The reason for which the attempt was not answered.
    pub reason: RefusalReason,
    /// The number of backend servers selected for the call so far.
    pub attempts: u32,
    /// The number of backend servers that have received the call or may have.
    pub sends: u32,
    /// The largest number of backend servers that may receive the call.
    pub max_sends: u32,
    /// The time after which the caller no longer waits for the answer.
    pub deadline: Timestamp,
}

/// Why a call is not retried.
#[data(key)]
pub enum GiveUp {
    /// The call was answered, or the reason of the failure or the class of the call rules out a
    /// retry.
    Final,
    /// The call is not idempotent and may have run.
    MayHaveRun,
    /// The retry budget or the number of attempts is exhausted.
    Budget,
    /// Too little time is left before the deadline.
    Deadline,
}

/// The result of [`retry_decision`].
#[data(key)]
pub enum RetryDecision {
    /// Retry immediately, on a backend server that has not been tried yet.
    Retry,
    /// Do not retry, for the given reason.
    GiveUp(GiveUp),
}

/// Decides whether a call is retried after a failed attempt. A retry that is not free is withdrawn
/// from the budget.
///
/// A posting is retried only if the attempt provably did not run: no byte was sent, or the backend
/// server refused the call before running it. Retries after a refusal by a draining or unreachable
/// server cost no budget as long as no server has received the call, so that a planned stop fails
/// no call; the limit on attempts bounds them.
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
    if attempt.sends >= attempt.max_sends || attempt.attempts >= MAX_ATTEMPTS {
        return RetryDecision::GiveUp(GiveUp::Budget);
    }
    if !is_free(attempt) && !budget.withdraw() {
        return RetryDecision::GiveUp(GiveUp::Budget);
    }
    RetryDecision::Retry
}

/// Whether a retry costs no budget because it puts no load on a backend server: no server has
/// received the call. Unless a server was draining, evacuated, unreachable or limited by its rollout, only
/// the first retry is free, so that the destination nodes are not asked repeatedly while they are overloaded.
const fn is_free(attempt: &Attempt) -> bool {
    let is_unavailable = matches!(
        attempt.reason,
        RefusalReason::Draining
            | RefusalReason::Unreachable
            | RefusalReason::AllowanceSpent
            | RefusalReason::Evacuated
    );
    attempt.sends == 0 && (is_unavailable || attempt.attempts < MAX_FREE_ATTEMPTS)
}

/// Returns the reason that rules out a retry regardless of the time and budget left.
const fn final_reason(attempt: &Attempt) -> Option<GiveUp> {
    if matches!(attempt.outcome, Outcome::Answered) || !is_retryable(attempt.reason) {
        return Some(GiveUp::Final);
    }
    match attempt.class {
        RouteClass::Background => Some(GiveUp::Final),
        RouteClass::Posting if !provably_did_not_run(attempt) => Some(GiveUp::MayHaveRun),
        RouteClass::Posting | RouteClass::Lookup | RouteClass::Export => None,
    }
}

/// Whether a call that failed for this reason may succeed on another backend server.
const fn is_retryable(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded
            | RefusalReason::RateLimited
            | RefusalReason::LinkFull
            | RefusalReason::AllowanceSpent
            | RefusalReason::Evacuated
            | RefusalReason::Unreachable
            | RefusalReason::Draining
            | RefusalReason::RefusedByServer
            | RefusalReason::ConnectionLost
            | RefusalReason::SpoiledAnswer
            | RefusalReason::ServerError
    )
}

/// Whether the attempt provably did not run.
const fn provably_did_not_run(attempt: &Attempt) -> bool {
    let refused_by_server = matches!(attempt.reason, RefusalReason::RefusedByServer);
    matches!(attempt.outcome, Outcome::DidNotRun)
        && (matches!(attempt.sent, SentState::NotSent) || refused_by_server)
}
