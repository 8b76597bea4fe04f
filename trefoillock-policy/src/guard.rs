//! The duplicate guard: at most one run of a posting for each idempotency key.
//!
//! The keys are divided into slots. Each slot has a small set of nodes, its guards, that
//! remember in memory which claimant owns a key. [`GuardKeeper`] is the memory of one node,
//! [`Claim`] the machine of one claimant, and [`plan_guards`] the planner of the leader.
//!
//! # Rules
//!
//! 1. A claimant runs a call only after a majority of the guards of one epoch granted its claim
//!    in that epoch. A claim that was lost or given up is never won later.
//! 2. A guard grants a key to one claimant. It grants it to another one only after the first
//!    claimant released it, which a claimant does only if its call is proved not to have run
//!    and never will.
//! 3. A guard grants claims of exactly one epoch: the newest that it knows, and only while it
//!    has promised no newer one.
//! 4. A guard becomes active in an epoch once so many guards of the previous epoch answered its
//!    request to copy that no majority is without one of them: two of three, one of two. By the
//!    answer they promise to grant nothing in an older epoch. At least one of the answers must
//!    be complete for the previous epoch, which means that its guard was active in that epoch
//!    or a later one.
//! 5. A restarted node is another guard: requests name the incarnation they are meant for.
//!
//! # Why no key is granted twice
//!
//! *Within an epoch.* Two majorities of one set share a guard, and by rule 2 that guard grants
//! the key to one claimant only.
//!
//! *From one epoch to the next.* Let a majority Q have granted a key in epoch p, and let a guard
//! become active in the next epoch e. The guards that answered its copy requests share a guard
//! with Q. The shared guard granted the key before it made its promise, else rule 3 would
//! have kept it from granting, so its answer holds the key. If the key was granted before p, the
//! answer that is complete for p holds it by induction. So each active guard of e knows the key
//! and refuses other claimants. Where copies name several owners of a key, all are kept, and
//! nobody gets it any more until all but one released it: refusing is always safe.
//!
//! *Loss.* When a majority of a set died, nobody can tell what it had granted. The next set then
//! carries the time `lost_at` of its planning, which is later than every grant of the dead
//! guards. Until [`KEY_WINDOW`] has passed, guards grant no key unless its own time, as embedded
//! in a `UUIDv7`, is later than `lost_at` by [`CLOCK_SKEW_MARGIN`]. That holds for unknown keys
//! and also for a claim that asks again for a key which it already holds at a surviving guard:
//! the dead ones may have granted the key to another claim. For the same reason no guard says
//! then that a key was used with another request only, unless that request was answered.
//! Guards that are
//! alive and could still form a majority of an older epoch are named as `previous`, so a
//! majority of them promises before the new set is active; dead guards grant nothing.
//!
//! # Assumptions
//!
//! - The clocks of nodes, leader and the callers that make `UUIDv7` keys differ by less than
//!   [`CLOCK_SKEW_MARGIN`].
//! - A claimant starts its call before the time that its claim states, so a process that was
//!   stopped for minutes does not run an expired claim.
//! - A key is resent within [`KEY_WINDOW`]. A `UUIDv7` key that is older is refused as unknown;
//!   another key that is older runs again.
//! - `dead` is proved: a newer incarnation of the same node is alive, or an operator vouches
//!   that the VM is gone. Silence is no proof.

mod acks;
mod claim;
mod keeper;
mod key;
mod message;
mod planner;
mod record;
mod slot_keeper;

pub use acks::GuardAcks;
pub use claim::{Claim, ClaimLoss, ClaimState};
pub use keeper::GuardKeeper;
pub use key::{CLOCK_SKEW_MARGIN, ClaimId, KEY_WINDOW, KeyHash, uuid_v7_time};
pub use message::{
    ClaimAnswer, ClaimRequest, CopyAnswer, CopyRequest, Finish, FinishRequest, GuardAck, Vote,
};
pub use planner::{DeadGuards, plan_guards};
pub use record::{KeyEnd, KeyRecord, KeyState, MAX_STORED_BODY_BYTES, StoredAnswer};
pub use slot_keeper::MAX_KEYS_PER_SLOT;
