//! Snapshots: taking them, compacting the log, and receiving them in chunks from a leader.

use std::sync::Arc;

use trefoillock_core::{LogIndex, ReplicaId, Timestamp};

use crate::{
    AppendOutcome, Chunk, Effect, Message, Payload, Position, Replica, Snapshot, log::Log,
    replica::memberships_after,
};

/// The chunks of a snapshot that have arrived, in order from its start.
#[derive(Debug, Clone)]
pub(super) struct IncomingSnapshot {
    position: Position,
    checksum: u32,
    bytes: Vec<u8>,
}

impl Replica {
    /// Requests a snapshot if the log has grown enough since the last one.
    ///
    /// The limits are a number of entries, the size of the log in memory, and the size of the
    /// entries that a restart would replay.
    pub(super) fn request_snapshot_if_due(&mut self) {
        let new_entries = self.applied.get() - self.snapshot.position.index.get();
        let log_too_large = self.log.bytes() > self.limits.log_bytes && new_entries > 0;
        let replay_too_long =
            self.replay_bytes > self.limits.replay_threshold(self.snapshot.data.len());
        if self.snapshot_requested
            || (new_entries < self.limits.snapshot_every && !log_too_large && !replay_too_long)
        {
            return;
        }
        if let Some(term) = self.log.term_at(self.applied) {
            self.snapshot_requested = true;
            self.replay_bytes = 0;
            let position = Position::new(term, self.applied);
            self.effects.push(Effect::TakeSnapshot { position });
        }
    }

    /// Records a snapshot of this replica's state machine and compacts the log.
    ///
    /// `data` is the state after the entry at `position`. A snapshot that is not newer than the
    /// current one is ignored.
    pub fn record_snapshot(&mut self, now: Timestamp, position: Position, data: Payload) {
        self.advance(now);
        self.snapshot_requested = false;
        if position.index <= self.snapshot.position.index {
            return;
        }
        self.snapshot = Arc::new(Snapshot {
            position,
            members: self.members_at(position.index).clone(),
            data,
        });
        let tail = self.limits.tail_entries;
        let new_base = LogIndex::new(position.index.get().saturating_sub(tail));
        self.log.compact_to(new_base);
        let replay_threshold = self.limits.replay_threshold(self.snapshot.data.len());
        let tail_bytes = self.limits.tail_bytes.min(replay_threshold);
        while self.log.bytes() > tail_bytes && self.log.base().index < position.index {
            self.log.compact_to(self.log.base().index.next());
        }
        self.drop_old_memberships();
        self.snapshot_unwritten = true;
    }

    pub(super) fn on_chunk(&mut self, from: ReplicaId, chunk: &Chunk) {
        if !self.accept_leader(from, chunk.term) {
            let retry_from = chunk.position.index;
            self.answer_append(from, chunk.round, AppendOutcome::Rejected { retry_from });
            return;
        }
        let (round, position) = (chunk.round, chunk.position);
        if position.index <= self.commit {
            self.incoming = None;
            let matched = position.index;
            self.answer_append(from, round, AppendOutcome::Accepted { matched });
            return;
        }
        if chunk.total > self.limits.snapshot_bytes {
            return;
        }
        let members = chunk.members.clone();
        let total = chunk.total;
        let received = self.append_chunk(chunk);
        if received < total {
            let term = self.hard_state.term;
            self.send(
                from,
                Message::ChunkAnswer {
                    term,
                    round,
                    position,
                    received,
                },
            );
            return;
        }
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        if crc32fast::hash(&incoming.bytes) != incoming.checksum {
            return; // The leader sends the chunks again from the start.
        }
        let data = Payload::from(incoming.bytes);
        self.install(Snapshot {
            position,
            members,
            data,
        });
        let matched = position.index;
        self.answer_append(from, round, AppendOutcome::Accepted { matched });
    }

    /// Appends a chunk if it continues the received bytes. Returns the number of bytes received.
    fn append_chunk(&mut self, chunk: &Chunk) -> u64 {
        let is_same_snapshot = |incoming: &IncomingSnapshot| {
            incoming.position == chunk.position && incoming.checksum == chunk.checksum
        };
        if !self.incoming.as_ref().is_some_and(is_same_snapshot) {
            self.incoming = None;
        }
        let incoming = self.incoming.get_or_insert_with(|| IncomingSnapshot {
            position: chunk.position,
            checksum: chunk.checksum,
            bytes: Vec::new(),
        });
        let received = incoming.bytes.len() as u64;
        let fits = received + chunk.data.len() as u64 <= chunk.total;
        if chunk.offset == received && fits {
            incoming.bytes.extend_from_slice(chunk.data.as_slice());
        }
        incoming.bytes.len() as u64
    }

    /// Replaces the log up to the snapshot and restores the state machine from it.
    fn install(&mut self, snapshot: Snapshot) {
        let position = snapshot.position;
        if self.log.term_at(position.index) == Some(position.term) {
            self.log.compact_to(position.index);
        } else {
            self.log = Log::new(position, Vec::new());
        }
        self.memberships = vec![(position.index, snapshot.members.clone())];
        self.memberships
            .extend(memberships_after(&self.log, position.index));
        // Entries after the snapshot count as synced only once the snapshot and the new log are.
        let last = self.log.last().index;
        self.persisted = self.persisted.min(position.index);
        self.limit_unsynced(last);
        self.commit = self.commit.max(position.index);
        self.applied = position.index;
        self.snapshot = Arc::new(snapshot);
        self.snapshot_unwritten = true;
        self.snapshot_requested = false;
        self.effects.push(Effect::Restore(self.snapshot.clone()));
    }

    /// Drops the memberships before the one in force at the snapshot.
    fn drop_old_memberships(&mut self) {
        let index = self.snapshot.position.index;
        let first_newer = self.memberships.iter().position(|(at, _)| *at > index);
        let in_force = first_newer
            .unwrap_or(self.memberships.len())
            .saturating_sub(1);
        self.memberships.drain(..in_force);
    }
}
