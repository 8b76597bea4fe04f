//! Inputs to the replicas, and the execution of their effects.

use rand::RngExt;
use trefoillock_core::{ReplicaId, Term, Timestamp};
use trefoillock_replica::{Content, Effect, Entry, Message, Payload, Replica, ReplicaRole, Timing};

use super::{Simulation, State, checks::ProposalOutcome, faults::step_of};

impl Simulation {
    /// Passes an input to a replica and executes its effects, unless it is paused or down.
    pub(super) fn input<T>(
        &mut self,
        id: ReplicaId,
        f: impl FnOnce(&mut Replica, Timestamp) -> T,
    ) -> Option<T> {
        if self.nodes[&id].paused_until > self.now {
            return None;
        }
        let now = self.clock(id);
        self.simulated(id).last_reading = now;
        let output = f(self.simulated(id).replica.as_mut()?, now);
        self.execute_effects(id);
        self.check_lease_exclusive(id);
        Some(output)
    }

    /// Checks that no other replica holds a lease of an earlier term while a replica leads.
    pub(super) fn check_lease_exclusive(&self, id: ReplicaId) {
        let replica = self.nodes[&id].replica.as_ref();
        let Some(leader) = replica.filter(|r| r.role() == ReplicaRole::Leader) else {
            return;
        };
        for (&other, node) in &self.nodes {
            let Some(replica) = &node.replica else {
                continue;
            };
            // A replica whose clock jumped gives up its lease at its next input.
            let now = self.clock(other);
            let max_step = Timing::default().max_clock_step;
            let jumped = now < node.last_reading || now.since(node.last_reading) > max_step;
            let holds = replica.lease_until().is_some_and(|until| until > now);
            let earlier = replica.term() < leader.term();
            assert!(
                jumped || !earlier || !holds,
                "{id} leads while {other} holds a lease"
            );
        }
    }

    pub(super) fn execute_effects(&mut self, id: ReplicaId) {
        let identity = self.nodes[&id].identity;
        while let Some(replica) = self.simulated(id).replica.as_mut() {
            let effects = replica.take_effects();
            if let Some(replica) = &self.nodes[&id].replica {
                self.checks.check_replica(replica);
            }
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                let node = &self.nodes[&id];
                if node.replica.is_none() || node.identity != identity {
                    return;
                }
                self.execute_effect_with_faults(id, effect);
            }
        }
    }

    /// Executes an effect, with the injected fault before or after it.
    pub(super) fn execute_effect_with_faults(&mut self, id: ReplicaId, effect: Effect) {
        let step = step_of(&effect);
        let triggered = step.and_then(|step| self.triggered_injection(step));
        if let Some(injection) = triggered.filter(|injection| !injection.after) {
            let identity = self.nodes[&id].identity;
            self.inject(id, injection.fault);
            let node = &self.nodes[&id];
            if node.replica.is_none() || node.identity != identity {
                return;
            }
        }
        self.execute_effect(id, effect);
        if let Some(injection) = triggered.filter(|injection| injection.after) {
            self.inject(id, injection.fault);
        }
    }

    pub(super) fn execute_effect(&mut self, id: ReplicaId, effect: Effect) {
        match effect {
            Effect::Write { batch, writes } => {
                self.checks.check_writes(&writes);
                let is_slow = self.rng.random_range(0..50) == 0;
                let latency = self
                    .rng
                    .random_range(1_000..if is_slow { 600_000 } else { 30_000 });
                let due = self.now + latency;
                self.simulated(id).disk.write(batch, due, writes);
            }
            Effect::Send { to, message } => self.send(id, to, &message),
            Effect::Apply(entries) => entries.iter().for_each(|entry| self.apply(id, entry)),
            Effect::Restore(snapshot) => {
                let bytes = snapshot.data.as_slice();
                let state: State = rmp_serde::from_slice(bytes).expect("a state");
                let node = self.simulated(id);
                node.state = state;
                node.applied = snapshot.position.index;
                node.pending
                    .retain(|(index, _), _| *index > snapshot.position.index);
            }
            Effect::TakeSnapshot { position } => {
                let now = self.clock(id);
                let node = self.simulated(id);
                assert_eq!(node.applied, position.index);
                let data = rmp_serde::to_vec(&node.state).expect("bytes");
                if let Some(replica) = &mut node.replica {
                    replica.record_snapshot(now, position, Payload::from(data));
                }
            }
            Effect::ReadReady(read) => {
                let node = self.simulated(id);
                let required = node.reads.remove(&read).expect("an open read");
                assert!(
                    node.applied >= required,
                    "a read does not include index {required}"
                );
            }
            Effect::ReadFailed(read) => {
                self.simulated(id)
                    .reads
                    .remove(&read)
                    .expect("an open read");
            }
            Effect::Halt { reason } => panic!("{reason}"),
        }
    }

    pub(super) fn send(&mut self, id: ReplicaId, to: ReplicaId, message: &Message) {
        let node = &self.nodes[&id];
        let from = node.identity;
        self.checks.check_send(from, to, message, &node.disk);
        if !self.nodes.contains_key(&to) {
            return;
        }
        let copies = match self.rng.random_range(0..100) {
            0..8 if self.lossy => 0,
            8..14 if self.lossy => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let is_late = self.lossy && self.rng.random_range(0..30) == 0;
            let delay = self
                .rng
                .random_range(1_000..if is_late { 3_000_000 } else { 40_000 });
            self.sequence += 1;
            let key = (self.now + delay, self.sequence);
            self.network.insert(key, (from, to, message.clone()));
        }
    }

    pub(super) fn apply(&mut self, id: ReplicaId, entry: &Entry) {
        self.checks.check_apply(entry);
        let node = self.nodes.get_mut(&id).expect("a node");
        assert!(
            node.disk.contains(entry),
            "an entry was applied before it was synced"
        );
        assert_eq!(
            entry.index(),
            node.applied.next(),
            "a gap in applied entries"
        );
        node.applied = entry.index();
        if let Content::Command(command) = &entry.content {
            let command = command.as_slice().to_vec();
            node.state.push((entry.index(), command));
        }
        let index = entry.index();
        let waiting = node
            .pending
            .extract_if(..=(index, Term::new(u64::MAX)), |_, _| true);
        for ((at, term), command) in waiting {
            assert_eq!(at, index);
            let outcome = if term == entry.position.term {
                ProposalOutcome::Committed
            } else {
                ProposalOutcome::DidNotCommit
            };
            self.checks.record_outcome(command, outcome);
        }
    }
}
