//! The safety invariants, checked after each event.

use std::collections::{BTreeMap, BTreeSet};

use trefoillock_core::{LogIndex, ReplicaId, Term};
use trefoillock_replica::{
    AppendOutcome, Content, Entry, Message, Position, Replica, ReplicaIdentity, ReplicaRole,
    Snapshot, Write,
};

use super::disk::Disk;

/// The history of all replicas that the invariants are checked against.
#[derive(Debug, Clone, Default)]
pub(crate) struct Checks {
    leaders: BTreeMap<Term, ReplicaId>,
    votes: BTreeMap<(Term, ReplicaIdentity), ReplicaId>,
    /// Each entry ever written, with the position of the entry before it in the same write.
    written: BTreeMap<Position, (Entry, Option<Position>)>,
    /// Each committed entry with the term in which it was committed.
    committed: BTreeMap<LogIndex, (Entry, Term)>,
    checked_commits: BTreeMap<ReplicaIdentity, LogIndex>,
    applied_commands: BTreeSet<Vec<u8>>,
    proposals: BTreeMap<Vec<u8>, ProposalOutcome>,
}

/// The outcome that a proposer was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProposalOutcome {
    Refused,
    DidNotCommit,
    Committed,
}

impl Checks {
    pub(crate) fn max_commit(&self) -> LogIndex {
        self.committed
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default()
    }

    /// Checks a replica after an input.
    pub(crate) fn check_replica(&mut self, replica: &Replica) {
        let id = replica.identity().id;
        if replica.role() == ReplicaRole::Leader {
            let new = !self.leaders.contains_key(&replica.term());
            let leader = *self.leaders.entry(replica.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", replica.term());
            if new {
                self.check_leader_complete(replica);
            }
        }
        self.check_commits_agree(replica);
    }

    /// Checks that a new leader has each entry that was committed in an earlier term.
    fn check_leader_complete(&self, replica: &Replica) {
        let last = replica.last().index;
        for (index, (entry, term)) in &self.committed {
            if *term >= replica.term() {
                return;
            }
            assert!(
                *index <= last,
                "leader {} lacks {index}",
                replica.identity().id
            );
            if let Some(own) = replica.entry(*index) {
                assert_eq!(own, entry, "a new leader lost a committed entry");
            }
        }
    }

    /// Checks that newly committed entries are the same at all replicas.
    fn check_commits_agree(&mut self, replica: &Replica) {
        let commit = replica.commit();
        let checked = self.checked_commits.entry(replica.identity()).or_default();
        let mut index = *checked;
        *checked = commit.max(index);
        while index < commit {
            index = index.next();
            if let Some(entry) = replica.entry(index) {
                let new = || (entry.clone(), replica.term());
                let (first, _) = self.committed.entry(index).or_insert_with(new);
                assert_eq!(first, entry, "two entries committed at {index}");
            }
        }
    }

    /// Resets the checked commit index of a replica that restarted.
    pub(crate) fn reset_checked_commit(&mut self, identity: ReplicaIdentity) {
        self.checked_commits.remove(&identity);
    }

    /// Checks that entries with the same position are equal in all logs, and so are the positions
    /// before them.
    pub(crate) fn check_writes(&mut self, writes: &[Write]) {
        for write in writes {
            let entries = match write {
                Write::Entries(entries) => entries,
                Write::Snapshot {
                    snapshot, entries, ..
                } => {
                    self.check_snapshot_members(snapshot);
                    entries
                }
                Write::HardState(_) => continue,
            };
            let mut before = None;
            for entry in entries {
                let known = self
                    .written
                    .entry(entry.position)
                    .or_insert_with(|| (entry.clone(), before));
                assert_eq!(&known.0, entry, "two entries at {:?}", entry.position);
                match (known.1, before) {
                    (Some(a), Some(b)) => assert_eq!(a, b, "logs differ before a common entry"),
                    (None, Some(_)) => known.1 = before,
                    (_, None) => {}
                }
                before = Some(entry.position);
            }
        }
    }

    /// Checks that a snapshot contains the membership that was committed at its position.
    fn check_snapshot_members(&self, snapshot: &Snapshot) {
        let committed = self.committed.range(..=snapshot.position.index).rev();
        let mut members = committed.filter_map(|(_, (entry, _))| match &entry.content {
            Content::Members(members) => Some(members),
            Content::Blank | Content::Command(_) => None,
        });
        if let Some(members) = members.next() {
            assert_eq!(&snapshot.members, members, "a snapshot holds other members");
        }
    }

    /// Checks that a message reports only synced state, and that a vote is granted once per term.
    pub(crate) fn check_send(
        &mut self,
        from: ReplicaIdentity,
        to: ReplicaId,
        message: &Message,
        disk: &Disk,
    ) {
        match message {
            Message::VoteAnswer {
                term,
                granted: true,
            } => {
                let voted = *self.votes.entry((*term, from)).or_insert(to);
                assert_eq!(voted, to, "{from:?} voted twice in term {term}");
                let synced = disk.hard_state();
                let held = synced.term > *term || synced.voted_for == Some(to);
                assert!(
                    disk.term() >= *term && held,
                    "a vote was sent before it was synced"
                );
            }
            Message::Vote { term, .. } => {
                assert!(
                    disk.term() >= *term,
                    "a vote request was sent before its term was synced"
                );
            }
            Message::AppendAnswer {
                term,
                outcome: AppendOutcome::Accepted { matched },
                ..
            } => {
                assert!(
                    disk.term() >= *term,
                    "an answer was sent before its term was synced"
                );
                assert!(
                    disk.last() >= *matched,
                    "an answer was sent before its entries were synced"
                );
            }
            _ => {}
        }
    }

    /// Checks that an applied entry is committed, and that its proposer was not told otherwise.
    pub(crate) fn check_apply(&mut self, entry: &Entry) {
        let known = self.committed.get(&entry.index()).map(|(entry, _)| entry);
        assert_eq!(
            known,
            Some(entry),
            "an entry was applied that is not committed"
        );
        if let Content::Command(command) = &entry.content {
            let command = command.as_slice();
            self.applied_commands.insert(command.to_vec());
            let outcome = self.proposals.get(command);
            let must_not_apply = matches!(
                outcome,
                Some(ProposalOutcome::Refused | ProposalOutcome::DidNotCommit)
            );
            assert!(!must_not_apply, "{command:?} was applied after {outcome:?}");
        }
    }

    /// Records the outcome of a proposal, after checking that it is the only one and is true.
    pub(crate) fn record_outcome(&mut self, command: Vec<u8>, outcome: ProposalOutcome) {
        if outcome != ProposalOutcome::Committed {
            let applied = self.applied_commands.contains(&command);
            assert!(!applied, "{command:?} was applied before {outcome:?}");
        }
        let before = self.proposals.insert(command, outcome);
        assert_eq!(before, None, "a proposal was answered twice");
    }

    /// Checks that the committed log contains each command answered as committed once, and no
    /// command answered otherwise.
    pub(crate) fn check_outcomes(&self) {
        let mut found: BTreeMap<&[u8], usize> = BTreeMap::new();
        for (entry, _) in self.committed.values() {
            if let Content::Command(command) = &entry.content {
                *found.entry(command.as_slice()).or_default() += 1;
            }
        }
        for (command, outcome) in &self.proposals {
            let count = found.get(command.as_slice()).copied().unwrap_or(0);
            let expected = usize::from(*outcome == ProposalOutcome::Committed);
            assert_eq!(count, expected, "{command:?} after {outcome:?}");
        }
    }
}
