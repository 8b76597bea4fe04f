//! A single [`Replica`](trefoillock_replica::Replica), driven input by input.

mod elections;
mod harness;

use harness::{Harness, address, blank, id, position, sender};
use trefoillock_core::{LogIndex, Term};
use trefoillock_replica::{
    Append, ChangeError, Content, Effect, Entry, Limits, MembershipChange, Message, Payload,
    Position, ProposeRefusal, ReadId, Refusal, ReplicaRole, Timing,
};

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
