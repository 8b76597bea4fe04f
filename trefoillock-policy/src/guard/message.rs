//! Messages between claimants, guards and the leader.

use trefoillock_core::{Fingerprint, GuardSlot, Incarnation, Timestamp, data};

use super::{ClaimId, KeyEnd, KeyHash, KeyRecord, KeyState};

/// Asks a guard to grant a key to a claim.
#[data]
pub struct ClaimRequest {
    /// The incarnation of the guard that the request addresses.
    pub to: Incarnation,
    /// The epoch of the guard set that the claimant uses.
    pub epoch: u64,
    /// The hash of the claimed key.
    pub key: KeyHash,
    /// The claim that asks for the key.
    pub id: ClaimId,
    /// The fingerprint of the request that was sent with the key.
    pub fingerprint: Fingerprint,
    /// The time embedded in the key, if the key is a `UUIDv7`.
    pub key_time: Option<Timestamp>,
    /// The latest time at which the call can still be running.
    pub running_until: Timestamp,
}

/// A guard's answer to a claim.
#[data]
pub struct ClaimAnswer {
    /// The claim that the answer is for.
    pub id: ClaimId,
    /// The epoch stated in the request.
    pub epoch: u64,
    /// The guard's decision.
    pub vote: Vote,
}

/// A guard's decision on a claim.
#[data]
pub enum Vote {
    /// The key is granted to the claim.
    Granted,
    /// Another claim with the same request holds the key.
    Held(KeyState),
    /// Another claim with a different request holds the key.
    Reused,
    /// The guard has no record of the key, but the key may have been used before.
    Unprovable,
    /// The guard has no record of the key and the key has not been used before, but the memory of
    /// the guard is full.
    Full,
    /// The epoch of the claim is not the guard's current epoch.
    Stale {
        /// The newest epoch that the guard has promised.
        epoch: u64,
    },
    /// The guard is not active yet and can be asked again soon.
    Syncing,
    /// The addressed incarnation of the guard no longer exists.
    Gone,
}

impl Vote {
    /// Replaces `Stale` by `Syncing` if the guard does not know an epoch newer than that of the
    /// claim: the guard has yet to learn of the epoch and can be asked again.
    pub(super) fn or_syncing(self, epoch: u64) -> Self {
        match self {
            Self::Stale { epoch: known } if known <= epoch => Self::Syncing,
            vote => vote,
        }
    }
}

/// Tells a guard how the call of a claim ended.
#[data]
pub struct FinishRequest {
    /// The incarnation of the guard that the request addresses.
    pub to: Incarnation,
    /// The hash of the claimed key.
    pub key: KeyHash,
    /// The claim whose call ended.
    pub id: ClaimId,
    /// The fingerprint of the request that was sent with the key.
    pub fingerprint: Fingerprint,
    /// How the call ended.
    pub finish: Finish,
}

/// How the call of a claim ended.
#[data]
pub enum Finish {
    /// The call ran or may have run.
    Ended(KeyEnd),
    /// The call provably did not run and never will, so the key can be granted to another claim.
    Released,
}

/// Asks a guard of the previous epoch for its records and for its promise.
#[data(key)]
pub struct CopyRequest {
    /// The incarnation of the guard that the request addresses.
    pub to: Incarnation,
    /// The slot whose records are copied.
    pub slot: GuardSlot,
    /// The epoch that the copy is for. By answering, the guard promises to grant nothing in an
    /// older epoch.
    pub epoch: u64,
}

/// The records of a guard for a slot. Sending it implies the promise of [`CopyRequest::epoch`].
#[data]
pub struct CopyAnswer {
    /// The slot of the records.
    pub slot: GuardSlot,
    /// The epoch stated in the request.
    pub epoch: u64,
    /// The newest epoch in which the guard was active; zero if there was none.
    pub complete_for: u64,
    /// All records of the slot.
    pub records: Vec<(KeyHash, KeyRecord)>,
}

/// Tells the leader that a guard is active.
#[data(key)]
pub struct GuardAck {
    /// The slot in which the guard is active.
    pub slot: GuardSlot,
    /// The epoch in which the guard is active.
    pub epoch: u64,
}
