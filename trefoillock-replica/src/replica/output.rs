//! Collects writes and messages into effects.
//!
//! A message whose content depends on a write is emitted only after the write is synced.

use trefoillock_core::ReplicaId;

use crate::{BatchId, Effect, Entry, Message, Replica, Write, replica::UnsyncedBatch};

/// A message that is not emitted as an effect yet.
#[derive(Debug, Clone)]
pub(super) struct Outgoing {
    to: ReplicaId,
    message: Message,
}

impl Replica {
    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        self.outgoing.push(Outgoing { to, message });
    }

    /// Returns the effects to execute, in order.
    ///
    /// All writes since the last call form one batch, so that they share one sync.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.update_quorum_round();
        self.advance_commit();
        self.record_disks();
        self.advance_reads();
        self.begin_round();
        self.update_quorum_round();
        self.send_appends();
        self.emit_writes();
        self.release_messages();
        self.apply_committed();
        self.advance_reads();
        std::mem::take(&mut self.effects)
    }

    /// Emits one batch with all unwritten changes.
    fn emit_writes(&mut self) {
        let mut writes = Vec::new();
        if std::mem::take(&mut self.hard_state_changed) {
            writes.push(Write::HardState(self.hard_state));
        }
        let first_unwritten = self.first_unwritten.take();
        if std::mem::take(&mut self.snapshot_unwritten) {
            writes.push(Write::Snapshot {
                snapshot: self.snapshot.clone(),
                base: self.log.base(),
                entries: self
                    .log
                    .entries_from(self.log.base().index.next())
                    .cloned()
                    .collect(),
            });
        } else if let Some(from) = first_unwritten {
            let entries: Vec<Entry> = self.log.entries_from(from).cloned().collect();
            writes.push(Write::Entries(entries));
        }
        if writes.is_empty() {
            return;
        }
        self.last_batch = self.last_batch.next();
        let batch = self.last_batch;
        self.in_flight.push_back(UnsyncedBatch {
            id: batch,
            last: self.log.last().index,
            since: self.now(),
        });
        self.effects.push(Effect::Write { batch, writes });
    }

    /// Emits the messages whose writes are synced and queues the other ones.
    fn release_messages(&mut self) {
        for outgoing in std::mem::take(&mut self.outgoing) {
            let batch = if outgoing.message.requires_sync() {
                self.last_batch
            } else {
                BatchId::default()
            };
            if batch <= self.synced_batch {
                self.emit_message(outgoing);
            } else {
                self.awaiting_sync.push_back((batch, outgoing));
            }
        }
        while let Some((batch, _)) = self.awaiting_sync.front()
            && *batch <= self.synced_batch
        {
            if let Some((_, outgoing)) = self.awaiting_sync.pop_front() {
                self.emit_message(outgoing);
            }
        }
    }

    fn emit_message(&mut self, outgoing: Outgoing) {
        let Outgoing { to, message } = outgoing;
        self.effects.push(Effect::Send { to, message });
    }
}
