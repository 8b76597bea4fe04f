//! Quotas of workspaces: a limit on the number of calls that run, counted over all nodes.
//!
//! The name of a workspace selects a guard slot, and each guard of the slot keeps an equal part of
//! the limit in a [`TokenBucket`]. [`QuotaKeeper`] holds the buckets of one node. An entry node
//! takes tokens from the guards, one [`TokenRound`] at a time, and keeps them in a [`TokenHolding`]
//! until they expire. A call may run with an unexpired token only.
//!
//! # The bound
//!
//! Let a quota have the rate `r` and the burst `b`, let `w` be the window, `o` the overage and `s`
//! the slack of [`QuotaBound`](trefoillock_core::QuotaBound). In a window of length `w` at most `(r w + b) (1 + o) + s` calls may
//! run.
//!
//! - The buckets of a slot hold `b (1 + o) + s` tokens together at most, and `r` tokens a second
//!   flow into them.
//! - A token expires 0.9 `o w` after the entry node began to ask for it, so a call that runs in
//!   `[t, t + w]` has a token granted in `[t - 0.9 o w, t + w]`.
//! - In this time at most `b (1 + o) + s + r w (1 + 0.9 o)` tokens are granted. The remaining tenth
//!   of `o w r` covers clocks whose rates differ by up to 1%.
//!
//! # Guards that change
//!
//! A guard grants tokens only while it holds a lease: less than [`LEASE`] must have passed since it
//! asked the control replicas for a confirmation that a live leader answered with a configuration
//! that this guard had applied. So a guard that a new configuration replaces stops within `LEASE`
//! of that configuration, connected or not. A guard whose part shrinks applies that at once. One
//! whose part begins or grows uses the new part only when nobody uses a part by an earlier set: as
//! soon as all guards of the previous set have applied the new one or are known to have ended, and
//! one of them vouches that no part by a still earlier set was in use; and in any case [`HANDOVER`]
//! after it learned the configuration. Two guards therefore never use the same part.
//!
//! A guard that has skipped a set of its slot cannot tell who held its part meanwhile and begins
//! anew. A restarted node is another guard. A bucket that begins is empty, because its predecessor
//! may just have granted a full one.

mod bucket;
mod demand_meter;
mod holding;
mod keeper;
mod message;
mod part;
mod round;
mod slot_part;

pub use bucket::TokenBucket;
pub use holding::{MAX_EMPTY_MEMORY, QuotaRefusal, Take, TakeStep, TokenAsk, TokenHolding};
pub use keeper::{BucketUse, QuotaKeeper};
pub use message::{ReleaseAnswer, ReleaseRequest, TokenAnswer, TokenRequest};
pub use part::QuotaPart;
pub use round::{RoundEnd, TokenRound};
pub use slot_part::{HANDOVER, LEASE};

use trefoillock_core::{GuardSlot, WorkspaceName, stable_hash};

/// The guard slot whose guards keep the quota of a workspace.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "half of the hash selects the slot"
)]
pub fn quota_slot(workspace: &WorkspaceName) -> GuardSlot {
    GuardSlot::from_hash(stable_hash([workspace.as_str().as_bytes()]) as u64)
}
