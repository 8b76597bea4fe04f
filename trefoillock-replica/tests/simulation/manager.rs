//! Automatic membership changes, decided at the leader of a simulation as the daemon does it.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::ReplicaId;
use trefoillock_replica::{
    JoinCandidate, MemberContact, Refusal, Replica, ReplicaRole, next_membership_change,
};

use super::{Simulation, address, disk::Disk};

/// The number of voters to keep.
const TARGET_VOTERS: usize = 5;

/// What each replica knows of the others for membership changes.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    /// When a replica last heard from another, in microseconds, by receiver and sender.
    heard: BTreeMap<(ReplicaId, ReplicaId), u64>,
    /// When a replica was told that another one stops, by receiver and sender.
    stops: BTreeMap<(ReplicaId, ReplicaId), u64>,
    /// Since when each leader leads.
    leading_since: BTreeMap<ReplicaId, u64>,
    /// The replicas that were told to discard their identity.
    discarded: Vec<ReplicaId>,
}

impl Contacts {
    pub(super) fn record(&mut self, now: u64, from: ReplicaId, to: ReplicaId) {
        self.heard.insert((to, from), now);
    }
}

impl Simulation {
    /// Executes the next membership change that is due at the leader, and answers the replicas that
    /// request to join.
    pub(super) fn manage_members(&mut self) {
        let leaders: Vec<ReplicaId> = self
            .ids()
            .into_iter()
            .filter(|id| {
                self.running(*id)
                    .is_some_and(|r| r.role() == ReplicaRole::Leader)
            })
            .collect();
        self.contacts
            .leading_since
            .retain(|id, _| leaders.contains(id));
        for leader in leaders {
            let now = self.now;
            self.contacts.leading_since.entry(leader).or_insert(now);
            self.change_members_if_due(leader);
        }
    }

    fn change_members_if_due(&mut self, leader: ReplicaId) {
        let Some(members) = self.running(leader).map(|r| r.membership().clone()) else {
            return;
        };
        let candidates = self.candidates(leader);
        for candidate in &candidates {
            let may_return = candidate
                .disk
                .is_some_and(|disk| members.may_readmit(candidate.id, disk));
            if members.is_removed(candidate.id) && !may_return {
                self.contacts.discarded.push(candidate.id);
            }
        }
        let contacts = &self.contacts;
        let leading_since = contacts.leading_since[&leader];
        let contact = |id: ReplicaId| {
            if id == leader {
                return MemberContact::default();
            }
            let heard = contacts.heard.get(&(leader, id)).copied();
            let since = heard.unwrap_or(0).max(leading_since);
            let stop = contacts.stops.get(&(leader, id)).copied();
            MemberContact {
                silence: Duration::from_micros(self.now - since),
                has_announced_stop: stop.is_some_and(|at| heard.unwrap_or(0) < at + 1_000_000),
            }
        };
        if let Some(due) = next_membership_change(&members, &candidates, contact, TARGET_VOTERS) {
            // A change that is refused is due again at the next check.
            let _ = self.input(leader, |replica, now| {
                replica.change_members(now, &due.change)
            });
        }
    }

    /// Returns the replicas whose requests to join reach a leader.
    fn candidates(&self, leader: ReplicaId) -> Vec<JoinCandidate> {
        let reaches = |id: ReplicaId| {
            !self.cut_links.contains(&(id, leader)) && !self.cut_links.contains(&(leader, id))
        };
        let nodes = self.nodes.values().filter(|node| reaches(node.identity.id));
        let asks = |replica: &&Replica| {
            replica.refused() == Some(Refusal::Removed)
                || !replica.membership().is_voter(replica.identity().id)
        };
        let replicas = nodes.filter_map(|node| node.replica.as_ref()).filter(asks);
        let candidate = |replica: &Replica| JoinCandidate {
            id: replica.identity().id,
            address: address(replica.identity().id),
            disk: Some(replica.identity().disk),
        };
        replicas.map(candidate).collect()
    }

    fn running(&self, id: ReplicaId) -> Option<&Replica> {
        let node = &self.nodes[&id];
        node.replica
            .as_ref()
            .filter(|_| node.paused_until <= self.now)
    }

    /// Tells the replicas that can be reached that one stops.
    pub(super) fn announce_stop(&mut self, id: ReplicaId) {
        for other in self.ids() {
            if !self.cut_links.contains(&(id, other)) {
                self.contacts.stops.insert((other, id), self.now);
            }
        }
    }

    /// Adds a replica with an empty disk at a new address, which requests to join.
    pub(super) fn add_replica(&mut self) -> ReplicaId {
        let id = ReplicaId::new(self.nodes.len() as u64 + 1);
        self.create(id, Disk::default());
        id
    }

    /// Checks that the voters are exactly the replicas that are not lost, and that none of those was
    /// told to discard its identity.
    pub(super) fn check_members(&self) {
        let discarded = &self.contacts.discarded;
        assert!(
            discarded.is_empty(),
            "{discarded:?} must discard their identity"
        );
        let leader = self.leader().expect("a leader");
        let members = self.running(leader).expect("a running leader").membership();
        let voters: Vec<ReplicaId> = members.voters().collect();
        let intact = self.nodes.values().filter(|node| !node.disk_lost);
        let intact: Vec<ReplicaId> = intact.map(|node| node.identity.id).collect();
        assert_eq!(voters, intact, "{}", self.describe());
    }
}
