//! What a guard remembers of a key.

use trefoillock_core::{Fingerprint, Timestamp, data};

use super::{CLOCK_SKEW_MARGIN, ClaimId, KEY_WINDOW};

/// The largest body that is kept with an answer, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 1_024;
/// The most released claims that a record remembers. A forgotten one only means that a late
/// duplicate of its claim can hold the key until the window ends.
const MAX_RELEASED: usize = 4;

/// An answer that is small enough to be kept and given again.
#[data]
pub struct StoredAnswer {
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// The size in memory, without the fixed part, in bytes.
    fn bytes(&self) -> usize {
        self.content_type.as_ref().map_or(0, String::len) + self.body.len()
    }
}

/// How the call of a key ended.
#[data]
pub enum KeyEnd {
    /// It was answered.
    Answered {
        /// The HTTP status of the answer.
        status: u16,
        /// The answer, if it was kept.
        stored: Option<Box<StoredAnswer>>,
    },
    /// It broke off, and may have run.
    MayHaveRun,
}

impl KeyEnd {
    /// The end without its answer, if the answer takes more than `room` bytes or is larger than
    /// any that is kept.
    pub(super) fn within(&self, room: usize) -> Self {
        match self {
            Self::Answered {
                status,
                stored: Some(stored),
            } if stored.bytes() > room || stored.body.len() > MAX_STORED_BODY_BYTES => {
                Self::Answered {
                    status: *status,
                    stored: None,
                }
            }
            end => end.clone(),
        }
    }
}

/// The state of a key that is held by another claim.
#[data]
pub enum KeyState {
    /// The call runs.
    Running,
    /// The call ended.
    Ended(KeyEnd),
}

/// What a guard remembers of a key.
#[data]
pub struct KeyRecord {
    /// The request that came with the key; `None` if claims with several requests met.
    pub fingerprint: Option<Fingerprint>,
    /// The claims that may own the key. More than one only if copies of several guards differ.
    pub owners: Vec<ClaimId>,
    /// Claims that were released: their calls did not run and never will.
    pub released: Vec<ClaimId>,
    /// How the call ended.
    pub end: Option<KeyEnd>,
    /// The time by which the call has ended, whether it was reported or not.
    pub running_until: Timestamp,
    /// The time of the last change.
    pub at: Timestamp,
}

impl KeyRecord {
    /// Creates a record of a key that nobody owns.
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

    /// Whether nobody owns the key and no call ran with it.
    pub(super) const fn is_free(&self) -> bool {
        self.owners.is_empty() && self.end.is_none()
    }

    /// The bytes of the answer that is kept.
    pub(super) fn stored_bytes(&self) -> usize {
        match &self.end {
            Some(KeyEnd::Answered { stored, .. }) => stored.as_ref().map_or(0, |s| s.bytes()),
            _ => 0,
        }
    }

    /// Whether a call with the key was answered.
    pub(super) const fn is_answered(&self) -> bool {
        matches!(self.end, Some(KeyEnd::Answered { .. }))
    }

    /// Whether the claim is the only one that can own the key.
    pub(super) fn is_owned_by(&self, id: ClaimId) -> bool {
        self.end.is_none() && self.owners == [id]
    }

    /// Whether the record may be forgotten.
    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.at.max(self.running_until) + KEY_WINDOW + CLOCK_SKEW_MARGIN
    }

    /// The state as told to a claimant that does not own the key.
    pub(super) fn state(&self, now: Timestamp) -> KeyState {
        match &self.end {
            Some(end) => KeyState::Ended(end.clone()),
            None if now >= self.running_until => KeyState::Ended(KeyEnd::MayHaveRun),
            None => KeyState::Running,
        }
    }

    /// Gives the key to a claim.
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

    /// Takes the key from a claim that did not run.
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

    /// Notes how the call of an owner ended; an answer goes before any other end.
    pub(super) fn end(&mut self, now: Timestamp, fingerprint: Fingerprint, end: KeyEnd) {
        self.fingerprint = Some(fingerprint);
        if !self.is_answered() {
            self.end = Some(end);
        }
        self.at = self.at.max(now);
    }

    /// Adds what another guard remembers of the same key.
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
