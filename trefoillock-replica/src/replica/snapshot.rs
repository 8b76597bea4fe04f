//! Snapshots: taking, compacting, receiving and installing.

use std::sync::Arc;

use trefoillock_core::{LogIndex, ReplicaId, Timestamp};

use crate::{
    AppendOutcome, Chunk, Effect, Message, Payload, Position, Replica, Snapshot, log::Log,
    replica::memberships,
};

/// The parts of a snapshot that have arrived.
#[derive(Debug, Clone)]
pub(super) struct IncomingSnapshot {
    position: Position,
    checksum: u32,
    bytes: Vec<u8>,
}

impl Replica {
    /// Asks for a snapshot if the log has grown enough.
    pub(super) fn want_snapshot(&mut self) {
        let grown = self.applied.get() - self.snapshot.position.index.get();
        let large = self.log.bytes() > self.limits.log_bytes && grown > 0;
        let long = self.replay_bytes > self.limits.outweighs(self.snapshot.data.len());
        if self.snapshot_wanted || (grown < self.limits.snapshot_every && !large && !long) {
            return;
        }
        if let Some(term) = self.log.term_at(self.applied) {
            self.snapshot_wanted = true;
            self.replay_bytes = 0;
            let position = Position::new(term, self.applied);
            self.effects.push(Effect::TakeSnapshot { position });
        }
    }

    /// Takes the state machine's state at a position in and compacts the log.
    pub fn snapshot_taken(&mut self, now: Timestamp, position: Position, data: Payload) {
        self.advance(now);
        self.snapshot_wanted = false;
        if position.index <= self.snapshot.position.index {
            return;
        }
        self.snapshot = Arc::new(Snapshot {
            position,
            members: self.members_at(position.index).clone(),
            data,
        });
        let tail = self.limits.tail_entries;
        let keep_after = LogIndex::new(position.index.get().saturating_sub(tail));
        self.log.compact_to(keep_after);
        let outweighs = self.limits.outweighs(self.snapshot.data.len());
        let tail_bytes = self.limits.tail_bytes.min(outweighs);
        while self.log.bytes() > tail_bytes && self.log.base().index < position.index {
            self.log.compact_to(self.log.base().index.next());
        }
        self.forget_old_members();
        self.snapshot_unsaved = true;
    }

    pub(super) fn on_chunk(&mut self, from: ReplicaId, chunk: &Chunk) {
        if !self.follow(from, chunk.term) {
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
        let received = self.collect(chunk);
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
            return; // The parts are asked for again from the start.
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

    /// Adds a part. Returns the number of bytes received so far.
    fn collect(&mut self, chunk: &Chunk) -> u64 {
        let same = |incoming: &IncomingSnapshot| {
            incoming.position == chunk.position && incoming.checksum == chunk.checksum
        };
        if !self.incoming.as_ref().is_some_and(same) {
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

    fn install(&mut self, snapshot: Snapshot) {
        let position = snapshot.position;
        if self.log.term_at(position.index) == Some(position.term) {
            self.log.compact_to(position.index);
        } else {
            self.log = Log::new(position, Vec::new());
        }
        self.members = vec![(position.index, snapshot.members.clone())];
        self.members.extend(memberships(&self.log, position.index));
        // Nothing counts as synced before the snapshot and the new log are.
        let last = self.log.last().index;
        self.persisted = self.persisted.min(position.index);
        for (_, written) in &mut self.in_flight {
            *written = (*written).min(last);
        }
        self.commit = self.commit.max(position.index);
        self.applied = position.index;
        self.snapshot = Arc::new(snapshot);
        self.snapshot_unsaved = true;
        self.snapshot_wanted = false;
        self.effects.push(Effect::Restore(self.snapshot.clone()));
    }

    /// Drops memberships that are older than the one in force at the snapshot.
    fn forget_old_members(&mut self) {
        let index = self.snapshot.position.index;
        let newer = self.members.iter().position(|(at, _)| *at > index);
        let in_force = newer.unwrap_or(self.members.len()).saturating_sub(1);
        self.members.drain(..in_force);
    }
}
