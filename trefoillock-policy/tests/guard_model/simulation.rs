//! Simulates nodes, claimants, a leader and a lossy network around the guards of one slot, in
//! virtual time and with random steps from a seed.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{
    DataCentre, Fingerprint, Guard, GuardSet, GuardSlot, GuardTable, Incarnation, NodeId, Outcome,
    Timestamp,
};
use trefoillock_policy::{
    Claim, ClaimAnswer, ClaimId, ClaimRequest, ClaimState, CopyAnswer, CopyRequest, DeadGuards,
    Finish, FinishRequest, GuardAck, GuardAcks, GuardKeeper, KEY_WINDOW, KeyEnd, KeyHash,
    plan_guards,
};

/// A fault injected into the mechanism, which the checks must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    /// No fault is injected.
    None,
    /// A joining guard becomes active without the records of the previous guards.
    SkipsCopy,
    /// A guard keeps granting claims of the old epoch after it has answered a copy request.
    BreaksPromise,
    /// The planner does not record that a majority was lost.
    ForgetsLoss,
    /// A restarted node keeps its incarnation, so it answers as the guard that it was before.
    KeepsIncarnation,
}

/// The maximum difference of any clock from the true time.
const MAX_SKEW: Duration = Duration::from_secs(14);
/// The maximum duration of a call.
const CALL_TIME: Duration = Duration::from_secs(10);
/// The fingerprint of nearly all requests with the same key.
const FINGERPRINT: u64 = 7;

#[derive(Clone)]
enum Message {
    Claim(usize, Guard, ClaimRequest),
    Voted(usize, Guard, ClaimAnswer),
    Finish(FinishRequest, NodeId),
    Copy(usize, Guard, CopyRequest),
    Copied(usize, Incarnation, Guard, CopyAnswer),
    Ack(GuardAck, NodeId, Incarnation),
}

struct Node {
    id: NodeId,
    data_centre: DataCentre,
    incarnation: Incarnation,
    keeper: GuardKeeper,
    table: GuardTable,
    is_reported_live: bool,
    skew: Duration,
}

struct Claimant {
    node: usize,
    incarnation: Incarnation,
    key: usize,
    fingerprint: u64,
    claim: Claim,
    is_finished: bool,
}

/// A key with the claims that were granted and not released. It serves as the reference against
/// which grants and refusals are checked.
struct Key {
    hash: KeyHash,
    time: Option<Timestamp>,
    granted: Vec<(usize, Timestamp)>,
}

/// The state of the simulation for one seed.
pub(crate) struct Simulation {
    rng: Pcg64Mcg,
    fault: InjectedFault,
    /// Whether configurations arrive late and restarts are rare.
    has_slow_updates: bool,
    now: Timestamp,
    nodes: Vec<Node>,
    claimants: Vec<Claimant>,
    keys: Vec<Key>,
    network: Vec<Message>,
    table: GuardTable,
    acks: GuardAcks,
    /// The number of grants of a key that was already granted.
    pub(crate) double_grants: usize,
    /// The number of refusals that wrongly stated that no call with the key and request ran.
    pub(crate) false_refusals: usize,
    /// The number of grants of all keys.
    pub(crate) grants: usize,
}

fn slot() -> GuardSlot {
    GuardSlot::from_hash(0)
}

/// A set for the other slots, which the planner leaves unchanged.
fn idle_set() -> GuardSet {
    let node = new_node(99, &mut Pcg64Mcg::seed_from_u64(0));
    GuardSet {
        epoch: 1,
        guards: vec![guard_of(&node)],
        previous: Vec::new(),
        previous_epoch: 0,
        lost_at: None,
    }
}

impl Simulation {
    pub(crate) fn new(seed: u64, fault: InjectedFault) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let count = rng.random_range(2..8_usize);
        let nodes = (0..count).map(|at| new_node(at, &mut rng)).collect();
        Self {
            rng,
            fault,
            has_slow_updates: seed % 2 == 1,
            now: Timestamp::from_secs(1_000_000),
            nodes,
            claimants: Vec::new(),
            keys: Vec::new(),
            network: Vec::new(),
            table: GuardSlot::all()
                .skip(1)
                .map(|slot| (slot, idle_set()))
                .collect(),
            acks: GuardAcks::new(),
            double_grants: 0,
            false_refusals: 0,
            grants: 0,
        }
    }

    /// Runs a number of random steps, in which faults may occur.
    pub(crate) fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now = self.now + Duration::from_millis(self.rng.random_range(0..20));
            match self.rng.random_range(0..1_000_u32) {
                680..740 => self.new_claim(),
                740..770 => self.ask_again(),
                770..850 => self.update_any_node(),
                850..880 => self.send_copies(),
                880..910 => self.send_acks(),
                910..940 => self.end_any_call(),
                940..970 => self.plan(),
                970..974 => self.restart_any(),
                974 if self.rng.random_bool(0.3) => {
                    (0..self.nodes.len()).for_each(|at| self.restart(at));
                }
                975..990 => self.toggle_reported_live(),
                990..992 => self.acks = GuardAcks::new(),
                992 => self.now = self.now + Duration::from_secs(self.rng.random_range(0..90)),
                993 => self.now = self.now + KEY_WINDOW / 3,
                994 => self.lose_any_messages(),
                _ => (0..3).for_each(|_| self.deliver_any(true)),
            }
        }
    }

    /// Reports all nodes as live and delivers all messages, then claims a new key on each node.
    /// Returns the number of claims that were granted.
    pub(crate) fn claim_without_faults(&mut self) -> usize {
        for node in &mut self.nodes {
            node.is_reported_live = true;
        }
        self.now = self.now + KEY_WINDOW * 2;
        for _ in 0..30 {
            self.settle();
        }
        // A loss that was only noticed now blocks keys without an embedded time for one window.
        self.now = self.now + KEY_WINDOW * 2;
        let before = self.grants;
        for node in 0..self.nodes.len() {
            let key = self.new_key();
            self.claim(node, key, FINGERPRINT);
        }
        for _ in 0..30 {
            self.settle();
            (0..self.claimants.len()).for_each(|at| self.ask(at));
        }
        self.grants - before
    }

    /// The number of nodes.
    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// The current guard set of the slot.
    pub(crate) fn guard_set(&self) -> Option<&GuardSet> {
        self.table.get(&slot())
    }

    fn settle(&mut self) {
        self.plan();
        (0..self.nodes.len()).for_each(|at| self.update(at));
        while !self.network.is_empty() {
            self.deliver_any(false);
        }
        for node in 0..self.nodes.len() {
            self.send_copies_of(node);
            self.send_acks_of(node);
        }
        while !self.network.is_empty() {
            self.deliver_any(false);
        }
    }

    fn any_node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    /// The time on a node's own clock.
    fn clock(&self, node: usize) -> Timestamp {
        self.now - MAX_SKEW + self.nodes[node].skew
    }

    fn new_key(&mut self) -> usize {
        let number = self.keys.len() as u64;
        let skew = Duration::from_millis(self.rng.random_range(0..28_000));
        let is_timed = self.rng.random_bool(0.5);
        self.keys.push(Key {
            hash: KeyHash {
                high: number * 256,
                low: number,
            },
            time: is_timed.then_some(self.now - MAX_SKEW + skew),
            granted: Vec::new(),
        });
        self.keys.len() - 1
    }

    fn new_claim(&mut self) {
        let node = self.any_node();
        let key = if self.keys.is_empty() || self.rng.random_bool(0.3) {
            self.new_key()
        } else {
            let oldest = self.keys.len().saturating_sub(4);
            self.rng.random_range(oldest..self.keys.len())
        };
        let other = u64::from(self.rng.random_bool(0.1));
        self.claim(node, key, FINGERPRINT + other);
    }

    fn claim(&mut self, node: usize, key: usize, fingerprint: u64) {
        let now = self.clock(node);
        let Some(set) = self.nodes[node].table.get(&slot()) else {
            return;
        };
        let at = self.claimants.len();
        let claim = Claim::new(
            now,
            ClaimId::new(node as u64, at as u64),
            self.keys[key].hash,
            Fingerprint::new(fingerprint),
            self.keys[key].time,
            now + CALL_TIME,
            set,
        );
        self.claimants.push(Claimant {
            node,
            incarnation: self.nodes[node].incarnation,
            key,
            fingerprint,
            claim,
            is_finished: false,
        });
        self.ask(at);
    }

    fn is_in_progress(&self, claimant: usize) -> bool {
        let claimant = &self.claimants[claimant];
        !claimant.is_finished && self.nodes[claimant.node].incarnation == claimant.incarnation
    }

    fn any_claimant(&mut self) -> Option<usize> {
        let oldest = self.claimants.len().saturating_sub(12);
        if self.claimants.is_empty() {
            return None;
        }
        let at = self.rng.random_range(oldest..self.claimants.len());
        self.is_in_progress(at).then_some(at)
    }

    fn ask_again(&mut self) {
        if let Some(at) = self.any_claimant() {
            self.ask(at);
        }
    }

    fn ask(&mut self, at: usize) {
        if !self.is_in_progress(at) {
            return;
        }
        let now = self.clock(self.claimants[at].node);
        let claimant = &mut self.claimants[at];
        claimant.claim.expire(now);
        let requests = claimant.claim.requests();
        let messages = requests
            .into_iter()
            .map(|(guard, req)| Message::Claim(at, guard, req));
        self.network.extend(messages);
        self.handle_loss(at);
    }

    /// Checks the refusal of a lost claim and releases its key.
    fn handle_loss(&mut self, at: usize) {
        if !self.is_in_progress(at) {
            return;
        }
        if let ClaimState::Lost(loss) = self.claimants[at].claim.state() {
            let says_unused = loss.outcome() == Outcome::DidNotRun;
            self.false_refusals += usize::from(says_unused && self.is_granted(at));
            self.finish(at, &Finish::Released);
        }
    }

    /// Whether an older claim with the same key and request was granted and not released. A refusal
    /// covers its own request and earlier ones; a later resend may run.
    fn is_granted(&self, at: usize) -> bool {
        let claimant = &self.claimants[at];
        let mut granted = self.keys[claimant.key].granted.iter();
        granted.any(|(owner, time)| {
            let same = self.claimants[*owner].fingerprint == claimant.fingerprint;
            *owner < at && same && self.now < *time + KEY_WINDOW
        })
    }

    fn finish(&mut self, at: usize, finish: &Finish) {
        let claimant = &mut self.claimants[at];
        claimant.is_finished = true;
        let newest = self.nodes[claimant.node].table.get(&slot());
        for (guard, req) in claimant.claim.finish_requests(newest, finish) {
            self.network.push(Message::Finish(req, guard.node));
        }
        if *finish == Finish::Released {
            let key = &mut self.keys[claimant.key];
            key.granted.retain(|(owner, _)| *owner != at);
        }
    }

    fn end_any_call(&mut self) {
        let Some(at) = self.any_claimant() else {
            return;
        };
        if *self.claimants[at].claim.state() != ClaimState::Won {
            return;
        }
        let finish = match self.rng.random_range(0..4_u32) {
            0 => Finish::Released,
            1 => Finish::Ended(KeyEnd::MayHaveRun),
            _ => Finish::Ended(KeyEnd::Answered {
                status: 201,
                stored: None,
            }),
        };
        self.finish(at, &finish);
    }

    fn update_any_node(&mut self) {
        if self.has_slow_updates && self.rng.random_bool(0.9) {
            return;
        }
        let node = self.any_node();
        self.update(node);
    }

    /// Applies the newest configuration to a node and restarts its undecided claims.
    fn update(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.table.clear();
        node.table
            .extend(self.table.get(&slot()).map(|set| (slot(), set.clone())));
        node.keeper.sync(&node.table);
        let Some(set) = node.table.get(&slot()).cloned() else {
            return;
        };
        for claimant in 0..self.claimants.len() {
            if self.claimants[claimant].node == at && self.is_in_progress(claimant) {
                self.claimants[claimant].claim.restart(&set);
                self.ask(claimant);
            }
        }
    }

    fn send_copies(&mut self) {
        let node = self.any_node();
        self.send_copies_of(node);
    }

    fn send_copies_of(&mut self, at: usize) {
        let requests = self.nodes[at].keeper.copy_requests();
        let messages = requests
            .into_iter()
            .map(|(guard, req)| Message::Copy(at, guard, req));
        self.network.extend(messages);
    }

    fn send_acks(&mut self) {
        let node = self.any_node();
        self.send_acks_of(node);
    }

    fn send_acks_of(&mut self, at: usize) {
        let node = &self.nodes[at];
        for ack in node.keeper.acks() {
            let message = Message::Ack(ack, node.id.clone(), node.incarnation);
            self.network.push(message);
        }
    }

    fn plan(&mut self) {
        let reported = self.nodes.iter().filter(|node| node.is_reported_live);
        let live: Vec<Guard> = reported.map(guard_of).collect();
        let plan = plan_guards(self.now, &self.table, &live, &DeadGuards::new(), &self.acks);
        for (_, mut set) in plan.into_iter().filter(|(planned, _)| *planned == slot()) {
            if self.fault == InjectedFault::ForgetsLoss {
                set.lost_at = None;
            }
            self.table.insert(slot(), set);
        }
    }

    fn restart_any(&mut self) {
        if self.has_slow_updates && self.rng.random_bool(0.9) {
            return;
        }
        let node = self.any_node();
        self.restart(node);
    }

    fn restart(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if self.fault != InjectedFault::KeepsIncarnation {
            node.incarnation = node.incarnation.next();
        }
        node.keeper = GuardKeeper::new(node.id.clone(), node.incarnation);
        node.table = GuardTable::new();
    }

    /// Drops all messages in transit but a few.
    fn lose_any_messages(&mut self) {
        let kept = self.rng.random_range(0..50);
        self.network.truncate(kept);
    }

    fn toggle_reported_live(&mut self) {
        let node = self.any_node();
        self.nodes[node].is_reported_live = !self.nodes[node].is_reported_live;
    }

    fn deliver_any(&mut self, with_faults: bool) {
        if self.network.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.network.len());
        let message = self.network.swap_remove(at);
        if with_faults && self.rng.random_bool(0.1) {
            return;
        }
        if with_faults && self.rng.random_bool(0.1) {
            self.network.push(message.clone());
        }
        self.deliver(message);
    }

    fn index_of(&self, id: &NodeId) -> usize {
        let found = self.nodes.iter().position(|node| node.id == *id);
        found.expect("a known node")
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Claim(claimant, guard, req) => {
                let at = self.index_of(&guard.node);
                let now = self.clock(at);
                let answer = self.nodes[at].keeper.claim(now, &req);
                self.network.push(Message::Voted(claimant, guard, answer));
            }
            Message::Voted(claimant, guard, answer) => self.voted(claimant, &guard, answer),
            Message::Finish(req, node) => {
                let at = self.index_of(&node);
                let now = self.clock(at);
                self.nodes[at].keeper.finish(now, &req);
            }
            Message::Copy(joiner, guard, req) => self.copy(joiner, guard, req),
            Message::Copied(joiner, incarnation, guard, answer) => {
                let node = &mut self.nodes[joiner];
                if node.incarnation == incarnation {
                    node.keeper.apply_copy(&guard, answer);
                }
            }
            Message::Ack(ack, node, incarnation) => self.acks.record(ack, &node, incarnation),
        }
    }

    fn copy(&mut self, joiner: usize, guard: Guard, req: CopyRequest) {
        let at = self.index_of(&guard.node);
        let now = self.clock(at);
        let keeper = &mut self.nodes[at].keeper;
        let answer = if self.fault == InjectedFault::BreaksPromise {
            keeper.clone().answer_copy_request(now, &req)
        } else {
            keeper.answer_copy_request(now, &req)
        };
        let Some(mut answer) = answer else {
            return;
        };
        if self.fault == InjectedFault::SkipsCopy {
            answer.records.clear();
            answer.complete_for = u64::MAX;
        }
        let incarnation = self.nodes[joiner].incarnation;
        self.network
            .push(Message::Copied(joiner, incarnation, guard, answer));
    }

    fn voted(&mut self, at: usize, guard: &Guard, answer: ClaimAnswer) {
        if !self.is_in_progress(at) {
            return;
        }
        let now = self.clock(self.claimants[at].node);
        let claimant = &mut self.claimants[at];
        let was_won = *claimant.claim.state() == ClaimState::Won;
        let is_won = *claimant.claim.record_vote(now, guard, answer) == ClaimState::Won;
        if is_won && !was_won {
            self.count_grant(at);
        }
        self.handle_loss(at);
    }

    /// Counts a grant, and a double grant if the key is already granted.
    fn count_grant(&mut self, at: usize) {
        let now = self.now;
        let key = &mut self.keys[self.claimants[at].key];
        if key.time.is_none() {
            key.granted
                .retain(|(_, granted)| now < *granted + KEY_WINDOW);
        }
        self.double_grants += usize::from(!key.granted.is_empty());
        self.grants += 1;
        key.granted.push((at, now));
    }
}

fn new_node(at: usize, rng: &mut Pcg64Mcg) -> Node {
    let id = NodeId::try_from(format!("node-{at}")).expect("valid name");
    let data_centre = DataCentre::try_from(format!("dc-{}", at % 3)).expect("valid name");
    let incarnation = Incarnation::new(1);
    Node {
        keeper: GuardKeeper::new(id.clone(), incarnation),
        id,
        data_centre,
        incarnation,
        table: BTreeMap::new(),
        is_reported_live: true,
        skew: Duration::from_millis(rng.random_range(0..28_000)),
    }
}

fn guard_of(node: &Node) -> Guard {
    Guard {
        node: node.id.clone(),
        incarnation: node.incarnation,
        peer_address: ([127, 0, 0, 1], 1).into(),
        data_centre: node.data_centre.clone(),
    }
}
