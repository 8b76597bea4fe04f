//! A replica that a test drives input by input.

use std::{net::SocketAddr, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};
use trefoillock_replica::{
    AppendOutcome, BatchId, Content, DiskId, Effect, Entry, HardState, Limits, Membership, Message,
    Position, RecoveredState, Replica, ReplicaIdentity, ReplicaRole, Snapshot, Timing, Write,
};

const START: Timestamp = Timestamp::from_secs(1_000);

pub(crate) fn id(number: u64) -> ReplicaId {
    ReplicaId::new(number)
}

pub(crate) fn sender(number: u64) -> ReplicaIdentity {
    ReplicaIdentity {
        id: id(number),
        disk: DiskId::new(number),
    }
}

pub(crate) fn position(term: u64, index: u64) -> Position {
    Position::new(Term::new(term), LogIndex::new(index))
}

pub(crate) fn address(number: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(number).expect("small")))
}

pub(crate) fn blank(term: u64, index: u64) -> Entry {
    Entry::new(position(term, index), Content::Blank)
}

/// A replica with its recorded effects. Its writes are synced immediately while `sync` is set.
pub(crate) struct Harness {
    pub(crate) replica: Replica,
    pub(crate) now: Timestamp,
    pub(crate) sent: Vec<(ReplicaId, Message)>,
    pub(crate) writes: Vec<Write>,
    pub(crate) unsynced: Option<BatchId>,
    pub(crate) snapshot_wanted: Option<Position>,
    pub(crate) sync: bool,
    pub(crate) reads: Vec<Effect>,
}

impl Harness {
    /// Creates replica 1 of a number of voters, with a log.
    pub(crate) fn new(voters: u64, term: u64, entries: Vec<Entry>, limits: Limits) -> Self {
        let hard_state = HardState {
            term: Term::new(term),
            ..HardState::default()
        };
        Self::with(voters, hard_state, entries, limits)
    }

    /// Creates replica 1 as after a restart.
    pub(crate) fn restarted(voters: u64, hard_state: HardState, entries: Vec<Entry>) -> Self {
        Self::with(voters, hard_state, entries, Limits::default())
    }

    fn with(voters: u64, hard_state: HardState, entries: Vec<Entry>, limits: Limits) -> Self {
        let members: Vec<_> = (1..=voters).map(|n| (id(n), address(n))).collect();
        let recovered = RecoveredState {
            identity: sender(1),
            hard_state,
            snapshot: Snapshot {
                members: Membership::of_voters(&members),
                ..Snapshot::default()
            },
            base: Position::default(),
            entries,
        };
        let rng = Pcg64Mcg::seed_from_u64(1);
        Self {
            replica: Replica::new(recovered, Timing::default(), limits, rng, START),
            now: START,
            sent: Vec::new(),
            writes: Vec::new(),
            unsynced: None,
            snapshot_wanted: None,
            sync: true,
            reads: Vec::new(),
        }
    }

    pub(crate) fn execute_effects(&mut self) {
        loop {
            let effects = self.replica.take_effects();
            let synced = self.unsynced.take_if(|_| self.sync);
            if effects.is_empty() && synced.is_none() {
                return;
            }
            if let Some(batch) = synced {
                self.replica.report_synced(self.now, batch);
            }
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => self.sent.push((to, message)),
                    Effect::Write { batch, writes } => {
                        self.writes.extend(writes);
                        self.unsynced = Some(batch);
                    }
                    Effect::TakeSnapshot { position } => self.snapshot_wanted = Some(position),
                    Effect::ReadReady(_) | Effect::ReadFailed(_) => self.reads.push(effect),
                    _ => {}
                }
            }
        }
    }

    pub(crate) fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(20);
            self.replica.tick(self.now);
            self.execute_effects();
        }
    }

    pub(crate) fn receive(&mut self, from: u64, message: Message) {
        self.replica.receive(self.now, sender(from), message);
        self.execute_effects();
    }

    pub(crate) fn elect(&mut self, voters: &[u64]) {
        for _ in 0..150 {
            if self.replica.role() == ReplicaRole::Candidate {
                break;
            }
            self.advance(Duration::from_millis(20));
        }
        let next = self.replica.term().next();
        for &voter in voters {
            self.receive(
                voter,
                Message::PreVoteAnswer {
                    term: next,
                    granted: true,
                },
            );
        }
        for &voter in voters {
            self.receive(
                voter,
                Message::VoteAnswer {
                    term: next,
                    granted: true,
                },
            );
        }
        assert_eq!(self.replica.role(), ReplicaRole::Leader);
    }

    /// Delivers the answer of a follower that has the log up to an index, for the latest round.
    pub(crate) fn accept(&mut self, from: u64, matched: u64) {
        let round = self
            .sent
            .iter()
            .rev()
            .find_map(|(_, message)| match message {
                Message::Append(append) => Some(append.round),
                _ => None,
            });
        self.receive(
            from,
            Message::AppendAnswer {
                term: self.replica.term(),
                round: round.unwrap_or(0),
                outcome: AppendOutcome::Accepted {
                    matched: LogIndex::new(matched),
                },
            },
        );
    }
}
