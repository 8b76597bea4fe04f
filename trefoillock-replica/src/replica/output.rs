//! Writes and messages in an order that keeps promises.

use trefoillock_core::ReplicaId;

use crate::{Effect, Entry, Message, Replica, Ticket, Write};

/// A message that has not been handed out yet.
#[derive(Debug, Clone)]
pub(super) struct Outgoing {
    to: ReplicaId,
    message: Message,
}

impl Replica {
    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        self.outgoing.push(Outgoing { to, message });
    }

    /// Returns what must be done, in order.
    ///
    /// Writes of all inputs since the last call are one batch, so that one sync serves them.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.update_quorum_round();
        self.advance_commit();
        self.record_disks();
        self.advance_reads();
        self.begin_round();
        self.update_quorum_round();
        self.send_appends();
        self.write();
        self.release();
        self.apply_committed();
        self.advance_reads();
        std::mem::take(&mut self.effects)
    }

    /// Hands out a batch with all changes that are not written yet.
    fn write(&mut self) {
        let mut writes = Vec::new();
        if std::mem::take(&mut self.hard_state_changed) {
            writes.push(Write::HardState(self.hard_state));
        }
        let unsaved = self.unsaved_from.take();
        if std::mem::take(&mut self.snapshot_unsaved) {
            writes.push(Write::Snapshot {
                snapshot: self.snapshot.clone(),
                base: self.log.base(),
                entries: self
                    .log
                    .from(self.log.base().index.next())
                    .cloned()
                    .collect(),
            });
        } else if let Some(from) = unsaved {
            let entries: Vec<Entry> = self.log.from(from).cloned().collect();
            writes.push(Write::Entries(entries));
        }
        if writes.is_empty() {
            return;
        }
        self.ticket = self.ticket.next();
        let ticket = self.ticket;
        self.in_flight.push_back((ticket, self.log.last().index));
        self.effects.push(Effect::Write { ticket, writes });
    }

    /// Hands out messages whose promises are synced and holds the others back.
    fn release(&mut self) {
        for outgoing in std::mem::take(&mut self.outgoing) {
            let ticket = if outgoing.message.waits_for_sync() {
                self.ticket
            } else {
                Ticket::default()
            };
            if ticket <= self.synced {
                self.emit(outgoing);
            } else {
                self.held.push_back((ticket, outgoing));
            }
        }
        while let Some((ticket, _)) = self.held.front()
            && *ticket <= self.synced
        {
            if let Some((_, outgoing)) = self.held.pop_front() {
                self.emit(outgoing);
            }
        }
    }

    fn emit(&mut self, outgoing: Outgoing) {
        let Outgoing { to, message } = outgoing;
        self.effects.push(Effect::Send { to, message });
    }
}
