//! A single [`Replica`], driven input by input.

use std::{net::SocketAddr, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{LogIndex, ReplicaId, Term, Timestamp};
use trefoillock_replica::{
    Append, AppendOutcome, BatchId, ChangeError, Content, DiskId, Effect, Entry, HardState, Limits,
    Membership, MembershipChange, Message, Payload, Position, ProposeRefusal, ReadId,
    RecoveredState, Refusal, Replica, ReplicaIdentity, ReplicaRole, Snapshot, Timing, Write,
};

const START: Timestamp = Timestamp::from_secs(1_000);
/// The time after which a leader that holds up the others because of its disk has stepped down.
const DISK_STALL_LIMIT: Duration = Duration::from_millis(1_500);

fn id(number: u64) -> ReplicaId {
    ReplicaId::new(number)
}

fn sender(number: u64) -> ReplicaIdentity {
    ReplicaIdentity {
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

/// A replica with its recorded effects. Its writes are synced immediately while `sync` is set.
struct Harness {
    replica: Replica,
    now: Timestamp,
    sent: Vec<(ReplicaId, Message)>,
    writes: Vec<Write>,
    unsynced: Option<BatchId>,
    snapshot_wanted: Option<Position>,
    sync: bool,
    reads: Vec<Effect>,
}

impl Harness {
    /// Creates replica 1 of a number of voters, with a log.
    fn new(voters: u64, term: u64, entries: Vec<Entry>, limits: Limits) -> Self {
        let hard_state = HardState {
            term: Term::new(term),
            ..HardState::default()
        };
        Self::with(voters, hard_state, entries, limits)
    }

    /// Creates replica 1 as after a restart.
    fn restarted(voters: u64, hard_state: HardState, entries: Vec<Entry>) -> Self {
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

    fn execute_effects(&mut self) {
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

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(20);
            self.replica.tick(self.now);
            self.execute_effects();
        }
    }

    fn receive(&mut self, from: u64, message: Message) {
        self.replica.receive(self.now, sender(from), message);
        self.execute_effects();
    }

    fn elect(&mut self, voters: &[u64]) {
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
fn an_entry_of_an_earlier_term_does_not_commit_by_counting_replicas() {
    let log = vec![blank(1, 1), blank(2, 2)];
    let mut harness = Harness::new(5, 3, log, Limits::default());
    harness.elect(&[2, 3]);
    assert_eq!(harness.replica.last(), position(4, 3));
    harness.accept(2, 2);
    harness.accept(3, 2);
    assert_eq!(harness.replica.commit(), LogIndex::ZERO);
    harness.accept(2, 3);
    harness.accept(3, 3);
    assert_eq!(harness.replica.commit(), LogIndex::new(3));
}

#[test]
fn a_vote_is_sent_only_after_its_sync_and_granted_once() {
    let mut harness = Harness::new(3, 0, Vec::new(), Limits::default());
    harness.sync = false;
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
    harness.receive(from, message);
    assert_eq!(harness.sent, []);
    let state = HardState {
        term: Term::new(1),
        voted_for: Some(id(2)),
        ..HardState::default()
    };
    assert_eq!(harness.writes, [Write::HardState(state)]);
    harness.sync = true;
    harness.execute_effects();
    let (from, message) = vote(3);
    harness.receive(from, message);
    let answers = harness
        .sent
        .iter()
        .filter_map(|(to, message)| match message {
            Message::VoteAnswer { granted, .. } => Some((to.get(), *granted)),
            _ => None,
        });
    assert_eq!(answers.collect::<Vec<_>>(), [(2, true), (3, false)]);
}

#[test]
fn a_vote_in_an_already_known_term_is_persisted() {
    let mut harness = Harness::new(3, 0, Vec::new(), Limits::default());
    harness.receive(
        3,
        Message::VoteAnswer {
            term: Term::new(7),
            granted: false,
        },
    );
    harness.receive(
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
    assert_eq!(harness.writes.last(), Some(&Write::HardState(state)));
}

#[test]
fn an_isolated_leader_refuses_proposals_and_reads() {
    let mut harness = Harness::new(3, 0, Vec::new(), Limits::default());
    harness.elect(&[2]);
    harness.accept(2, 1);
    assert!(harness.replica.lease_until().is_some());
    harness.replica.read(harness.now, ReadId::new(1));
    harness.execute_effects();
    assert_eq!(harness.reads, [Effect::ReadReady(ReadId::new(1))]);
    // The lease has expired, but the leader has not stepped down yet.
    let Timing {
        lease,
        election_min,
        ..
    } = Timing::default();
    let rest = election_min.saturating_sub(lease);
    harness.advance(lease + rest / 2);
    assert_eq!(harness.replica.role(), ReplicaRole::Leader);
    assert_eq!(harness.replica.lease_until(), None);
    let refused = harness.replica.propose(harness.now, Payload::default());
    assert_eq!(refused, Err(ProposeRefusal::NotLeader));
    harness.replica.read(harness.now, ReadId::new(2));
    harness.execute_effects();
    assert_eq!(harness.reads.len(), 1);
    harness.advance(rest);
    assert_ne!(harness.replica.role(), ReplicaRole::Leader);
    assert_eq!(harness.reads[1..], [Effect::ReadFailed(ReadId::new(2))]);
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
    let mut harness = Harness::new(3, 0, Vec::new(), limits);
    harness.elect(&[2]);
    for _ in 0..3 {
        let matched = harness.replica.last().index.get();
        harness.accept(2, matched);
    }
    let large = Payload::from(vec![0; 1_001]);
    let refused = harness.replica.propose(harness.now, large);
    assert_eq!(refused, Err(ProposeRefusal::TooLarge));
    harness.sent.clear();
    let mut accepted = 0;
    while harness
        .replica
        .propose(harness.now, Payload::from(vec![0; 900]))
        .is_ok()
    {
        accepted += 1;
        harness.execute_effects();
    }
    assert!((15..=21).contains(&accepted), "{accepted}");
    let to_second = harness.sent.iter().filter(|(to, message)| {
        let entries = matches!(message, Message::Append(append) if !append.entries.is_empty());
        *to == id(2) && entries
    });
    assert_eq!(to_second.count(), 3);
}

#[test]
fn a_message_with_gaps_or_wrong_terms_is_dropped() {
    let mut harness = Harness::new(3, 1, vec![blank(1, 1)], Limits::default());
    let bad = [
        vec![blank(1, 3)],
        vec![blank(1, 2), blank(1, 4)],
        vec![blank(9, 2)],
        vec![blank(2, 2), blank(1, 3)],
    ];
    for entries in bad {
        harness.receive(
            2,
            Message::Append(Append {
                term: Term::new(2),
                round: 1,
                previous: position(1, 1),
                entries,
                commit: LogIndex::new(u64::MAX),
            }),
        );
        assert_eq!(harness.replica.last(), position(1, 1));
    }
}

#[test]
fn a_conflict_with_a_committed_entry_halts_the_replica() {
    let mut harness = Harness::new(3, 1, vec![blank(1, 1)], Limits::default());
    let append = |term: u64, entry: Entry| {
        Message::Append(Append {
            term: Term::new(term),
            round: 1,
            previous: Position::default(),
            entries: vec![entry],
            commit: LogIndex::new(1),
        })
    };
    harness.receive(2, append(1, blank(1, 1)));
    assert_eq!(harness.replica.commit(), LogIndex::new(1));
    harness
        .replica
        .receive(harness.now, sender(3), append(3, blank(3, 1)));
    let halted = harness.replica.take_effects();
    assert!(halted.iter().any(|e| matches!(e, Effect::Halt { .. })));
    assert_eq!(harness.replica.last(), position(1, 1));
}

#[test]
fn members_change_one_at_a_time_and_identities_are_used_once() {
    let mut harness = Harness::new(3, 0, Vec::new(), Limits::default());
    harness.elect(&[2]);
    let add = MembershipChange::AddLearner {
        id: id(4),
        address: address(4),
    };
    let early = harness.replica.change_members(harness.now, &add);
    assert_eq!(early, Err(ChangeError::InProgress));
    let last = |harness: &Harness| harness.replica.last().index.get();
    for _ in 0..3 {
        let matched = last(&harness);
        harness.accept(2, matched);
        harness.accept(3, matched);
    }
    harness
        .replica
        .change_members(harness.now, &add)
        .expect("added");
    let promote = MembershipChange::Promote { id: id(4) };
    let second = harness.replica.change_members(harness.now, &promote);
    assert_eq!(second, Err(ChangeError::InProgress));
    harness.execute_effects();
    let matched = last(&harness);
    harness.accept(2, matched);
    let lagging = harness.replica.change_members(harness.now, &promote);
    assert_eq!(lagging, Err(ChangeError::NotCaughtUp(id(4))));
    let remove = MembershipChange::Remove { id: id(3) };
    harness
        .replica
        .change_members(harness.now, &remove)
        .expect("removed");
    harness.execute_effects();
    let matched = last(&harness);
    harness.accept(2, matched);
    let again = MembershipChange::AddLearner {
        id: id(3),
        address: address(3),
    };
    let again = harness.replica.change_members(harness.now, &again);
    assert_eq!(again, Err(ChangeError::IdentityUsed(id(3))));
    // The removed replica is told so, and its vote request has no effect.
    let term = harness.replica.term();
    harness.sent.clear();
    harness.receive(
        3,
        Message::Vote {
            term: Term::new(99),
            last: position(99, 99),
            relinquished: Term::ZERO,
        },
    );
    let told = (id(3), Message::Refused(Refusal::Removed));
    assert_eq!(harness.sent, [told]);
    assert_eq!(harness.replica.term(), term);
}

#[test]
fn a_replica_whose_removal_has_not_committed_can_still_lead() {
    let others: Vec<_> = (2..=4).map(|n| (id(n), address(n))).collect();
    let removal = Content::Members(Membership::of_voters(&others));
    let log = vec![blank(1, 1), Entry::new(position(1, 2), removal)];
    let mut harness = Harness::new(4, 1, log, Limits::default());
    // One granted pre-vote is no quorum of three, since its own vote does not count.
    harness.advance(Duration::from_millis(2_100));
    assert_eq!(harness.replica.role(), ReplicaRole::Candidate);
    let next = harness.replica.term().next();
    let granted = |term| Message::PreVoteAnswer {
        term,
        granted: true,
    };
    harness.receive(2, granted(next));
    assert_eq!(harness.replica.term(), Term::new(1));
    harness.elect(&[2, 3]);
    harness.accept(2, 3);
    assert_eq!(harness.replica.commit(), LogIndex::ZERO);
    harness.accept(3, 3);
    assert_eq!(harness.replica.commit(), LogIndex::new(3));
    assert_eq!(harness.replica.role(), ReplicaRole::Learner);
}

#[test]
fn a_learner_drops_a_silent_leader_and_does_not_campaign() {
    let mut harness = Harness::new(0, 1, Vec::new(), Limits::default());
    harness.receive(
        2,
        Message::Append(Append {
            term: Term::new(1),
            round: 1,
            previous: Position::default(),
            entries: Vec::new(),
            commit: LogIndex::ZERO,
        }),
    );
    assert_eq!(harness.replica.leader(), Some(id(2)));
    harness.advance(Duration::from_millis(2_100));
    assert_eq!(harness.replica.leader(), None);
    assert_eq!(harness.replica.role(), ReplicaRole::Learner);
    assert_eq!(harness.replica.term(), Term::new(1));
}

/// The request of replica 2 for a vote in term 4, after it led term `relinquished` and restarted.
fn vote_request(relinquished: u64) -> Message {
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

/// Returns whether a follower that just heard from the leader of term 3 votes for a candidate.
fn grants_vote(relinquished: u64) -> bool {
    let mut harness = Harness::new(5, 3, vec![blank(3, 1)], Limits::default());
    harness.receive(3, heartbeat(3));
    harness.sent.clear();
    harness.receive(2, vote_request(relinquished));
    let granted = Message::VoteAnswer {
        term: Term::new(4),
        granted: true,
    };
    harness.sent.contains(&(id(2), granted))
}

#[test]
fn a_follower_withholds_its_vote_except_from_a_restarted_leader() {
    assert!(!grants_vote(0), "no leader restarted");
    assert!(!grants_vote(2), "the leader of term 3 may hold a lease");
    assert!(grants_vote(3), "the lease of term 3 ended with the process");
}

#[test]
fn a_restarted_replica_withholds_its_vote_except_from_the_restarted_leader() {
    let mut harness = Harness::new(5, 3, vec![blank(3, 1)], Limits::default());
    harness.receive(2, vote_request(2));
    assert_eq!(harness.sent, []);
    harness.receive(2, vote_request(3));
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn a_leader_that_restarts_campaigns_within_a_heartbeat() {
    let hard_state = |led: u64| HardState {
        term: Term::new(3),
        voted_for: Some(id(1)),
        led: Term::new(led),
    };
    let heartbeat = Timing::default().heartbeat;
    let mut restarted = Harness::restarted(5, hard_state(3), vec![blank(3, 1)]);
    restarted.advance(heartbeat);
    let asked = Message::PreVote {
        term: Term::new(4),
        last: position(3, 1),
        relinquished: Term::new(3),
    };
    assert!(restarted.sent.contains(&(id(5), asked)));

    let mut other = Harness::restarted(5, hard_state(2), vec![blank(3, 1)]);
    other.advance(heartbeat);
    assert_eq!(other.sent, []);
}

#[test]
fn a_leader_persists_the_term_that_it_leads() {
    let mut harness = Harness::new(3, 6, Vec::new(), Limits::default());
    harness.elect(&[2]);
    let last = harness.writes.iter().rev().find_map(|write| match write {
        Write::HardState(state) => Some(state.led),
        _ => None,
    });
    assert_eq!(last, Some(Term::new(7)));
}

#[test]
fn a_snapshot_is_taken_when_the_log_outgrows_the_last_one() {
    let limits = Limits {
        replay_bytes: 1_000,
        ..Limits::default()
    };
    let mut harness = Harness::new(1, 0, Vec::new(), limits);
    harness.elect(&[]);
    let mut asked_after = Vec::new();
    for entry in 1..=40 {
        let command = Payload::from(vec![7; 100]);
        harness.replica.propose(harness.now, command).expect("led");
        harness.execute_effects();
        if let Some(position) = harness.snapshot_wanted.take() {
            asked_after.push(entry);
            let state = Payload::from(vec![1; 700]);
            harness
                .replica
                .record_snapshot(harness.now, position, state);
            harness.execute_effects();
        }
    }
    // The first snapshot is due after the minimum of 1,000 bytes, later ones after twice the 700
    // bytes of a snapshot.
    let command = Content::Command(Payload::from(vec![7; 100]));
    let size = Entry::new(position(1, 1), command).size();
    // The blank entry of the leader counts too.
    assert!(
        (2..=1_000 / size + 1).contains(&asked_after[0]),
        "{asked_after:?}"
    );
    let gaps = asked_after.windows(2).map(|two| two[1] - two[0]);
    assert!(gaps.eq([1_400 / size + 1; 3]), "{asked_after:?}");
}

#[test]
fn a_leader_whose_disk_hangs_gives_way_to_replicas_that_can_apply() {
    let mut harness = Harness::new(3, 0, Vec::new(), Limits::default());
    harness.elect(&[2, 3]);
    harness.accept(2, 1);
    harness.accept(3, 1);
    harness.sync = false;
    let command = Payload::from(b"change".as_slice());
    let proposed = harness.replica.propose(harness.now, command);
    let index = proposed.expect("a leader").index;
    harness.execute_effects();
    let end = harness.now + DISK_STALL_LIMIT;
    while harness.now < end && harness.replica.role() == ReplicaRole::Leader {
        harness.accept(2, index.get());
        harness.accept(3, index.get());
        harness.advance(Duration::from_millis(20));
    }
    assert_eq!(harness.replica.commit(), index);
    assert!(harness.replica.applied() < index);
    assert_eq!(harness.replica.role(), ReplicaRole::Follower);
    let term = harness.replica.term();
    harness.advance(Duration::from_secs(5));
    assert_eq!(
        harness.replica.term(),
        term,
        "it campaigns with a hanging disk"
    );
    harness.sync = true;
    harness.execute_effects();
    assert_eq!(harness.replica.applied(), index);
}

#[test]
fn a_leader_whose_disk_hangs_keeps_leading_while_no_other_replica_can_apply() {
    let mut harness = Harness::new(3, 0, Vec::new(), Limits::default());
    harness.elect(&[2, 3]);
    harness.accept(2, 1);
    harness.accept(3, 1);
    harness.sync = false;
    let command = Payload::from(b"change".as_slice());
    harness
        .replica
        .propose(harness.now, command)
        .expect("a leader");
    harness.execute_effects();
    let end = harness.now + Duration::from_secs(5);
    while harness.now < end {
        harness.accept(2, 1);
        harness.accept(3, 1);
        harness.advance(Duration::from_millis(20));
    }
    assert_eq!(harness.replica.role(), ReplicaRole::Leader);
    assert!(harness.replica.lease_until().is_some());
}
