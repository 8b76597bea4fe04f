//! Replication by the leader: heartbeat rounds, entries and snapshot transfer.
//!
//! Each heartbeat round has a number that answers repeat. The latest round that a quorum answered
//! is the basis of the lease and of reads.

use std::sync::Arc;

use trefoillock_core::{LogIndex, ReplicaId, Term};

use crate::{
    Append, AppendOutcome, Chunk, Content, Entry, Message, Payload, Position, Replica,
    ReplicaIdentity,
    progress::{Progress, SendMode},
    replica::Role,
};

impl Replica {
    pub(super) fn tick_leader(&mut self) {
        let now = self.now();
        let term = self.hard_state.term;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if now >= leadership.heartbeat_due {
            leadership.heartbeat_due = now + self.timing.heartbeat;
            leadership.round_requested = true;
        }
        let has_lost_quorum = now.since(leadership.quorum_contact_at) >= self.timing.election_min;
        if has_lost_quorum || self.delays_others() {
            self.become_follower(term, None);
        }
    }

    /// Returns whether the others could apply entries that this leader cannot apply, because its disk
    /// hangs. Until it applies them it neither answers proposals nor distributes what they changed.
    fn delays_others(&self) -> bool {
        self.commit > self.persisted && self.disk_hangs()
    }

    /// Returns whether a batch of writes has waited for its sync for too long.
    pub(super) fn disk_hangs(&self) -> bool {
        let oldest = self.in_flight.front();
        oldest.is_some_and(|batch| self.now().since(batch.since) >= self.timing.election_max)
    }

    /// Appends an entry of the leader's own term to the log.
    pub(super) fn append_own(&mut self, content: Content) -> Position {
        let index = self.log.last().index.next();
        let position = Position::new(self.hard_state.term, index);
        let entry = Entry::new(position, content);
        if let Role::Leader(leadership) = &mut self.role {
            leadership.uncommitted_bytes += entry.size();
        }
        self.push_entry(entry);
        self.update_progress();
        position
    }

    /// Tracks progress for exactly the other members of the latest membership.
    fn update_progress(&mut self) {
        let own = self.identity.id;
        let next = self.log.last().index.next();
        let members = self.membership().members().keys().copied();
        let ids: Vec<ReplicaId> = members.filter(|&id| id != own).collect();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.progress.retain(|id, _| ids.contains(id));
        for id in ids {
            let new = || Progress::new(next);
            leadership.progress.entry(id).or_insert_with(new);
        }
    }

    pub(super) fn on_append_answer(
        &mut self,
        from: ReplicaIdentity,
        term: Term,
        round: u64,
        outcome: AppendOutcome,
    ) {
        let last = self.log.last().index;
        let beyond_log = matches!(outcome, AppendOutcome::Accepted { matched } if matched > last);
        if beyond_log {
            return;
        }
        if let Some(progress) = self.record_answer(from, term, round) {
            progress.record_append_outcome(outcome);
        }
    }

    pub(super) fn on_chunk_answer(
        &mut self,
        from: ReplicaIdentity,
        term: Term,
        round: u64,
        position: Position,
        received: u64,
    ) {
        if let Some(progress) = self.record_answer(from, term, round) {
            progress.record_chunk_answer(position, received);
        }
    }

    /// Records the answer to a heartbeat round.
    ///
    /// Returns the progress of the sender, or `None` if the answer does not belong to this term or
    /// the sender is no member.
    fn record_answer(
        &mut self,
        from: ReplicaIdentity,
        term: Term,
        round: u64,
    ) -> Option<&mut Progress> {
        let current = term == self.hard_state.term;
        let Role::Leader(leadership) = &mut self.role else {
            return None;
        };
        let newest = leadership.round;
        let progress = leadership.progress.get_mut(&from.id)?;
        if !current || round > newest {
            return None;
        }
        progress.disk = Some(from.disk);
        progress.acked_round = progress.acked_round.max(round);
        Some(progress)
    }

    /// Updates the latest round that a quorum answered, and with it the lease.
    pub(super) fn update_quorum_round(&mut self) {
        let own = self.identity.id;
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let acked = |id: ReplicaId| match leadership.progress.get(&id) {
            _ if id == own => leadership.round,
            Some(progress) => progress.acked_round,
            None => 0,
        };
        let Some(quorum_round) = self.membership().quorum_value(acked) else {
            return;
        };
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.quorum_round = leadership.quorum_round.max(quorum_round);
        while let Some(&(round, started_at)) = leadership.open_rounds.front()
            && round <= quorum_round
        {
            leadership.quorum_contact_at = leadership.quorum_contact_at.max(started_at);
            leadership.lease_start = Some(started_at);
            leadership.open_rounds.pop_front();
        }
    }

    /// Begins a new heartbeat round if one was requested.
    pub(super) fn begin_round(&mut self) {
        let now = self.now();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if !std::mem::take(&mut leadership.round_requested) {
            return;
        }
        leadership.round += 1;
        leadership.open_rounds.push_back((leadership.round, now));
        leadership
            .progress
            .values_mut()
            .for_each(Progress::begin_round);
    }

    /// Sends each follower all messages that its progress allows.
    pub(super) fn send_appends(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let peers: Vec<ReplicaId> = leadership.progress.keys().copied().collect();
        for peer in peers {
            while let Some(message) = self.next_message(peer) {
                self.send(peer, message);
            }
        }
    }

    fn next_message(&mut self, peer: ReplicaId) -> Option<Message> {
        self.transfer_if_compacted(peer);
        let (term, commit, limits) = (self.hard_state.term, self.commit, self.limits);
        let last = self.log.last().index;
        let Role::Leader(leadership) = &mut self.role else {
            return None;
        };
        let round = leadership.round;
        let progress = leadership.progress.get_mut(&peer)?;
        let heartbeat = progress.sent_round < round;
        progress.sent_round = round;
        let with_entries = match &mut progress.mode {
            SendMode::Transfer { .. } => {
                return chunk_message(progress, term, round, limits.chunk_bytes);
            }
            SendMode::Probe { sent: true } => return None,
            SendMode::Probe { sent } => {
                *sent = true;
                true
            }
            SendMode::Pipeline { in_flight } => {
                let may_send = progress.next <= last && in_flight.len() < limits.window;
                if !may_send && !heartbeat {
                    return None;
                }
                may_send
            }
        };
        let before = LogIndex::new(progress.next.get().saturating_sub(1));
        let previous = Position::new(self.log.term_at(before)?, before);
        let entries = if with_entries {
            self.log.batch_from(progress.next, limits.append_bytes)
        } else {
            Vec::new()
        };
        if let (SendMode::Pipeline { in_flight }, Some(entry)) =
            (&mut progress.mode, entries.last())
        {
            in_flight.push_back(entry.index());
            progress.next = entry.index().next();
        }
        Some(Message::Append(Append {
            term,
            round,
            previous,
            entries,
            commit,
        }))
    }

    /// Begins the transfer of a snapshot if the next entry of a follower was compacted.
    fn transfer_if_compacted(&mut self, peer: ReplicaId) {
        let base = self.log.base().index;
        let snapshot = self.snapshot.clone();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.progress.get_mut(&peer) else {
            return;
        };
        if progress.next > base || matches!(progress.mode, SendMode::Transfer { .. }) {
            return;
        }
        progress.mode = SendMode::Transfer {
            checksum: crc32fast::hash(snapshot.data.as_slice()),
            snapshot,
            offset: 0,
            sent: false,
        };
    }
}

fn chunk_message(
    progress: &mut Progress,
    term: Term,
    round: u64,
    chunk_bytes: usize,
) -> Option<Message> {
    let SendMode::Transfer {
        snapshot,
        checksum,
        offset,
        sent,
    } = &mut progress.mode
    else {
        return None;
    };
    if std::mem::replace(sent, true) {
        return None;
    }
    let snapshot = Arc::clone(snapshot);
    let bytes = snapshot.data.as_slice();
    let start = usize::try_from(*offset).ok()?.min(bytes.len());
    let end = start.saturating_add(chunk_bytes).min(bytes.len());
    Some(Message::Chunk(Chunk {
        term,
        round,
        position: snapshot.position,
        members: snapshot.members.clone(),
        offset: *offset,
        total: bytes.len() as u64,
        checksum: *checksum,
        data: Payload::from(bytes.get(start..end)?),
    }))
}
