//! Pre-votes, votes, leadership and what a replica whose disk hangs does.

use std::time::Duration;

use trefoillock_core::{LogIndex, Term};
use trefoillock_replica::{
    Append, Content, Entry, HardState, Limits, Membership, Message, Payload, Position, ReplicaRole,
    Timing, Write,
};

use crate::harness::{Harness, address, blank, id, position};

/// The time after which a leader that holds up the others because of its disk has stepped down.
const DISK_STALL_LIMIT: Duration = Duration::from_millis(1_500);

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

fn append(term: u64, previous: Position, entries: Vec<Entry>) -> Message {
    Message::Append(Append {
        term: Term::new(term),
        round: 1,
        previous,
        entries,
        commit: LogIndex::ZERO,
    })
}

/// Between the pre-vote and the vote, the voter has acknowledged an entry that the candidate lacks.
/// The lease of the leader that sent it has ended, so only the comparison of the logs protects the
/// entry.
#[test]
fn a_vote_is_refused_if_the_log_has_grown_since_the_pre_vote() {
    let mut harness = Harness::new(5, 3, vec![blank(3, 1)], Limits::default());
    let Timing {
        election_min,
        heartbeat,
        ..
    } = Timing::default();
    harness.advance(election_min);
    let pre_vote = Message::PreVote {
        term: Term::new(4),
        last: position(3, 1),
        relinquished: Term::ZERO,
    };
    harness.receive(2, pre_vote);
    let pre_vote_granted = Message::PreVoteAnswer {
        term: Term::new(4),
        granted: true,
    };
    assert!(harness.sent.contains(&(id(2), pre_vote_granted)));
    harness.receive(3, append(3, position(3, 1), vec![blank(3, 2)]));
    assert_eq!(harness.replica.last(), position(3, 2));
    harness.advance(election_min + heartbeat / 4);
    harness.sent.clear();
    harness.receive(2, vote_request(0));
    let answers = harness
        .sent
        .iter()
        .filter_map(|(to, message)| match message {
            Message::VoteAnswer { granted, .. } => Some((to.get(), *granted)),
            _ => None,
        });
    assert_eq!(answers.collect::<Vec<_>>(), [(2, false)]);
    // A candidate that has the entry gets the vote.
    let complete = Message::Vote {
        term: Term::new(4),
        last: position(3, 2),
        relinquished: Term::ZERO,
    };
    harness.receive(5, complete);
    let granted = Message::VoteAnswer {
        term: Term::new(4),
        granted: true,
    };
    assert!(harness.sent.contains(&(id(5), granted)));
}

/// A sole voter sends entries to learners as soon as it leads. If its vote were lost with its power,
/// it could lead the same term again with other entries.
#[test]
fn a_sole_voter_leads_only_after_its_own_vote_is_synced() {
    let mut harness = Harness::new(1, 3, vec![blank(3, 1)], Limits::default());
    harness.sync = false;
    let higher_term = Message::VoteAnswer {
        term: Term::new(7),
        granted: false,
    };
    harness.receive(9, higher_term);
    let earlier = harness.unsynced.take().expect("a batch with the new term");
    for _ in 0..200 {
        if harness.unsynced.is_some() {
            break;
        }
        harness.advance(Duration::from_millis(10));
    }
    let vote = harness.unsynced.expect("a batch with the vote");
    harness.replica.report_synced(harness.now, earlier);
    harness.execute_effects();
    assert_eq!(harness.replica.role(), ReplicaRole::Candidate);
    harness.replica.report_synced(harness.now, vote);
    assert_eq!(harness.replica.role(), ReplicaRole::Leader);
    assert_eq!(harness.replica.term(), Term::new(8));
}

#[test]
fn a_replica_whose_disk_hangs_asks_for_no_votes() {
    let mut harness = Harness::new(3, 3, vec![blank(3, 1)], Limits::default());
    harness.sync = false;
    harness.receive(2, append(3, position(3, 1), vec![blank(3, 2)]));
    harness.advance(Timing::default().election_max);
    harness.sent.clear();
    harness.advance(Duration::from_secs(5));
    assert_eq!(harness.sent, [], "it campaigns with a hanging disk");
    harness.sync = true;
    harness.execute_effects();
    harness.advance(Timing::default().election_max);
    let asks = |message: &Message| matches!(message, Message::PreVote { .. });
    assert!(harness.sent.iter().any(|(_, message)| asks(message)));
}
