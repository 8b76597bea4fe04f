//! The machine alone, input by input.

use std::{net::SocketAddr, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};
use trefoillock_replica::{
    Append, AppendOutcome, ChangeError, Content, DiskId, Effect, Entry, HardState, Limits,
    Membership, MembershipChange, Message, Payload, Position, ProposeRefusal, ReadId, Recovered,
    Refusal, Replica, RoleKind, Sender, Snapshot, Ticket, Timing, Write,
};

const START: Timestamp = Timestamp::from_secs(1_000);

fn id(number: u64) -> ReplicaId {
    ReplicaId::new(number)
}

fn sender(number: u64) -> Sender {
    Sender {
        id: id(number),
        disk: DiskId::new(number),
    }
}

fn position(term: u64, index: u64) -> Position {
    Position::new(Term::new(term), LogIndex::new(index))
}

fn address(number: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(number).expect("small")))
}

fn blank(term: u64, index: u64) -> Entry {
    Entry::new(position(term, index), Content::Blank)
}

/// A machine whose writes are synced at once, with the messages that it sent.
struct Machine {
    replica: Replica,
    now: Timestamp,
    sent: Vec<(ReplicaId, Message)>,
    writes: Vec<Write>,
    unsynced: Option<Ticket>,
    snapshot_wanted: Option<Position>,
    sync: bool,
    reads: Vec<Effect>,
}

impl Machine {
    /// Replica 1 of a number of voters, with a log.
    fn new(voters: u64, term: u64, entries: Vec<Entry>, limits: Limits) -> Self {
        let hard_state = HardState {
            term: Term::new(term),
            ..HardState::default()
        };
        Self::with(voters, hard_state, entries, limits)
    }

    /// Replica 1 after a restart.
    fn restarted(voters: u64, hard_state: HardState, entries: Vec<Entry>) -> Self {
        Self::with(voters, hard_state, entries, Limits::default())
    }

    fn with(voters: u64, hard_state: HardState, entries: Vec<Entry>, limits: Limits) -> Self {
        let members: Vec<_> = (1..=voters).map(|n| (id(n), address(n))).collect();
        let recovered = Recovered {
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

    fn settle(&mut self) {
        loop {
            let effects = self.replica.take_effects();
            let synced = self.unsynced.take_if(|_| self.sync);
            if effects.is_empty() && synced.is_none() {
                return;
            }
            if let Some(ticket) = synced {
                self.replica.synced(self.now, ticket);
            }
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => self.sent.push((to, message)),
                    Effect::Write { ticket, writes } => {
                        self.writes.extend(writes);
                        self.unsynced = Some(ticket);
                    }
                    Effect::TakeSnapshot { position } => self.snapshot_wanted = Some(position),
                    Effect::ReadReady(_) | Effect::ReadFailed(_) => self.reads.push(effect),
                    _ => {}
                }
            }
        }
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(20);
            self.replica.tick(self.now);
            self.settle();
        }
    }

    fn receive(&mut self, from: u64, message: Message) {
        self.replica.receive(self.now, sender(from), message);
        self.settle();
    }

    fn elect(&mut self, voters: &[u64]) {
        for _ in 0..150 {
            if self.replica.role() == RoleKind::Candidate {
                break;
            }
            self.pass(Duration::from_millis(20));
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
        assert_eq!(self.replica.role(), RoleKind::Leader);
    }

    /// Answers as a follower that holds the log up to an index and saw the latest round.
    fn accept(&mut self, from: u64, matched: u64) {
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

#[test]
fn an_entry_of_an_earlier_term_does_not_commit_by_counting() {
    let log = vec![blank(1, 1), blank(2, 2)];
    let mut machine = Machine::new(5, 3, log, Limits::default());
    machine.elect(&[2, 3]);
    assert_eq!(machine.replica.last(), position(4, 3));
    machine.accept(2, 2);
    machine.accept(3, 2);
    assert_eq!(machine.replica.commit(), LogIndex::ZERO);
    machine.accept(2, 3);
    machine.accept(3, 3);
    assert_eq!(machine.replica.commit(), LogIndex::new(3));
}

#[test]
fn a_vote_leaves_only_after_its_sync_and_is_given_once() {
    let mut machine = Machine::new(3, 0, Vec::new(), Limits::default());
    machine.sync = false;
    let vote = |from: u64| {
        (
            from,
            Message::Vote {
                term: Term::new(1),
                last: Position::default(),
                relinquished: Term::ZERO,
            },
        )
    };
    let (from, message) = vote(2);
    machine.receive(from, message);
    assert_eq!(machine.sent, []);
    let state = HardState {
        term: Term::new(1),
        voted_for: Some(id(2)),
        ..HardState::default()
    };
    assert_eq!(machine.writes, [Write::HardState(state)]);
    machine.sync = true;
    machine.settle();
    let (from, message) = vote(3);
    machine.receive(from, message);
    let answers = machine
        .sent
        .iter()
        .filter_map(|(to, message)| match message {
            Message::VoteAnswer { granted, .. } => Some((to.get(), *granted)),
            _ => None,
        });
    assert_eq!(answers.collect::<Vec<_>>(), [(2, true), (3, false)]);
}

#[test]
fn a_vote_in_a_term_that_was_known_before_is_written() {
    let mut machine = Machine::new(3, 0, Vec::new(), Limits::default());
    machine.receive(
        3,
        Message::VoteAnswer {
            term: Term::new(7),
            granted: false,
        },
    );
    machine.receive(
        2,
        Message::Vote {
            term: Term::new(7),
            last: Position::default(),
            relinquished: Term::ZERO,
        },
    );
    let state = HardState {
        term: Term::new(7),
        voted_for: Some(id(2)),
        ..HardState::default()
    };
    assert_eq!(machine.writes.last(), Some(&Write::HardState(state)));
}

#[test]
fn an_isolated_leader_refuses_proposals_and_reads() {
    let mut machine = Machine::new(3, 0, Vec::new(), Limits::default());
    machine.elect(&[2]);
    machine.accept(2, 1);
    assert!(machine.replica.lease_until().is_some());
    machine.replica.read(machine.now, ReadId::new(1));
    machine.settle();
    assert_eq!(machine.reads, [Effect::ReadReady(ReadId::new(1))]);
    // Past the lease, and not yet so long that it steps down.
    let Timing {
        lease,
        election_min,
        ..
    } = Timing::default();
    let rest = election_min.saturating_sub(lease);
    machine.pass(lease + rest / 2);
    assert_eq!(machine.replica.role(), RoleKind::Leader);
    assert_eq!(machine.replica.lease_until(), None);
    let refused = machine.replica.propose(machine.now, Payload::default());
    assert_eq!(refused, Err(ProposeRefusal::NotLeader));
    machine.replica.read(machine.now, ReadId::new(2));
    machine.settle();
    assert_eq!(machine.reads.len(), 1);
    machine.pass(rest);
    assert_ne!(machine.replica.role(), RoleKind::Leader);
    assert_eq!(machine.reads[1..], [Effect::ReadFailed(ReadId::new(2))]);
}

#[test]
fn proposals_and_windows_are_bounded() {
    let limits = Limits {
        command_bytes: 1_000,
        uncommitted_bytes: 20_000,
        append_bytes: 1_000,
        window: 3,
        ..Limits::default()
    };
    let mut machine = Machine::new(3, 0, Vec::new(), limits);
    machine.elect(&[2]);
    for _ in 0..3 {
        let matched = machine.replica.last().index.get();
        machine.accept(2, matched);
    }
    let large = Payload::from(vec![0; 1_001]);
    let refused = machine.replica.propose(machine.now, large);
    assert_eq!(refused, Err(ProposeRefusal::TooLarge));
    machine.sent.clear();
    let mut accepted = 0;
    while machine
        .replica
        .propose(machine.now, Payload::from(vec![0; 900]))
        .is_ok()
    {
        accepted += 1;
        machine.settle();
    }
    assert!((15..=21).contains(&accepted), "{accepted}");
    let to_second = machine.sent.iter().filter(|(to, message)| {
        let entries = matches!(message, Message::Append(append) if !append.entries.is_empty());
        *to == id(2) && entries
    });
    assert_eq!(to_second.count(), 3);
}

#[test]
fn a_message_with_gaps_or_wrong_terms_is_dropped() {
    let mut machine = Machine::new(3, 1, vec![blank(1, 1)], Limits::default());
    let bad = [
        vec![blank(1, 3)],
        vec![blank(1, 2), blank(1, 4)],
        vec![blank(9, 2)],
        vec![blank(2, 2), blank(1, 3)],
    ];
    for entries in bad {
        machine.receive(
            2,
            Message::Append(Append {
                term: Term::new(2),
                round: 1,
                previous: position(1, 1),
                entries,
                commit: LogIndex::new(u64::MAX),
            }),
        );
        assert_eq!(machine.replica.last(), position(1, 1));
    }
}

#[test]
fn a_leader_that_conflicts_with_a_committed_entry_is_not_followed() {
    let mut machine = Machine::new(3, 1, vec![blank(1, 1)], Limits::default());
    let append = |term: u64, entry: Entry| {
        Message::Append(Append {
            term: Term::new(term),
            round: 1,
            previous: Position::default(),
            entries: vec![entry],
            commit: LogIndex::new(1),
        })
    };
    machine.receive(2, append(1, blank(1, 1)));
    assert_eq!(machine.replica.commit(), LogIndex::new(1));
    machine
        .replica
        .receive(machine.now, sender(3), append(3, blank(3, 1)));
    let halted = machine.replica.take_effects();
    assert!(halted.iter().any(|e| matches!(e, Effect::Halt { .. })));
    assert_eq!(machine.replica.last(), position(1, 1));
}

#[test]
fn members_change_one_at_a_time_and_identities_are_used_once() {
    let mut machine = Machine::new(3, 0, Vec::new(), Limits::default());
    machine.elect(&[2]);
    let add = MembershipChange::AddLearner {
        id: id(4),
        address: address(4),
    };
    let early = machine.replica.change_members(machine.now, &add);
    assert_eq!(early, Err(ChangeError::InProgress));
    let last = |machine: &Machine| machine.replica.last().index.get();
    for _ in 0..3 {
        let matched = last(&machine);
        machine.accept(2, matched);
        machine.accept(3, matched);
    }
    machine
        .replica
        .change_members(machine.now, &add)
        .expect("added");
    let promote = MembershipChange::Promote { id: id(4) };
    let second = machine.replica.change_members(machine.now, &promote);
    assert_eq!(second, Err(ChangeError::InProgress));
    machine.settle();
    let matched = last(&machine);
    machine.accept(2, matched);
    let lagging = machine.replica.change_members(machine.now, &promote);
    assert_eq!(lagging, Err(ChangeError::NotCaughtUp(id(4))));
    let remove = MembershipChange::Remove { id: id(3) };
    machine
        .replica
        .change_members(machine.now, &remove)
        .expect("removed");
    machine.settle();
    let matched = last(&machine);
    machine.accept(2, matched);
    let again = MembershipChange::AddLearner {
        id: id(3),
        address: address(3),
    };
    let again = machine.replica.change_members(machine.now, &again);
    assert_eq!(again, Err(ChangeError::IdentityUsed(id(3))));
    // The removed replica is told so and its vote changes nothing.
    let term = machine.replica.term();
    machine.sent.clear();
    machine.receive(
        3,
        Message::Vote {
            term: Term::new(99),
            last: position(99, 99),
            relinquished: Term::ZERO,
        },
    );
    let told = (id(3), Message::Refused(Refusal::Removed));
    assert_eq!(machine.sent, [told]);
    assert_eq!(machine.replica.term(), term);
}

#[test]
fn a_replica_whose_removal_has_not_committed_can_still_lead() {
    let others: Vec<_> = (2..=4).map(|n| (id(n), address(n))).collect();
    let removal = Content::Members(Membership::of_voters(&others));
    let log = vec![blank(1, 1), Entry::new(position(1, 2), removal)];
    let mut machine = Machine::new(4, 1, log, Limits::default());
    // One vote is no quorum of three, since its own does not count.
    machine.pass(Duration::from_millis(2_100));
    assert_eq!(machine.replica.role(), RoleKind::Candidate);
    let next = machine.replica.term().next();
    let granted = |term| Message::PreVoteAnswer {
        term,
        granted: true,
    };
    machine.receive(2, granted(next));
    assert_eq!(machine.replica.term(), Term::new(1));
    machine.elect(&[2, 3]);
    machine.accept(2, 3);
    assert_eq!(machine.replica.commit(), LogIndex::ZERO);
    machine.accept(3, 3);
    assert_eq!(machine.replica.commit(), LogIndex::new(3));
    assert_eq!(machine.replica.role(), RoleKind::Learner);
}

#[test]
fn a_learner_forgets_a_leader_that_is_silent_and_does_not_campaign() {
    let mut machine = Machine::new(0, 1, Vec::new(), Limits::default());
    machine.receive(
        2,
        Message::Append(Append {
            term: Term::new(1),
            round: 1,
            previous: Position::default(),
            entries: Vec::new(),
            commit: LogIndex::ZERO,
        }),
    );
    assert_eq!(machine.replica.leader(), Some(id(2)));
    machine.pass(Duration::from_millis(2_100));
    assert_eq!(machine.replica.leader(), None);
    assert_eq!(machine.replica.role(), RoleKind::Learner);
    assert_eq!(machine.replica.term(), Term::new(1));
}

/// A vote that replica 2 asks for in term 4, and that was led in a term before it restarted.
fn vote_after(relinquished: u64) -> Message {
    Message::Vote {
        term: Term::new(4),
        last: position(3, 1),
        relinquished: Term::new(relinquished),
    }
}

fn heartbeat(term: u64) -> Message {
    Message::Append(Append {
        term: Term::new(term),
        round: 1,
        previous: position(3, 1),
        entries: Vec::new(),
        commit: LogIndex::ZERO,
    })
}

/// Whether a follower of a live leader of term 3 votes for a candidate at once.
fn votes_for(relinquished: u64) -> bool {
    let mut machine = Machine::new(5, 3, vec![blank(3, 1)], Limits::default());
    machine.receive(3, heartbeat(3));
    machine.sent.clear();
    machine.receive(2, vote_after(relinquished));
    let granted = Message::VoteAnswer {
        term: Term::new(4),
        granted: true,
    };
    machine.sent.contains(&(id(2), granted))
}

#[test]
fn a_follower_keeps_its_promise_except_to_a_leader_that_restarted() {
    assert!(!votes_for(0), "no leader restarted");
    assert!(!votes_for(2), "the leader of term 3 may hold a lease");
    assert!(votes_for(3), "the lease of term 3 ended with the process");
}

#[test]
fn a_replica_that_restarts_keeps_the_promise_of_its_term() {
    let mut machine = Machine::new(5, 3, vec![blank(3, 1)], Limits::default());
    machine.receive(2, vote_after(2));
    assert_eq!(machine.sent, []);
    machine.receive(2, vote_after(3));
    assert_eq!(machine.sent.len(), 1);
}

#[test]
fn a_leader_that_restarts_campaigns_within_a_heartbeat() {
    let hard_state = |led: u64| HardState {
        term: Term::new(3),
        voted_for: Some(id(1)),
        led: Term::new(led),
    };
    let heartbeat = Timing::default().heartbeat;
    let mut restarted = Machine::restarted(5, hard_state(3), vec![blank(3, 1)]);
    restarted.pass(heartbeat);
    let asked = Message::PreVote {
        term: Term::new(4),
        last: position(3, 1),
        relinquished: Term::new(3),
    };
    assert!(restarted.sent.contains(&(id(5), asked)));

    let mut other = Machine::restarted(5, hard_state(2), vec![blank(3, 1)]);
    other.pass(heartbeat);
    assert_eq!(other.sent, []);
}

#[test]
fn a_leader_notes_on_disk_that_it_led() {
    let mut machine = Machine::new(3, 6, Vec::new(), Limits::default());
    machine.elect(&[2]);
    let last = machine.writes.iter().rev().find_map(|write| match write {
        Write::HardState(state) => Some(state.led),
        _ => None,
    });
    assert_eq!(last, Some(Term::new(7)));
}

#[test]
fn a_log_that_outweighs_its_snapshot_is_replaced_by_one() {
    let limits = Limits {
        replay_bytes: 1_000,
        ..Limits::default()
    };
    let mut machine = Machine::new(1, 0, Vec::new(), limits);
    machine.elect(&[]);
    let mut asked_after = Vec::new();
    for entry in 1..=40 {
        let command = Payload::from(vec![7; 100]);
        machine.replica.propose(machine.now, command).expect("led");
        machine.settle();
        if let Some(position) = machine.snapshot_wanted.take() {
            asked_after.push(entry);
            let state = Payload::from(vec![1; 700]);
            machine.replica.snapshot_taken(machine.now, position, state);
            machine.settle();
        }
    }
    // The first one after the floor of 1,000 bytes, later ones after two snapshots of 700.
    let command = Content::Command(Payload::from(vec![7; 100]));
    let size = Entry::new(position(1, 1), command).size();
    // The leader's own entries count too.
    assert!(
        (2..=1_000 / size + 1).contains(&asked_after[0]),
        "{asked_after:?}"
    );
    let gaps = asked_after.windows(2).map(|two| two[1] - two[0]);
    assert!(gaps.eq([1_400 / size + 1; 3]), "{asked_after:?}");
}
