//! The records and the epoch state of one guard for one slot.

use std::time::Duration;

use trefoillock_core::{Guard, GuardSet, Incarnation, NodeId, SeededMap, Timestamp};

use super::{
    CLOCK_SKEW_MARGIN, ClaimRequest, CopyAnswer, CopyRequest, Finish, FinishRequest, KEY_WINDOW,
    KeyHash, KeyRecord, Vote,
};

/// The maximum number of keys for which a guard keeps records in a slot. At the limit, new keys are
/// refused.
pub const MAX_KEYS_PER_SLOT: usize = 4_096;
/// The maximum size of the answers that a guard stores for a slot, in bytes. At the limit, only the
/// status of further answers is stored.
const MAX_STORED_BYTES_PER_SLOT: usize = 256 * 1_024;
/// The minimum time between two removals of expired records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// The records and the epoch state of one guard for one slot. The parent module lists the rules
/// that it follows.
#[derive(Debug, Clone, Default)]
pub(super) struct SlotKeeper {
    /// The newest epoch whose guard set includes this node; zero if there was none.
    epoch: u64,
    /// Whether the newest known guard set includes this node.
    is_guard: bool,
    /// The epoch below which nothing is granted any more.
    promised: u64,
    /// The newest epoch in which this guard was active; zero if there was none.
    complete_for: u64,
    previous: Vec<Guard>,
    previous_epoch: u64,
    lost_at: Option<Timestamp>,
    /// The previous guards that have answered a copy request.
    copied_from: Vec<Guard>,
    /// Whether one of these answers was complete for the previous epoch.
    has_complete_copy: bool,
    records: SeededMap<KeyHash, KeyRecord>,
    /// The total size of the answers in `records`, in bytes.
    stored_bytes: usize,
    swept_at: Timestamp,
}

impl SlotKeeper {
    /// Applies a newer guard set that includes this node.
    pub(super) fn join_set(&mut self, set: &GuardSet, node: &NodeId, incarnation: Incarnation) {
        if set.epoch <= self.epoch {
            return;
        }
        self.is_guard = true;
        self.epoch = set.epoch;
        self.promise(set.epoch);
        self.previous.clone_from(&set.previous);
        self.previous_epoch = set.previous_epoch;
        self.lost_at = set.lost_at;
        self.copied_from.clear();
        self.has_complete_copy = false;
        let is_self = |guard: &&Guard| guard.node == *node && guard.incarnation == incarnation;
        if let Some(own) = set.previous.iter().find(is_self) {
            self.record_copy(own.clone(), self.complete_for);
        }
        self.activate_if_ready();
    }

    /// Applies a newer guard set that does not include this node.
    pub(super) fn leave_set(&mut self, set: &GuardSet) {
        if set.epoch > self.epoch {
            self.is_guard = false;
            self.promise(set.epoch);
        }
    }

    /// Whether the newest known guard set includes this node.
    pub(super) const fn is_guard(&self) -> bool {
        self.is_guard
    }

    /// Promises to grant nothing in an epoch below `epoch`.
    pub(super) fn promise(&mut self, epoch: u64) {
        self.promised = self.promised.max(epoch);
    }

    /// Whether the guard decides on claims of its epoch.
    pub(super) const fn is_active(&self) -> bool {
        self.epoch > 0 && self.complete_for == self.epoch && self.promised == self.epoch
    }

    pub(super) const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The number of keys with a record.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// The previous guards that have not answered a copy request yet.
    pub(super) fn pending_sources(&self) -> impl Iterator<Item = &Guard> {
        let syncing = self.complete_for < self.epoch;
        self.previous
            .iter()
            .filter(move |guard| syncing && !self.copied_from.contains(guard))
    }

    /// Answers a copy request. By answering, the guard promises to grant nothing in an epoch older
    /// than that of the request.
    pub(super) fn answer_copy_request(&mut self, now: Timestamp, req: &CopyRequest) -> CopyAnswer {
        self.promise(req.epoch);
        self.sweep(now);
        CopyAnswer {
            slot: req.slot,
            epoch: req.epoch,
            complete_for: self.complete_for,
            records: self
                .records
                .iter()
                .map(|(key, record)| (*key, record.clone()))
                .collect(),
        }
    }

    /// Merges the records of a previous guard.
    pub(super) fn apply_copy(&mut self, from: &Guard, answer: CopyAnswer) {
        let is_expected = answer.epoch == self.epoch
            && self.complete_for < self.epoch
            && self.previous.contains(from);
        if !is_expected {
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
        self.recompute_stored_bytes();
        self.record_copy(from.clone(), answer.complete_for);
        self.activate_if_ready();
    }

    /// Records that a previous guard has answered, and whether its records were complete.
    fn record_copy(&mut self, from: Guard, complete_for: u64) {
        self.has_complete_copy |= complete_for >= self.previous_epoch;
        if !self.copied_from.contains(&from) {
            self.copied_from.push(from);
        }
    }

    fn activate_if_ready(&mut self) {
        // With this many answers, every majority of the previous guards includes one that answered.
        let enough = self.previous.len() - self.previous.len() / 2;
        if self.previous.is_empty() || (self.copied_from.len() >= enough && self.has_complete_copy)
        {
            self.complete_for = self.epoch;
        }
    }

    /// Decides on a claim.
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
        match record.and_then(|record| vote_from_record(now, record, req)) {
            // The guards that were lost may have granted the key to a claim other than the one
            // recorded here.
            Some(Vote::Granted | Vote::Reused)
                if !was_answered && !self.is_provably_new(now, req) =>
            {
                Vote::Unprovable
            }
            Some(vote) => vote,
            None => self.claim_free_key(now, req),
        }
    }

    /// Decides on a claim of a key that, as far as this guard knows, has no owner.
    fn claim_free_key(&mut self, now: Timestamp, req: &ClaimRequest) -> Vote {
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

    /// Whether a key that no other claim owns at this guard provably cannot have been granted to
    /// another claim.
    fn is_provably_new(&self, now: Timestamp, req: &ClaimRequest) -> bool {
        if now >= req.running_until + CLOCK_SKEW_MARGIN {
            return false;
        }
        // A time in the future shows that the clock of the caller is wrong.
        let key_time = req.key_time.filter(|time| *time <= now + CLOCK_SKEW_MARGIN);
        if key_time.is_some_and(|time| now >= time + KEY_WINDOW) {
            return false;
        }
        let Some(lost_at) = self.lost_at else {
            return true;
        };
        let is_after_loss = key_time.is_some_and(|time| time > lost_at + CLOCK_SKEW_MARGIN);
        is_after_loss || now >= lost_at + KEY_WINDOW + CLOCK_SKEW_MARGIN
    }

    /// Records how the call of a claim ended. This is accepted in every epoch because it grants
    /// nothing.
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
                let replaced_bytes = record.stored_bytes();
                let room = MAX_STORED_BYTES_PER_SLOT.saturating_sub(self.stored_bytes);
                record.record_end(now, req.fingerprint, end.without_oversized_answer(room));
                let other_bytes = self.stored_bytes.saturating_sub(replaced_bytes);
                self.stored_bytes = other_bytes + record.stored_bytes();
            }
            Finish::Released => record.release(now, req.id),
        }
    }

    /// Removes expired records at most once every `SWEEP_INTERVAL`.
    fn sweep(&mut self, now: Timestamp) {
        let is_due = now.since(self.swept_at) >= SWEEP_INTERVAL;
        if is_due {
            self.swept_at = now;
            self.records.retain(|_, record| !record.is_expired(now));
            self.recompute_stored_bytes();
        }
    }

    /// Recomputes the total size of the stored answers.
    fn recompute_stored_bytes(&mut self) {
        self.stored_bytes = self.records.values().map(KeyRecord::stored_bytes).sum();
    }
}

/// The decision on a claim that follows from the record of its key. `None` if the key is free.
fn vote_from_record(now: Timestamp, record: &KeyRecord, req: &ClaimRequest) -> Option<Vote> {
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
    if record.is_sole_owner(req.id) {
        return Some(Vote::Granted);
    }
    Some(Vote::Held(record.state(now)))
}
