//! The duplicate guard: ensures that a posting runs at most once for each idempotency key.
//!
//! The keys are divided into slots. Each slot has a small set of nodes, its guards, which record in
//! memory which claim owns a key. [`GuardKeeper`] holds the records of one node, [`Claim`] is the
//! state machine of one claimant, that is, of one call that asks for its key, and [`plan_guards`]
//! computes the guard sets on the leader.
//!
//! # Rules
//!
//! 1. A claimant runs a call only after a majority of the guards of one epoch has granted its claim
//!    in that epoch. A claim that was lost or abandoned is never won later.
//! 2. A guard grants a key to one claimant. It grants the key to another one only after the first
//!    claimant has released it. A claimant releases a key only if its call provably has not run and
//!    never will.
//! 3. A guard grants claims of exactly one epoch: the newest that it knows, and only while it has
//!    promised no newer one.
//! 4. A guard becomes active in an epoch once so many guards of the previous epoch have answered
//!    its copy request that every majority of them includes one that did: two of three, one of two.
//!    By answering, a guard promises to grant nothing in an older epoch. At least one answer must
//!    be complete for the previous epoch, that is, from a guard that was active in that epoch or a
//!    later one.
//! 5. A restarted node is a different guard: requests name the incarnation that they address.
//!
//! # Why no key is granted twice
//!
//! *Within an epoch.* Any two majorities of one set share a guard, and by rule 2 that guard grants
//! the key to one claimant only.
//!
//! *From one epoch to the next.* Let a majority Q have granted a key in epoch p, and let a guard
//! become active in the next epoch e. The guards that answered its copy requests include a guard of
//! Q. That guard granted the key before it made its promise, because rule 3 would have prevented
//! the grant afterwards, so its answer contains the key. If the key was granted before p, the
//! answer that is complete for p contains it by induction. Every active guard of e therefore knows
//! the key and refuses other claimants. If copies name several owners of a key, all are kept, and
//! the key is granted to nobody until all but one have released it: refusing is always safe.
//!
//! *Loss.* When a majority of a set is dead, what it had granted is unknown. The next set then
//! carries `lost_at`, the time at which it was planned, which is later than every grant of the dead
//! guards. Until [`KEY_WINDOW`] has passed, guards grant a key only if the time embedded in it as a
//! `UUIDv7` is later than `lost_at` by [`CLOCK_SKEW_MARGIN`]. This applies to unknown keys, and
//! also to a claim that asks again for a key that it already holds at a surviving guard, because
//! the dead guards may have granted the key to another claim. For the same reason, a guard does not
//! report during this time that a key was used with another request, unless that request was
//! answered. Guards that are alive and could still form a majority of an older epoch are listed as
//! `previous`, so that a majority of them promises before the new set becomes active; dead guards
//! grant nothing.
//!
//! # Assumptions
//!
//! - The clocks of nodes, leader and the callers that create `UUIDv7` keys differ by less than
//!   [`CLOCK_SKEW_MARGIN`].
//! - A claimant starts its call before the time stated in its claim, so a process that was
//!   suspended for minutes does not run an expired claim.
//! - A key is resent within [`KEY_WINDOW`]. An older `UUIDv7` key is refused as unknown; any other
//!   older key runs again.
//! - Dead guards are proved dead: a newer incarnation of the same node is alive, or an operator
//!   confirms that the VM is gone. A node that is merely unreachable is not.

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
