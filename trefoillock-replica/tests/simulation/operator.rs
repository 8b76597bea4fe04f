//! Replacements of replicas as by an operator, and the final check of a simulation.

use std::time::Duration;

use rand::RngExt;
use trefoillock_core::{LogIndex, ReplicaId, Term};
use trefoillock_replica::{MemberRole, MembershipChange, Replica};

use super::{Simulation, address, disk::Disk};

/// The maximum time without faults until all replicas agree, in microseconds.
const CONVERGENCE_LIMIT: u64 = 60_000_000;

impl Simulation {
    /// Requests the next step of replacing a replica at the leader.
    pub(crate) fn operator_step(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let Some(replica) = &self.nodes[&leader].replica else {
            return;
        };
        let members = replica.membership().clone();
        let learner = members
            .members()
            .iter()
            .find(|(_, m)| m.role == MemberRole::Learner);
        let disk_lost = members.voters().find(|id| self.nodes[id].disk_lost);
        let voters = members.voters().count();
        let change = match (learner, disk_lost) {
            (Some((&id, _)), _) if self.nodes[&id].disk_lost => MembershipChange::Remove { id },
            (Some((&id, _)), _) => MembershipChange::Promote { id },
            (None, Some(id)) if voters > 3 => MembershipChange::Remove { id },
            (None, None) if voters > 3 => {
                let place = self.rng.random_range(0..voters);
                let id = members.voters().nth(place).expect("a voter");
                MembershipChange::Remove { id }
            }
            (None, _) if self.nodes.len() < 9 => {
                let id = ReplicaId::new(self.nodes.len() as u64 + 1);
                self.create(id, Disk::default());
                let address = address(id);
                MembershipChange::AddLearner { id, address }
            }
            (None, _) => return,
        };
        let _ = self.input(leader, |replica, now| replica.change_members(now, &change));
    }

    /// Ends all faults and checks that the replicas agree, commit new entries and lost none.
    pub(crate) fn heal_and_check(&mut self) {
        self.injection = None;
        self.lossy = false;
        self.cut_links.clear();
        for id in self.ids() {
            let node = self.simulated(id);
            node.paused_until = 0;
            node.fail_sync = false;
            node.disk_full_until = 0;
            self.restart(id);
        }
        self.check_convergence();
    }

    /// Checks that the replicas agree, commit new entries and lost none.
    pub(crate) fn check_convergence(&mut self) {
        let end = self.now + CONVERGENCE_LIMIT;
        let goal = self.commands + 3;
        while self.commands < goal || !self.agree() {
            assert!(
                self.now < end,
                "the replicas do not agree: {}",
                self.describe()
            );
            self.run(Duration::from_millis(500));
            if let Some(leader) = self.leader()
                && self.commands < goal
            {
                self.propose(leader);
                self.read(leader);
            }
        }
        self.checks.check_outcomes();
    }

    /// Returns whether all members have applied everything that is committed.
    pub(super) fn agree(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let leader = &self.nodes[&leader];
        let members = leader.replica.as_ref().map(Replica::membership);
        let members = members.expect("a running leader").members().keys();
        let mut nodes = members.map(|id| &self.nodes[id]).filter(|n| !n.disk_lost);
        // A proposal beyond the end of the log was dropped by a later leader. Its outcome stays
        // unknown.
        let last = leader.replica.as_ref().map(|r| r.last().index);
        let unknown = |(index, _): &(LogIndex, Term)| Some(*index) > last;
        leader.pending.keys().all(unknown)
            && last == Some(leader.applied)
            && leader.reads.is_empty()
            && leader.applied == self.checks.max_commit()
            && nodes.all(|n| n.applied == leader.applied && n.state == leader.state)
    }

    pub(super) fn describe(&self) -> String {
        let nodes = self.nodes.values().map(|node| {
            let replica = node.replica.as_ref();
            let seen = replica.map(|r| (r.role(), r.term(), r.last(), r.commit(), r.refused()));
            let members = replica.map(|r| r.membership().voters().collect::<Vec<_>>());
            let waits = (
                node.pending.len(),
                node.reads.len(),
                node.applied,
                node.state.len(),
            );
            let id = node.identity.id;
            format!(
                "{id}: lost {}, {seen:?} {members:?} {waits:?}",
                node.disk_lost
            )
        });
        nodes.collect::<Vec<_>>().join("\n")
    }
}
