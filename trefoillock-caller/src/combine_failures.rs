//! Combines the failures of several attempts of one call.

use trefoillock_backend::{CallFailure, Crash, Execution, NotExecuted};

/// Combines the failures of two attempts. The call is proven not to have run only if that is proven
/// for both attempts.
pub(crate) fn combine(earlier: Option<CallFailure>, later: CallFailure) -> CallFailure {
    let Some(earlier) = earlier else {
        return later;
    };
    let crashed = [earlier.crash(), later.crash()].contains(&Crash::Yes);
    let crash = if crashed { Crash::Yes } else { Crash::No };
    let combined = match (earlier.execution(), later.execution()) {
        (Execution::DidNotRun(_), Execution::DidNotRun(proof)) => neither_ran(&later, proof),
        (_, Execution::Unknown) => CallFailure::may_have_run(later.reason()),
        (Execution::Unknown, _) => CallFailure::may_have_run(earlier.reason()),
    };
    combined
        .with_crash(crash)
        .with_retry_after(later.retry_after().or(earlier.retry_after()))
}

/// The failure if neither attempt ran. `proof` is that of the later attempt; the earlier one has its
/// own.
const fn neither_ran(later: &CallFailure, proof: NotExecuted) -> CallFailure {
    CallFailure::did_not_run(later.reason(), proof)
}
