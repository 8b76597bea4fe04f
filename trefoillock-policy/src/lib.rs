//! Decisions about calls: which backend server receives a call, whether the call is admitted,
//! queued, refused, retried or hedged, and whether a posting may run.
//!
//! Of the workspace, this crate uses `trefoillock-core` only; the crates that do the I/O build on
//! it. Every type here is a pure state machine: the current time and random numbers are arguments,
//! effects are return values, and nothing locks or blocks. Callers share a state machine between
//! threads by putting it behind a lock of their own.
//!
//! ```
//! use std::time::Duration;
//! use trefoillock_core::{RouteClass, Timestamp};
//! use trefoillock_policy::{Admission, Demand, Offer, Ticket};
//!
//! let now = Timestamp::from_secs(1);
//! let mut admission = Admission::new(1, 10, Duration::from_millis(100));
//! let deadline = now + Duration::from_secs(1);
//! let first = admission.offer(now, Ticket::new(1), Demand::new(RouteClass::Posting, deadline));
//! let second = admission.offer(now, Ticket::new(2), Demand::new(RouteClass::Lookup, deadline));
//! assert_eq!((first, second), (Offer::Admitted, Offer::Queued));
//! assert_eq!(admission.release(now, Ticket::new(1)), vec![Ticket::new(2)]);
//! ```

mod admission;
mod ask_limiter;
mod balancer;
mod burn;
mod caller_timeout;
mod completion_estimate;
mod crash_counter;
mod demand;
pub mod guard;
mod hedge_policy;
mod kind;
mod link_schedule;
mod load_hint;
mod quarantine;
pub mod quota;
mod rate_limiter;
mod recent_starts;
mod retry_budget;
mod retry_decision;
mod return_delay;
mod rollout_ledger;
mod server_forecast;
mod server_load;
mod service_time;
mod time_hint;
mod wait_queue;
mod warm_up_phase;
mod warm_up_probe;
mod work_pace;

pub use admission::{Admission, Offer, RefusedCall, Ticket};
pub use ask_limiter::AskLimiter;
pub use balancer::Balancer;
pub use burn::{BURN_WINDOWS, BurnMeter, BurnReport, BurnRow, BurnWindow};
pub use caller_timeout::CallerTimeoutEstimate;
pub use completion_estimate::{CompletionEstimate, WorkMark};
pub use crash_counter::CrashCounter;
pub use demand::{Demand, Lane, RouteTag, WorkspaceId};
pub use guard::{
    CLOCK_SKEW_MARGIN, Claim, ClaimAnswer, ClaimId, ClaimLoss, ClaimRequest, ClaimState,
    CopyAnswer, CopyRequest, DeadGuards, Finish, FinishRequest, GuardAck, GuardAcks, GuardKeeper,
    KEY_WINDOW, KeyEnd, KeyHash, KeyRecord, KeyState, MAX_KEYS_PER_SLOT, MAX_STORED_BODY_BYTES,
    StoredAnswer, Vote, plan_guards, uuid_v7_time,
};
pub use hedge_policy::HedgePolicy;
pub use link_schedule::LinkSchedule;
pub use load_hint::{CallResult, LimitHint, LoadHint};
pub use quarantine::Quarantine;
pub use quota::{
    BucketUse, QuotaKeeper, QuotaRefusal, ReleaseAnswer, ReleaseRequest, RoundEnd, Take, TakeStep,
    TokenAnswer, TokenAsk, TokenHolding, TokenRequest, TokenRound, quota_slot,
};
pub use retry_budget::RetryBudget;
pub use retry_decision::{Attempt, GiveUp, RetryDecision, SentState, retry_decision};
pub use return_delay::RefusedReturn;
pub use rollout_ledger::{AllowanceSpent, RolloutClaim, RolloutLedger, VersionCall, VersionCalls};
pub use time_hint::TimeHint;
pub use warm_up_phase::WarmUpPhase;
pub use warm_up_probe::WarmUpProbe;
pub use work_pace::{WorkPace, WorkPaceError};
