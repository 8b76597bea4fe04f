//! Exhaustive exploration of all orders of a few events among three replicas, with the invariants
//! checked after each event.
//!
//! An event delivers a message, syncs a disk, advances the clock of a replica, restarts a replica
//! after a crash, or proposes a command. A message that is never delivered is lost.

#[path = "simulation/checks.rs"]
#[expect(dead_code, reason = "some checks are used only by the fault matrix")]
mod checks;
#[path = "simulation/disk.rs"]
#[expect(
    dead_code,
    reason = "some disk functions are used only by the fault matrix"
)]
mod disk;

use std::{
    collections::{BTreeMap, hash_map::RandomState},
    hash::BuildHasher,
    net::SocketAddr,
    time::Duration,
};

use checks::Checks;
use disk::Disk;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{ReplicaId, Set, Timestamp};
use trefoillock_replica::{
    DiskId, Effect, Limits, Membership, Message, Payload, Replica, ReplicaIdentity, ReplicaRole,
    Timing,
};

/// The number of events in each order.
const DEPTH: usize = 6;
/// The time by which an event advances a clock, longer than any election timeout.
const CLOCK_ADVANCE: Duration = Duration::from_millis(2_100);
const START: Timestamp = Timestamp::from_secs(1_000);

#[derive(Debug, Clone, Copy)]
enum Event {
    Deliver(usize),
    Sync(ReplicaId),
    AdvanceClock(ReplicaId),
    Restart(ReplicaId),
    Propose(ReplicaId),
}

/// A replica with its disk and clock.
#[derive(Debug, Clone)]
struct SimulatedReplica {
    identity: ReplicaIdentity,
    replica: Replica,
    disk: Disk,
    now: Timestamp,
}

/// The replicas, the messages in flight, and how many events of the limited kinds are left.
#[derive(Debug, Clone)]
struct Cluster {
    nodes: BTreeMap<ReplicaId, SimulatedReplica>,
    network: Vec<(ReplicaIdentity, ReplicaId, Message)>,
    checks: Checks,
    restarts_left: usize,
    clock_advances_left: usize,
    proposals_left: usize,
}

impl Cluster {
    fn new() -> Self {
        let ids = (1..=3).map(ReplicaId::new);
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let members: Vec<_> = ids.map(|id| (id, address)).collect();
        let members = Membership::of_voters(&members);
        let nodes = members.voters().map(|id| {
            let identity = ReplicaIdentity {
                id,
                disk: DiskId::new(id.get()),
            };
            let mut disk = Disk::new(members.clone());
            let replica = start(identity, &mut disk, START);
            let now = START;
            let node = SimulatedReplica {
                identity,
                replica,
                disk,
                now,
            };
            (id, node)
        });
        Self {
            nodes: nodes.collect(),
            network: Vec::new(),
            checks: Checks::default(),
            restarts_left: 1,
            clock_advances_left: 2,
            proposals_left: 1,
        }
    }

    fn events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = (0..self.network.len()).map(Event::Deliver).collect();
        for (&id, node) in &self.nodes {
            if node.disk.has_unsynced() {
                events.push(Event::Sync(id));
            }
            if self.clock_advances_left > 0 {
                events.push(Event::AdvanceClock(id));
            }
            if self.restarts_left > 0 {
                events.push(Event::Restart(id));
            }
            if self.proposals_left > 0 && node.replica.role() == ReplicaRole::Leader {
                events.push(Event::Propose(id));
            }
        }
        events
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Deliver(message_index) => {
                let (from, to, message) = self.network.remove(message_index);
                let node = self.simulated(to);
                node.replica.receive(node.now, from, message);
                self.execute_effects(to);
            }
            Event::Sync(id) => {
                let node = self.simulated(id);
                if let Some(batch) = node.disk.sync(u64::MAX) {
                    node.replica.report_synced(node.now, batch);
                }
                self.execute_effects(id);
            }
            Event::AdvanceClock(id) => {
                self.clock_advances_left -= 1;
                let end = self.simulated(id).now + CLOCK_ADVANCE;
                while self.simulated(id).now < end {
                    let node = self.simulated(id);
                    node.now = node.now + Duration::from_millis(150);
                    node.replica.tick(node.now);
                    self.execute_effects(id);
                }
            }
            Event::Restart(id) => {
                self.restarts_left -= 1;
                let node = self.simulated(id);
                node.disk.lose_unsynced();
                node.replica = start(node.identity, &mut node.disk, node.now);
                let identity = node.identity;
                self.checks.reset_checked_commit(identity);
                self.execute_effects(id);
            }
            Event::Propose(id) => {
                self.proposals_left -= 1;
                let node = self.simulated(id);
                let _ = node
                    .replica
                    .propose(node.now, Payload::from(b"x".as_slice()));
                self.execute_effects(id);
            }
        }
    }

    fn simulated(&mut self, id: ReplicaId) -> &mut SimulatedReplica {
        self.nodes.get_mut(&id).expect("a node")
    }

    fn execute_effects(&mut self, id: ReplicaId) {
        loop {
            let node = self.nodes.get_mut(&id).expect("a node");
            let effects = node.replica.take_effects();
            self.checks.check_replica(&node.replica);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Write { batch, writes } => {
                        self.checks.check_writes(&writes);
                        node.disk.write(batch, 0, writes);
                    }
                    Effect::Send { to, message } => {
                        let from = node.identity;
                        self.checks.check_send(from, to, &message, &node.disk);
                        self.network.push((from, to, message));
                    }
                    Effect::Apply(entries) => {
                        for entry in &entries {
                            self.checks.check_apply(entry);
                        }
                    }
                    Effect::Halt { reason } => panic!("{reason}"),
                    _ => {}
                }
            }
        }
    }

    /// Makes replica 1 the leader, with an entry of its own that no other replica has.
    fn elect_first_replica(mut self) -> Self {
        let leader = ReplicaId::new(1);
        self.apply(Event::AdvanceClock(leader));
        for _ in 0..100 {
            if self.simulated(leader).replica.role() == ReplicaRole::Leader {
                break;
            }
            let unsynced = self.nodes.values().find(|node| node.disk.has_unsynced());
            let event = unsynced.map_or(Event::Deliver(0), |node| Event::Sync(node.identity.id));
            self.apply(event);
        }
        assert_eq!(self.simulated(leader).replica.role(), ReplicaRole::Leader);
        self.clock_advances_left = 1;
        self
    }
}

fn start(identity: ReplicaIdentity, disk: &mut Disk, now: Timestamp) -> Replica {
    let rng = Pcg64Mcg::seed_from_u64(identity.id.get());
    let recovered = disk.recover(identity);
    Replica::new(recovered, Timing::default(), Limits::default(), rng, now)
}

/// Explores all sequences of `depth` events. Returns the number of distinct states.
fn explore(cluster: Cluster, depth: usize) -> usize {
    let hasher = RandomState::new();
    let mut seen = Set::<u64>::default();
    let mut states = vec![cluster];
    for _ in 0..depth {
        let mut next = Vec::new();
        for cluster in states {
            for event in cluster.events() {
                let mut after = cluster.clone();
                after.apply(event);
                if seen.insert(hasher.hash_one(format!("{after:?}"))) {
                    next.push(after);
                }
            }
        }
        states = next;
    }
    seen.len()
}

#[test]
fn every_order_of_a_first_election_is_safe() {
    let states = explore(Cluster::new(), DEPTH);
    println!("{states} states");
    assert!(states > 1_000);
}

#[test]
fn every_order_after_an_election_is_safe() {
    let states = explore(Cluster::new().elect_first_replica(), DEPTH - 1);
    println!("{states} states");
    assert!(states > 1_000);
}
