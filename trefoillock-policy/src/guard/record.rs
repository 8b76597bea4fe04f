//! The record that a guard keeps for a key: its owners, released claims, and how the call ended.
//! Copies of a record from several guards can be merged.

use trefoillock_core::{Fingerprint, Timestamp, data};

use super::{CLOCK_SKEW_MARGIN, ClaimId, KEY_WINDOW};

/// The maximum size of a stored answer body, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 1_024;
/// The maximum number of released claims in a record, except after a merge. If one is forgotten,
/// the only consequence is that a delayed duplicate of its claim can hold the key until the window
/// ends.
const MAX_RELEASED: usize = 4;

/// An answer that is stored with its key and returned to callers that resend the request.
#[data]
pub struct StoredAnswer {
    /// The content type of the body, if the answer had one.
    pub content_type: Option<String>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// The size of the variable part in memory, in bytes.
    fn size_bytes(&self) -> usize {
        self.content_type.as_ref().map_or(0, String::len) + self.body.len()
    }
}

/// How the call that used a key ended.
#[data]
pub enum KeyEnd {
    /// The call was answered.
    Answered {
        /// The HTTP status of the answer.
        status: u16,
        /// The answer, if it was stored.
        stored: Option<Box<StoredAnswer>>,
    },
    /// The call broke off and may have run.
    MayHaveRun,
}

impl KeyEnd {
    /// Returns the end without its stored answer if the answer takes more than `room` bytes or its
    /// body is larger than [`MAX_STORED_BODY_BYTES`].
    pub(super) fn without_oversized_answer(&self, room: usize) -> Self {
        match self {
            Self::Answered {
                status,
                stored: Some(stored),
            } if stored.size_bytes() > room || stored.body.len() > MAX_STORED_BODY_BYTES => {
                Self::Answered {
                    status: *status,
                    stored: None,
                }
            }
            end => end.clone(),
        }
    }
}

/// The state of a key that another claim holds.
#[data]
pub enum KeyState {
    /// The call is running.
    Running,
    /// The call ended.
    Ended(KeyEnd),
}

/// The record that a guard keeps for a key.
#[data]
pub struct KeyRecord {
    /// The fingerprint of the request that was sent with the key; `None` if merged copies name
    /// different requests.
    pub fingerprint: Option<Fingerprint>,
    /// The claims that may own the key. There is more than one only if merged copies name different
    /// owners.
    pub owners: Vec<ClaimId>,
    /// The claims that were released: their calls did not run and never will.
    pub released: Vec<ClaimId>,
    /// How the call ended; `None` while no end has been reported.
    pub end: Option<KeyEnd>,
    /// The latest time at which the call can still be running, even if its end is never reported.
    pub running_until: Timestamp,
    /// The time of the last change to the record.
    pub at: Timestamp,
}

impl KeyRecord {
    /// Creates a record of a key without an owner.
    pub(super) const fn new(now: Timestamp) -> Self {
        Self {
            fingerprint: None,
            owners: Vec::new(),
            released: Vec::new(),
            end: None,
            running_until: Timestamp::EPOCH,
            at: now,
        }
    }

    /// Whether the key has no owner and no call with it has ended.
    pub(super) const fn is_free(&self) -> bool {
        self.owners.is_empty() && self.end.is_none()
    }

    /// The size of the stored answer, in bytes; zero if there is none.
    pub(super) fn stored_bytes(&self) -> usize {
        match &self.end {
            Some(KeyEnd::Answered { stored, .. }) => stored.as_ref().map_or(0, |s| s.size_bytes()),
            _ => 0,
        }
    }

    /// Whether a call with the key was answered.
    pub(super) const fn is_answered(&self) -> bool {
        matches!(self.end, Some(KeyEnd::Answered { .. }))
    }

    /// Whether the claim is the only possible owner and its call has not ended.
    pub(super) fn is_sole_owner(&self, id: ClaimId) -> bool {
        self.end.is_none() && self.owners == [id]
    }

    /// Whether the record may be deleted.
    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.at.max(self.running_until) + KEY_WINDOW + CLOCK_SKEW_MARGIN
    }

    /// The state that is reported to a claimant that does not own the key.
    pub(super) fn state(&self, now: Timestamp) -> KeyState {
        match &self.end {
            Some(end) => KeyState::Ended(end.clone()),
            None if now >= self.running_until => KeyState::Ended(KeyEnd::MayHaveRun),
            None => KeyState::Running,
        }
    }

    /// Grants the key to a claim.
    pub(super) fn grant(
        &mut self,
        now: Timestamp,
        id: ClaimId,
        fingerprint: Fingerprint,
        running_until: Timestamp,
    ) {
        self.fingerprint = Some(fingerprint);
        self.owners = vec![id];
        self.running_until = running_until;
        self.at = now;
    }

    /// Releases the key from a claim whose call did not run.
    pub(super) fn release(&mut self, now: Timestamp, id: ClaimId) {
        self.owners.retain(|owner| *owner != id);
        if !self.released.contains(&id) {
            self.released.push(id);
        }
        if self.released.len() > MAX_RELEASED {
            self.released.remove(0);
        }
        self.at = self.at.max(now);
    }

    /// Records how the call of an owner ended. An answer takes precedence over any other end.
    pub(super) fn record_end(&mut self, now: Timestamp, fingerprint: Fingerprint, end: KeyEnd) {
        self.fingerprint = Some(fingerprint);
        if !self.is_answered() {
            self.end = Some(end);
        }
        self.at = self.at.max(now);
    }

    /// Merges the record that another guard keeps for the same key.
    pub(super) fn merge(&mut self, other: Self) {
        let own_answered = self.is_answered();
        let other_answered = other.is_answered();
        self.fingerprint = match (own_answered, other_answered) {
            (true, false) => self.fingerprint,
            (false, true) => other.fingerprint,
            _ if other.is_free() => self.fingerprint,
            _ if self.is_free() => other.fingerprint,
            _ if self.fingerprint == other.fingerprint => self.fingerprint,
            _ => None,
        };
        for id in other.released {
            if !self.released.contains(&id) {
                self.released.push(id);
            }
        }
        for id in other.owners {
            if !self.owners.contains(&id) {
                self.owners.push(id);
            }
        }
        let released = &self.released;
        self.owners.retain(|id| !released.contains(id));
        if other_answered || self.end.is_none() {
            self.end = other.end.or_else(|| self.end.take());
        }
        self.running_until = self.running_until.max(other.running_until);
        self.at = self.at.max(other.at);
    }
}
