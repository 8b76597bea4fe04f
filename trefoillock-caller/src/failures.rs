//! The failures of several attempts of one call.

use trefoillock_backend::{CallFailure, Crash, Execution, NotSent};

/// Joins the failures of two attempts: the call did not run only if neither of them ran.
pub(crate) fn join(earlier: Option<CallFailure>, later: CallFailure) -> CallFailure {
    let Some(earlier) = earlier else {
        return later;
    };
    let crashed = [earlier.crash(), later.crash()].contains(&Crash::Yes);
    let crash = if crashed { Crash::Yes } else { Crash::No };
    let joined = match (earlier.execution(), later.execution()) {
        (Execution::DidNotRun(_), Execution::DidNotRun(proof)) => both(&later, proof),
        (_, Execution::Unknown) => CallFailure::may_have_run(later.reason()),
        (Execution::Unknown, _) => CallFailure::may_have_run(earlier.reason()),
    };
    joined
        .with_crash(crash)
        .with_pause(later.pause().or(earlier.pause()))
}

/// Neither attempt ran; `proof` is that of the later one, and the earlier one has its own.
const fn both(later: &CallFailure, proof: NotSent) -> CallFailure {
    CallFailure::did_not_run(later.reason(), proof)
}
