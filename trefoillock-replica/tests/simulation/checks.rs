//! The invariants, checked after each event.

use std::collections::{BTreeMap, BTreeSet};

use trefoillock_core::{LogIndex, ReplicaId, Term};
use trefoillock_replica::{
    AppendOutcome, Content, Entry, Message, Position, Replica, RoleKind, Sender, Snapshot, Write,
};

use super::disk::Disk;

/// What is known about all replicas together.
#[derive(Debug, Clone, Default)]
pub(crate) struct Checks {
    leaders: BTreeMap<Term, ReplicaId>,
    votes: BTreeMap<(Term, Sender), ReplicaId>,
    /// Each entry ever written, with the position before it within one batch.
    written: BTreeMap<Position, (Entry, Option<Position>)>,
    /// Each committed entry with the term in which it was committed.
    committed: BTreeMap<LogIndex, (Entry, Term)>,
    checked_commits: BTreeMap<Sender, LogIndex>,
    applied_commands: BTreeSet<Vec<u8>>,
    proposals: BTreeMap<Vec<u8>, Fate>,
}

/// What a proposer was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
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

    /// Checks a replica after it took an input in.
    pub(crate) fn replica(&mut self, replica: &Replica) {
        let id = replica.identity().id;
        if replica.role() == RoleKind::Leader {
            let new = !self.leaders.contains_key(&replica.term());
            let leader = *self.leaders.entry(replica.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", replica.term());
            if new {
                self.leader_is_complete(replica);
            }
        }
        self.commits_agree(replica);
    }

    /// A new leader holds each entry that was committed in an earlier term.
    fn leader_is_complete(&self, replica: &Replica) {
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

    /// Newly committed entries are the same everywhere.
    fn commits_agree(&mut self, replica: &Replica) {
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

    pub(crate) fn forget_restart(&mut self, identity: Sender) {
        self.checked_commits.remove(&identity);
    }

    /// Entries with one position are equal in all logs, and so are those before them.
    pub(crate) fn writes(&mut self, writes: &[Write]) {
        for write in writes {
            let entries = match write {
                Write::Entries(entries) => entries,
                Write::Snapshot {
                    snapshot, entries, ..
                } => {
                    self.snapshot_members(snapshot);
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

    /// A snapshot holds the membership that was committed at its position.
    fn snapshot_members(&self, snapshot: &Snapshot) {
        let committed = self.committed.range(..=snapshot.position.index).rev();
        let mut members = committed.filter_map(|(_, (entry, _))| match &entry.content {
            Content::Members(members) => Some(members),
            Content::Blank | Content::Command(_) => None,
        });
        if let Some(members) = members.next() {
            assert_eq!(&snapshot.members, members, "a snapshot holds other members");
        }
    }

    /// A message promises only what is synced, and a vote is given once.
    pub(crate) fn send(&mut self, from: Sender, to: ReplicaId, message: &Message, disk: &Disk) {
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
                    "a vote left before it was synced"
                );
            }
            Message::Vote { term, .. } => {
                assert!(
                    disk.term() >= *term,
                    "a candidacy left before it was synced"
                );
            }
            Message::AppendAnswer {
                term,
                outcome: AppendOutcome::Accepted { matched },
                ..
            } => {
                assert!(
                    disk.term() >= *term,
                    "an answer left before its term was synced"
                );
                assert!(
                    disk.last() >= *matched,
                    "an answer left before entries were synced"
                );
            }
            _ => {}
        }
    }

    /// Each replica applies the committed entries, each command once.
    pub(crate) fn apply(&mut self, entry: &Entry) {
        let known = self.committed.get(&entry.index()).map(|(entry, _)| entry);
        assert_eq!(
            known,
            Some(entry),
            "an entry was applied that is not committed"
        );
        if let Content::Command(command) = &entry.content {
            let command = command.as_slice();
            self.applied_commands.insert(command.to_vec());
            let fate = self.proposals.get(command);
            let lost = matches!(fate, Some(Fate::Refused | Fate::DidNotCommit));
            assert!(!lost, "{command:?} was applied after {fate:?}");
        }
    }

    pub(crate) fn answer(&mut self, command: Vec<u8>, fate: Fate) {
        if fate != Fate::Committed {
            let applied = self.applied_commands.contains(&command);
            assert!(!applied, "{command:?} was applied before {fate:?}");
        }
        let before = self.proposals.insert(command, fate);
        assert_eq!(before, None, "a proposal was answered twice");
    }

    /// Each command that was answered as committed stands once in the committed log.
    pub(crate) fn nothing_lost(&self) {
        let mut found: BTreeMap<&[u8], usize> = BTreeMap::new();
        for (entry, _) in self.committed.values() {
            if let Content::Command(command) = &entry.content {
                *found.entry(command.as_slice()).or_default() += 1;
            }
        }
        for (command, fate) in &self.proposals {
            let count = found.get(command.as_slice()).copied().unwrap_or(0);
            let wanted = usize::from(*fate == Fate::Committed);
            assert_eq!(count, wanted, "{command:?} after {fate:?}");
        }
    }
}
