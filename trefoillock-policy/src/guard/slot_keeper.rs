//! The memory of one guard for one slot.

use std::time::Duration;

use trefoillock_core::{Guard, GuardSet, Incarnation, NodeId, SeededMap, Timestamp};

use super::{
    CLOCK_SKEW_MARGIN, ClaimRequest, CopyAnswer, CopyRequest, Finish, FinishRequest, KEY_WINDOW,
    KeyHash, KeyRecord, Vote,
};

/// The most keys that a guard remembers for a slot. When it is reached, new keys are refused.
pub const MAX_KEYS_PER_SLOT: usize = 4_096;
/// The most bytes of answers that a guard keeps for a slot. When it is reached, only the status
/// of further answers is kept.
const MAX_STORED_BYTES_PER_SLOT: usize = 256 * 1_024;
/// The time between two searches for expired records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// The memory of one guard for one slot.
#[derive(Debug, Clone, Default)]
pub(super) struct SlotKeeper {
    /// The newest epoch of which this node is a guard.
    epoch: u64,
    /// Whether the newest set that is known names this node.
    is_guard: bool,
    /// The epoch below which nothing is granted.
    promised: u64,
    /// The newest epoch in which the guard was active.
    complete_for: u64,
    previous: Vec<Guard>,
    previous_epoch: u64,
    lost_at: Option<Timestamp>,
    /// The previous guards that answered the request to copy.
    copied: Vec<Guard>,
    /// Whether one of them was complete for the previous epoch.
    has_complete: bool,
    records: SeededMap<KeyHash, KeyRecord>,
    /// The bytes of the answers in `records`.
    stored_bytes: usize,
    swept_at: Timestamp,
}

impl SlotKeeper {
    /// Takes a newer guard set that names this node.
    pub(super) fn adopt(&mut self, set: &GuardSet, node: &NodeId, incarnation: Incarnation) {
        if set.epoch <= self.epoch {
            return;
        }
        self.is_guard = true;
        self.epoch = set.epoch;
        self.promise(set.epoch);
        self.previous.clone_from(&set.previous);
        self.previous_epoch = set.previous_epoch;
        self.lost_at = set.lost_at;
        self.copied.clear();
        self.has_complete = false;
        let is_self = |guard: &&Guard| guard.node == *node && guard.incarnation == incarnation;
        if let Some(own) = set.previous.iter().find(is_self) {
            self.count_source(own.clone(), self.complete_for);
        }
        self.activate_if_copied();
    }

    /// Takes a newer guard set that does not name this node.
    pub(super) fn resign(&mut self, set: &GuardSet) {
        if set.epoch > self.epoch {
            self.is_guard = false;
            self.promise(set.epoch);
        }
    }

    /// Whether the newest set that is known names this node.
    pub(super) const fn is_guard(&self) -> bool {
        self.is_guard
    }

    /// Grants nothing in an epoch below `epoch` any more.
    pub(super) fn promise(&mut self, epoch: u64) {
        self.promised = self.promised.max(epoch);
    }

    /// Whether the guard takes claims of its epoch.
    pub(super) const fn is_active(&self) -> bool {
        self.epoch > 0 && self.complete_for == self.epoch && self.promised == self.epoch
    }

    pub(super) const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The number of keys that are remembered.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// The previous guards that are still to be asked for a copy.
    pub(super) fn sources(&self) -> impl Iterator<Item = &Guard> {
        let syncing = self.complete_for < self.epoch;
        self.previous
            .iter()
            .filter(move |guard| syncing && !self.copied.contains(guard))
    }

    /// Answers a request to copy, and promises.
    pub(super) fn copy(&mut self, now: Timestamp, req: &CopyRequest) -> CopyAnswer {
        self.promise(req.epoch);
        self.sweep(now);
        CopyAnswer {
            slot: req.slot,
            epoch: req.epoch,
            complete_for: self.complete_for,
            records: self.records.iter().map(|(k, r)| (*k, r.clone())).collect(),
        }
    }

    /// Takes the records of a previous guard.
    pub(super) fn copied(&mut self, from: &Guard, answer: CopyAnswer) {
        let is_due = answer.epoch == self.epoch
            && self.complete_for < self.epoch
            && self.previous.contains(from);
        if !is_due {
            return;
        }
        for (key, record) in answer.records {
            match self.records.get_mut(&key) {
                Some(own) => own.merge(record),
                None => {
                    self.records.insert(key, record);
                }
            }
        }
        self.count_stored_bytes();
        self.count_source(from.clone(), answer.complete_for);
        self.activate_if_copied();
    }

    fn count_source(&mut self, from: Guard, complete_for: u64) {
        self.has_complete |= complete_for >= self.previous_epoch;
        if !self.copied.contains(&from) {
            self.copied.push(from);
        }
    }

    fn activate_if_copied(&mut self) {
        // With so many of them, every majority has a member that answered.
        let enough = self.previous.len() - self.previous.len() / 2;
        if self.previous.is_empty() || (self.copied.len() >= enough && self.has_complete) {
            self.complete_for = self.epoch;
        }
    }

    /// Answers a claim.
    pub(super) fn claim(&mut self, now: Timestamp, req: &ClaimRequest) -> Vote {
        if req.epoch != self.epoch || self.promised != self.epoch {
            return Vote::Stale {
                epoch: self.promised,
            };
        }
        if !self.is_active() {
            return Vote::Syncing;
        }
        self.sweep(now);
        let record = self.records.get(&req.key);
        let was_answered = record.is_some_and(KeyRecord::is_answered);
        match record.and_then(|record| known_vote(now, record, req)) {
            // The guards that were lost may have granted the key to another claim than the one
            // that is remembered here.
            Some(Vote::Granted | Vote::Reused)
                if !was_answered && !self.is_provably_new(now, req) =>
            {
                Vote::Unprovable
            }
            Some(vote) => vote,
            None => self.claim_unowned(now, req),
        }
    }

    /// Answers a claim of a key that nobody owns, as far as this guard knows.
    fn claim_unowned(&mut self, now: Timestamp, req: &ClaimRequest) -> Vote {
        if !self.is_provably_new(now, req) {
            return Vote::Unprovable;
        }
        if self.records.len() >= MAX_KEYS_PER_SLOT && !self.records.contains_key(&req.key) {
            return Vote::Full;
        }
        let record = self
            .records
            .entry(req.key)
            .or_insert_with(|| KeyRecord::new(now));
        record.grant(now, req.id, req.fingerprint, req.running_until);
        Vote::Granted
    }

    /// Whether a key that no other claim owns here cannot have been granted to another one.
    fn is_provably_new(&self, now: Timestamp, req: &ClaimRequest) -> bool {
        if now >= req.running_until + CLOCK_SKEW_MARGIN {
            return false;
        }
        // A time in the future shows that the caller's clock is wrong.
        let key_time = req.key_time.filter(|time| *time <= now + CLOCK_SKEW_MARGIN);
        if key_time.is_some_and(|time| now >= time + KEY_WINDOW) {
            return false;
        }
        let Some(lost_at) = self.lost_at else {
            return true;
        };
        let is_later = key_time.is_some_and(|time| time > lost_at + CLOCK_SKEW_MARGIN);
        is_later || now >= lost_at + KEY_WINDOW + CLOCK_SKEW_MARGIN
    }

    /// Notes how the call of a claim ended. It is taken in every epoch, since it grants nothing.
    pub(super) fn finish(&mut self, now: Timestamp, req: &FinishRequest) {
        let is_full = self.records.len() >= MAX_KEYS_PER_SLOT;
        if is_full && !self.records.contains_key(&req.key) {
            return;
        }
        let record = self
            .records
            .entry(req.key)
            .or_insert_with(|| KeyRecord::new(now));
        match &req.finish {
            Finish::Ended(end) => {
                let before = record.stored_bytes();
                let room = MAX_STORED_BYTES_PER_SLOT.saturating_sub(self.stored_bytes);
                record.end(now, req.fingerprint, end.within(room));
                let others = self.stored_bytes.saturating_sub(before);
                self.stored_bytes = others + record.stored_bytes();
            }
            Finish::Released => record.release(now, req.id),
        }
    }

    /// Forgets expired records from time to time.
    fn sweep(&mut self, now: Timestamp) {
        let is_due = now.since(self.swept_at) >= SWEEP_INTERVAL;
        if is_due {
            self.swept_at = now;
            self.records.retain(|_, record| !record.is_expired(now));
            self.count_stored_bytes();
        }
    }

    fn count_stored_bytes(&mut self) {
        self.stored_bytes = self.records.values().map(KeyRecord::stored_bytes).sum();
    }
}

/// The answer to a claim of a key that is owned or ended; `None` if it is free.
fn known_vote(now: Timestamp, record: &KeyRecord, req: &ClaimRequest) -> Option<Vote> {
    if record.released.contains(&req.id) {
        return Some(Vote::Held(record.state(now)));
    }
    if record.is_free() {
        return None;
    }
    let is_reused = record
        .fingerprint
        .is_some_and(|fingerprint| fingerprint != req.fingerprint);
    if is_reused {
        return Some(Vote::Reused);
    }
    if record.is_owned_by(req.id) {
        return Some(Vote::Granted);
    }
    Some(Vote::Held(record.state(now)))
}
