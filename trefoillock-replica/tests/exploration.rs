//! Every order of a few events among three replicas, with the invariants checked after each.
//!
//! The events are: a message arrives, a disk syncs, time passes at a replica, a replica crashes
//! and restarts, a command is proposed. A message that never arrives is lost.

#[path = "simulation/checks.rs"]
#[expect(dead_code, reason = "a part of the checks belongs to the fault matrix")]
mod checks;
#[path = "simulation/disk.rs"]
#[expect(dead_code, reason = "a part of the disk belongs to the fault matrix")]
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
    DiskId, Effect, Limits, Membership, Message, Payload, Replica, RoleKind, Sender, Timing,
};

/// The number of events in each order.
const DEPTH: usize = 6;
/// The time that passes at a replica at once, longer than any election timeout.
const PASSING: Duration = Duration::from_millis(2_100);
const START: Timestamp = Timestamp::from_secs(1_000);

#[derive(Debug, Clone, Copy)]
enum Event {
    Deliver(usize),
    Sync(ReplicaId),
    PassTime(ReplicaId),
    Restart(ReplicaId),
    Propose(ReplicaId),
}

#[derive(Debug, Clone)]
struct Node {
    identity: Sender,
    replica: Replica,
    disk: Disk,
    now: Timestamp,
}

/// The replicas, the messages in flight, and how many events of the rarer kinds are left.
#[derive(Debug, Clone)]
struct World {
    nodes: BTreeMap<ReplicaId, Node>,
    network: Vec<(Sender, ReplicaId, Message)>,
    checks: Checks,
    restarts: usize,
    passings: usize,
    proposals: usize,
}

impl World {
    fn new() -> Self {
        let ids = (1..=3).map(ReplicaId::new);
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let members: Vec<_> = ids.map(|id| (id, address)).collect();
        let members = Membership::of_voters(&members);
        let nodes = members.voters().map(|id| {
            let identity = Sender {
                id,
                disk: DiskId::new(id.get()),
            };
            let mut disk = Disk::new(members.clone());
            let replica = start(identity, &mut disk, START);
            let now = START;
            let node = Node {
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
            restarts: 1,
            passings: 2,
            proposals: 1,
        }
    }

    fn events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = (0..self.network.len()).map(Event::Deliver).collect();
        for (&id, node) in &self.nodes {
            if node.disk.has_unsynced() {
                events.push(Event::Sync(id));
            }
            if self.passings > 0 {
                events.push(Event::PassTime(id));
            }
            if self.restarts > 0 {
                events.push(Event::Restart(id));
            }
            if self.proposals > 0 && node.replica.role() == RoleKind::Leader {
                events.push(Event::Propose(id));
            }
        }
        events
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Deliver(place) => {
                let (from, to, message) = self.network.remove(place);
                let node = self.node(to);
                node.replica.receive(node.now, from, message);
                self.settle(to);
            }
            Event::Sync(id) => {
                let node = self.node(id);
                if let Some(ticket) = node.disk.sync(u64::MAX) {
                    node.replica.synced(node.now, ticket);
                }
                self.settle(id);
            }
            Event::PassTime(id) => {
                self.passings -= 1;
                let end = self.node(id).now + PASSING;
                while self.node(id).now < end {
                    let node = self.node(id);
                    node.now = node.now + Duration::from_millis(150);
                    node.replica.tick(node.now);
                    self.settle(id);
                }
            }
            Event::Restart(id) => {
                self.restarts -= 1;
                let node = self.node(id);
                node.disk.lose_unsynced();
                node.replica = start(node.identity, &mut node.disk, node.now);
                let identity = node.identity;
                self.checks.forget_restart(identity);
                self.settle(id);
            }
            Event::Propose(id) => {
                self.proposals -= 1;
                let node = self.node(id);
                let _ = node
                    .replica
                    .propose(node.now, Payload::from(b"x".as_slice()));
                self.settle(id);
            }
        }
    }

    fn node(&mut self, id: ReplicaId) -> &mut Node {
        self.nodes.get_mut(&id).expect("a node")
    }

    fn settle(&mut self, id: ReplicaId) {
        loop {
            let node = self.nodes.get_mut(&id).expect("a node");
            let effects = node.replica.take_effects();
            self.checks.replica(&node.replica);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Write { ticket, writes } => {
                        self.checks.writes(&writes);
                        node.disk.write(ticket, 0, writes);
                    }
                    Effect::Send { to, message } => {
                        let from = node.identity;
                        self.checks.send(from, to, &message, &node.disk);
                        self.network.push((from, to, message));
                    }
                    Effect::Apply(entries) => {
                        for entry in &entries {
                            self.checks.apply(entry);
                        }
                    }
                    Effect::Halt { reason } => panic!("{reason}"),
                    _ => {}
                }
            }
        }
    }

    /// Lets replica 1 become leader with an entry of its own that no other replica has.
    fn with_leader(mut self) -> Self {
        let leader = ReplicaId::new(1);
        self.apply(Event::PassTime(leader));
        for _ in 0..100 {
            if self.node(leader).replica.role() == RoleKind::Leader {
                break;
            }
            let sync = self.nodes.values().find(|node| node.disk.has_unsynced());
            let event = sync.map_or(Event::Deliver(0), |node| Event::Sync(node.identity.id));
            self.apply(event);
        }
        assert_eq!(self.node(leader).replica.role(), RoleKind::Leader);
        self.passings = 1;
        self
    }
}

fn start(identity: Sender, disk: &mut Disk, now: Timestamp) -> Replica {
    let rng = Pcg64Mcg::seed_from_u64(identity.id.get());
    let recovered = disk.recover(identity);
    Replica::new(recovered, Timing::default(), Limits::default(), rng, now)
}

/// Tries every event, then every further one. Returns the number of different worlds.
fn explore(world: World, depth: usize) -> usize {
    let hasher = RandomState::new();
    let mut seen = Set::<u64>::default();
    let mut worlds = vec![world];
    for _ in 0..depth {
        let mut next = Vec::new();
        for world in worlds {
            for event in world.events() {
                let mut after = world.clone();
                after.apply(event);
                if seen.insert(hasher.hash_one(format!("{after:?}"))) {
                    next.push(after);
                }
            }
        }
        worlds = next;
    }
    seen.len()
}

#[test]
fn every_order_of_a_first_election_is_safe() {
    let worlds = explore(World::new(), DEPTH);
    println!("{worlds} worlds");
    assert!(worlds > 1_000);
}

#[test]
fn every_order_after_an_election_is_safe() {
    let worlds = explore(World::new().with_leader(), DEPTH - 1);
    println!("{worlds} worlds");
    assert!(worlds > 1_000);
}
