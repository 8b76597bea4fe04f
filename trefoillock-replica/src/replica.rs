//! The replica's machine: messages and time in, effects out.

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
    Content, Effect, Entry, HardState, Limits, Membership, Message, Payload, Position, Refusal,
    Sender, Snapshot, Ticket, Timing,
    log::Log,
    replica::{
        output::Outgoing,
        role::{Leadership, Role},
        snapshot::IncomingSnapshot,
    },
    steady_clock::SteadyClock,
};

/// What a replica reads from its disk at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    /// The replica and its disk.
    pub identity: Sender,
    /// The term and the vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The position before the first of `entries`.
    pub base: Position,
    /// The entries of the log.
    pub entries: Vec<Entry>,
}

/// The reason why a proposal is refused; it is not in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ProposeRefusal {
    /// this replica is not a leader with a quorum
    NotLeader,
    /// the command is larger than the limit
    TooLarge,
    /// too much has been proposed and not committed yet
    Busy,
}

/// The part that a replica plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleKind {
    /// It receives entries without voting.
    Learner,
    /// It follows a leader or waits for one.
    Follower,
    /// It asks for votes.
    Candidate,
    /// It leads.
    Leader,
}

/// The machine of one replica. It does no I/O and reads no clock.
///
/// After each input, [`Replica::take_effects`] returns what must be done, in order.
#[derive(Debug, Clone)]
pub struct Replica {
    identity: Sender,
    timing: Timing,
    limits: Limits,
    rng: Pcg64Mcg,
    clock: SteadyClock,
    hard_state: HardState,
    log: Log,
    snapshot: Arc<Snapshot>,
    snapshot_wanted: bool,
    /// The size in bytes of the entries applied since the last snapshot was asked for.
    replay_bytes: usize,
    incoming: Option<IncomingSnapshot>,
    /// Memberships in the log by index; the first belongs to the snapshot or is older.
    members: Vec<(LogIndex, Membership)>,
    commit: LogIndex,
    applied: LogIndex,
    role: Role,
    leader: Option<ReplicaId>,
    heard_at: Timestamp,
    /// The term of the leader that was last heard of, or a later one.
    promised: Term,
    /// The latest term that this replica led before it started; its lease ended with the process.
    relinquished: Term,
    /// The time until which the leader before a restart campaigns without delay.
    reclaim_until: Timestamp,
    election_at: Timestamp,
    refused: Option<Refusal>,
    ticket: Ticket,
    synced: Ticket,
    hard_state_changed: bool,
    unsaved_from: Option<LogIndex>,
    snapshot_unsaved: bool,
    /// The last index of the log as of each write in flight.
    in_flight: VecDeque<(Ticket, LogIndex)>,
    persisted: LogIndex,
    outgoing: Vec<Outgoing>,
    held: VecDeque<(Ticket, Outgoing)>,
    effects: Vec<Effect>,
}

impl Replica {
    /// Creates a replica from what its disk holds.
    #[must_use]
    pub fn new(
        recovered: Recovered,
        timing: Timing,
        limits: Limits,
        rng: Pcg64Mcg,
        now: Timestamp,
    ) -> Self {
        let snapshot = Arc::new(recovered.snapshot);
        let log = Log::new(recovered.base, recovered.entries);
        let first = (snapshot.position.index, snapshot.members.clone());
        let members = std::iter::once(first).chain(memberships(&log, snapshot.position.index));
        // A blank replica of a new system has never promised to follow a leader.
        let blank = recovered.hard_state == HardState::default();
        let heard_at = if blank { Timestamp::EPOCH } else { now };
        let mut replica = Self {
            identity: recovered.identity,
            timing,
            limits,
            rng,
            clock: SteadyClock::new(now, timing.max_clock_step),
            hard_state: recovered.hard_state,
            members: members.collect(),
            commit: snapshot.position.index,
            applied: snapshot.position.index,
            role: Role::Follower,
            leader: None,
            heard_at,
            promised: recovered.hard_state.term,
            relinquished: recovered.hard_state.led,
            reclaim_until: now + timing.election_max,
            election_at: now,
            refused: None,
            ticket: Ticket::default(),
            synced: Ticket::default(),
            hard_state_changed: false,
            unsaved_from: None,
            snapshot_unsaved: false,
            in_flight: VecDeque::new(),
            persisted: log.last().index,
            outgoing: Vec::new(),
            held: VecDeque::new(),
            effects: Vec::new(),
            snapshot_wanted: false,
            replay_bytes: 0,
            incoming: None,
            snapshot,
            log,
        };
        if replica.applied > LogIndex::ZERO {
            let restore = Effect::Restore(replica.snapshot.clone());
            replica.effects.push(restore);
        }
        replica.reset_election();
        replica
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance(now);
        let now = self.now();
        match &self.role {
            Role::Leader(_) => self.tick_leader(),
            _ if now >= self.election_at => self.start_pre_vote(),
            _ => {}
        }
    }

    /// Takes a message in.
    pub fn receive(&mut self, now: Timestamp, from: Sender, message: Message) {
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

    /// Proposes a command. Returns the position at which it is committed, if it is.
    ///
    /// # Errors
    ///
    /// Returns the reason if the command is not in the log.
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

    /// Reports that all writes up to a ticket are synced.
    pub fn synced(&mut self, now: Timestamp, ticket: Ticket) {
        self.advance(now);
        self.synced = self.synced.max(ticket);
        while let Some(&(written, last)) = self.in_flight.front()
            && written <= self.synced
        {
            self.persisted = last;
            self.in_flight.pop_front();
        }
        self.count_own_vote();
    }

    /// Tells that the clock may have stood still or jumped, so a lease cannot be relied on.
    pub fn distrust_clock(&mut self) {
        self.clock_stepped();
    }

    fn advance(&mut self, reading: Timestamp) {
        if self.clock.advance(reading) {
            self.clock_stepped();
        }
    }

    fn clock_stepped(&mut self) {
        let now = self.now();
        self.heard_at = self.heard_at.max(now);
        if let Role::Leader(leadership) = &mut self.role {
            leadership.lease_start = None;
            leadership.rounds.clear();
            leadership.contact = now;
            leadership.round_wanted = true;
        }
    }

    const fn now(&self) -> Timestamp {
        self.clock.now()
    }
}

/// The memberships in a log after an index.
fn memberships(log: &Log, after: LogIndex) -> Vec<(LogIndex, Membership)> {
    let members = |e: &Entry| match &e.content {
        Content::Members(members) => Some((e.index(), members.clone())),
        Content::Blank | Content::Command(_) => None,
    };
    log.from(after.next()).filter_map(members).collect()
}
