//! The consensus protocol of one replica, without I/O.
//!
//! Inputs are messages, clock readings, completed syncs and proposals; outputs are [`Effect`]s for
//! the caller to execute in order.

mod append;
mod change;
mod commit;
mod election;
mod output;
mod read;
mod replicate;
mod role;
mod snapshot;
mod view;

use std::{collections::VecDeque, sync::Arc};

use displaydoc::Display;
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};

use crate::{
    BatchId, Content, Effect, Entry, HardState, Limits, Membership, Message, Payload, Position,
    Refusal, ReplicaIdentity, Snapshot, Timing,
    log::Log,
    replica::{
        output::Outgoing,
        role::{Leadership, Role},
        snapshot::IncomingSnapshot,
    },
    steady_clock::SteadyClock,
};

/// The persistent state that a replica reads from its disk at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveredState {
    /// The identities of the replica and of its disk.
    pub identity: ReplicaIdentity,
    /// The current term, the vote in it and the latest term led.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The position of the entry before the first of `entries`.
    pub base: Position,
    /// The log entries after `base`.
    pub entries: Vec<Entry>,
}

/// The reason why a proposal was refused. The proposal is not in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ProposeRefusal {
    /// this replica is not a leader in contact with a quorum
    NotLeader,
    /// the command is larger than the limit
    TooLarge,
    /// too many bytes of proposals are not committed yet
    Busy,
}

/// The role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Receives entries but does not vote.
    Learner,
    /// Votes and replicates the log of a leader, if there is one.
    Follower,
    /// Requests votes or pre-votes.
    Candidate,
    /// Appends entries and replicates them to the other members.
    Leader,
}

/// A batch of writes that is not synced yet.
#[derive(Debug, Clone, Copy)]
struct UnsyncedBatch {
    id: BatchId,
    /// The last log index that is on disk once the batch is synced.
    last: LogIndex,
    /// When the batch was handed out.
    since: Timestamp,
}

/// The consensus state of one replica. It does no I/O and reads no clock.
///
/// After each input, [`Replica::take_effects`] returns the effects to execute, in order.
#[derive(Debug, Clone)]
pub struct Replica {
    identity: ReplicaIdentity,
    timing: Timing,
    limits: Limits,
    rng: Pcg64Mcg,
    clock: SteadyClock,
    hard_state: HardState,
    log: Log,
    snapshot: Arc<Snapshot>,
    snapshot_requested: bool,
    /// The size in bytes of the entries applied since the last snapshot was requested.
    replay_bytes: usize,
    incoming: Option<IncomingSnapshot>,
    /// Memberships in the log by index; the first is the one in force at the snapshot.
    memberships: Vec<(LogIndex, Membership)>,
    commit: LogIndex,
    applied: LogIndex,
    role: Role,
    leader: Option<ReplicaId>,
    /// The latest time at which a message from a leader may have extended its lease: the last such
    /// message, the start of this replica or a jump of its clock.
    leader_heard_at: Timestamp,
    /// The term of the leader that last sent a message, or a later one. Other candidates get no
    /// vote while that leader may hold a lease.
    promised_term: Term,
    /// The latest term that this replica led before it started. Its lease ended with that process.
    relinquished: Term,
    /// The time until which a replica that led before its restart campaigns with a short delay.
    reclaim_until: Timestamp,
    election_due: Timestamp,
    refused: Option<Refusal>,
    /// The last batch of writes handed out.
    last_batch: BatchId,
    /// The last batch of writes that is synced.
    synced_batch: BatchId,
    hard_state_changed: bool,
    /// The index of the first entry that no batch contains yet.
    first_unwritten: Option<LogIndex>,
    snapshot_unwritten: bool,
    /// The batches that are not synced yet, oldest first.
    in_flight: VecDeque<UnsyncedBatch>,
    /// The last log index that is synced.
    persisted: LogIndex,
    outgoing: Vec<Outgoing>,
    /// Messages that may be sent once a batch is synced.
    awaiting_sync: VecDeque<(BatchId, Outgoing)>,
    effects: Vec<Effect>,
}

impl Replica {
    /// Creates a replica from the persistent state of its disk.
    #[must_use]
    pub fn new(
        recovered: RecoveredState,
        timing: Timing,
        limits: Limits,
        rng: Pcg64Mcg,
        now: Timestamp,
    ) -> Self {
        let snapshot = Arc::new(recovered.snapshot);
        let log = Log::new(recovered.base, recovered.entries);
        let first = (snapshot.position.index, snapshot.members.clone());
        let memberships =
            std::iter::once(first).chain(memberships_after(&log, snapshot.position.index));
        // A replica without persistent state has never acknowledged a leader, so it cannot have
        // extended a lease. Any other one may have done so just before it restarted.
        let is_new = recovered.hard_state == HardState::default();
        let leader_heard_at = if is_new { Timestamp::EPOCH } else { now };
        let mut replica = Self {
            identity: recovered.identity,
            timing,
            limits,
            rng,
            clock: SteadyClock::new(now, timing.max_clock_step),
            hard_state: recovered.hard_state,
            memberships: memberships.collect(),
            commit: snapshot.position.index,
            applied: snapshot.position.index,
            role: Role::Follower,
            leader: None,
            leader_heard_at,
            promised_term: recovered.hard_state.term,
            relinquished: recovered.hard_state.led,
            reclaim_until: now + timing.election_max,
            election_due: now,
            refused: None,
            last_batch: BatchId::default(),
            synced_batch: BatchId::default(),
            hard_state_changed: false,
            first_unwritten: None,
            snapshot_unwritten: false,
            in_flight: VecDeque::new(),
            persisted: log.last().index,
            outgoing: Vec::new(),
            awaiting_sync: VecDeque::new(),
            effects: Vec::new(),
            snapshot_requested: false,
            replay_bytes: 0,
            incoming: None,
            snapshot,
            log,
        };
        if replica.applied > LogIndex::ZERO {
            let restore = Effect::Restore(replica.snapshot.clone());
            replica.effects.push(restore);
        }
        replica.reset_election_timer();
        replica
    }

    /// Advances the clock, sends due heartbeats and starts due elections.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance(now);
        let now = self.now();
        match &self.role {
            Role::Leader(_) => self.tick_leader(),
            _ if now >= self.election_due => self.start_pre_vote(),
            _ => {}
        }
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, now: Timestamp, from: ReplicaIdentity, message: Message) {
        self.advance(now);
        if let Some(refusal) = self.refusal(from) {
            if !matches!(message, Message::Refused(_)) {
                self.send(from.id, Message::Refused(refusal));
            }
            return;
        }
        if !self.adopt_term(&message) {
            return;
        }
        match message {
            Message::PreVote {
                term,
                last,
                relinquished,
            } => self.on_pre_vote(from.id, term, last, relinquished),
            Message::PreVoteAnswer { term, granted } => {
                self.on_pre_vote_answer(from.id, term, granted);
            }
            Message::Vote {
                term,
                last,
                relinquished,
            } => self.on_vote(from.id, term, last, relinquished),
            Message::VoteAnswer { term, granted } => self.on_vote_answer(from.id, term, granted),
            Message::Append(append) => self.on_append(from.id, append),
            Message::AppendAnswer {
                term,
                round,
                outcome,
            } => self.on_append_answer(from, term, round, outcome),
            Message::Chunk(chunk) => self.on_chunk(from.id, &chunk),
            Message::ChunkAnswer {
                term,
                round,
                position,
                received,
            } => self.on_chunk_answer(from, term, round, position, received),
            Message::Refused(refusal) => self.refused = Some(refusal),
        }
    }

    /// Proposes a command. Returns the position that it will have if it commits.
    ///
    /// # Errors
    ///
    /// Returns the reason if the command was not appended to the log.
    pub fn propose(
        &mut self,
        now: Timestamp,
        command: Payload,
    ) -> Result<Position, ProposeRefusal> {
        self.advance(now);
        if !self.has_quorum_contact() {
            return Err(ProposeRefusal::NotLeader);
        }
        if command.len() > self.limits.command_bytes {
            return Err(ProposeRefusal::TooLarge);
        }
        if self.uncommitted_bytes().saturating_add(command.len()) > self.limits.uncommitted_bytes {
            return Err(ProposeRefusal::Busy);
        }
        Ok(self.append_own(Content::Command(command)))
    }

    /// Reports that a batch of writes and all earlier ones are synced.
    pub fn report_synced(&mut self, now: Timestamp, batch: BatchId) {
        self.advance(now);
        self.synced_batch = self.synced_batch.max(batch);
        while let Some(oldest) = self.in_flight.front()
            && oldest.id <= self.synced_batch
        {
            self.persisted = oldest.last;
            self.in_flight.pop_front();
        }
        self.count_own_vote();
    }

    /// Reports that the clock may have stopped or jumped. The replica then gives up its lease.
    pub fn report_clock_jump(&mut self) {
        self.drop_lease();
    }

    fn advance(&mut self, reading: Timestamp) {
        if self.clock.advance(reading) {
            self.drop_lease();
        }
    }

    /// Gives up the lease of this replica, and withholds votes as after a message from a leader.
    ///
    /// The elapsed time is unknown, so the lease of this replica may have expired, and another
    /// replica may still hold one.
    fn drop_lease(&mut self) {
        let now = self.now();
        self.leader_heard_at = self.leader_heard_at.max(now);
        if let Role::Leader(leadership) = &mut self.role {
            leadership.lease_start = None;
            leadership.open_rounds.clear();
            leadership.quorum_contact_at = now;
            leadership.round_requested = true;
        }
    }

    /// Notes that the unsynced batches hold no entries after `last` any more.
    fn limit_unsynced(&mut self, last: LogIndex) {
        for batch in &mut self.in_flight {
            batch.last = batch.last.min(last);
        }
    }

    const fn now(&self) -> Timestamp {
        self.clock.now()
    }
}

/// Returns the memberships in the log after `after`, by index.
fn memberships_after(log: &Log, after: LogIndex) -> Vec<(LogIndex, Membership)> {
    let members = |e: &Entry| match &e.content {
        Content::Members(members) => Some((e.index(), members.clone())),
        Content::Blank | Content::Command(_) => None,
    };
    log.entries_from(after.next()).filter_map(members).collect()
}
