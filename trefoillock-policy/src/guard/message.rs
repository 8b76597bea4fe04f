//! The messages between claimants, guards and the leader.

use trefoillock_core::{Fingerprint, GuardSlot, Incarnation, Timestamp, data};

use super::{ClaimId, KeyEnd, KeyHash, KeyRecord, KeyState};

/// Asks a guard for a key.
#[data]
pub struct ClaimRequest {
    /// The incarnation of the guard that is asked.
    pub to: Incarnation,
    /// The epoch of the slot's guard set, as the claimant knows it.
    pub epoch: u64,
    /// The key.
    pub key: KeyHash,
    /// The claim.
    pub id: ClaimId,
    /// The request that came with the key.
    pub fingerprint: Fingerprint,
    /// The time that is embedded in the key, if any.
    pub key_time: Option<Timestamp>,
    /// The time by which the call has ended.
    pub running_until: Timestamp,
}

/// The answer of a guard to a claim.
#[data]
pub struct ClaimAnswer {
    /// The claim that is answered.
    pub id: ClaimId,
    /// The epoch of the claim that is answered.
    pub epoch: u64,
    /// The answer.
    pub vote: Vote,
}

/// Whether a guard grants a claim.
#[data]
pub enum Vote {
    /// The key is granted to the claim.
    Granted,
    /// Another claim with the same request holds the key.
    Held(KeyState),
    /// Another claim with another request holds the key.
    Reused,
    /// The key is not remembered, but may have been used before.
    Unprovable,
    /// The key is not remembered and was not used before, but the memory is full.
    Full,
    /// The epoch of the claim is not the one that the guard knows.
    Stale {
        /// The newest epoch that the guard knows.
        epoch: u64,
    },
    /// The guard is not active yet; it can be asked again soon.
    Syncing,
    /// The guard that was asked does not exist any more.
    Gone,
}

impl Vote {
    /// The vote as a claim of an epoch counts it: a guard that has not learned of the epoch yet
    /// can be asked again.
    pub(super) fn or_retry(self, epoch: u64) -> Self {
        match self {
            Self::Stale { epoch: known } if known <= epoch => Self::Syncing,
            vote => vote,
        }
    }
}

/// Tells a guard how the call of a claim ended.
#[data]
pub struct FinishRequest {
    /// The incarnation of the guard that is told.
    pub to: Incarnation,
    /// The key.
    pub key: KeyHash,
    /// The claim.
    pub id: ClaimId,
    /// The request that came with the key.
    pub fingerprint: Fingerprint,
    /// How the call ended.
    pub finish: Finish,
}

/// How the call of a claim ended.
#[data]
pub enum Finish {
    /// The call ran or may have run.
    Ended(KeyEnd),
    /// It is proved that the call did not run, and it never will.
    Released,
}

/// Asks a guard of the previous epoch for its records and its promise.
#[data(key)]
pub struct CopyRequest {
    /// The incarnation of the guard that is asked.
    pub to: Incarnation,
    /// The slot.
    pub slot: GuardSlot,
    /// The epoch for which is copied; the guard grants nothing in an older epoch any more.
    pub epoch: u64,
}

/// The records of a guard, and its promise.
#[data]
pub struct CopyAnswer {
    /// The slot.
    pub slot: GuardSlot,
    /// The epoch for which was asked.
    pub epoch: u64,
    /// The newest epoch in which the guard was active; zero if it never was.
    pub complete_for: u64,
    /// All records.
    pub records: Vec<(KeyHash, KeyRecord)>,
}

/// Tells the leader that a guard is active.
#[data(key)]
pub struct GuardAck {
    /// The slot.
    pub slot: GuardSlot,
    /// The epoch in which the guard is active.
    pub epoch: u64,
}
