//! Replicas that are cut off, restarted and lost for good, two at once, while the leader changes the
//! membership by itself.

use std::time::Duration;

use trefoillock_core::ReplicaId;

use super::{Fault, Simulation};

/// The time for which a replica is cut off.
const CUT_TIME: u64 = 5_000_000;
/// The time for which a replica that is restarted is down.
const RESTART_TIME: u64 = 1_000_000;
/// The time in which the membership settles after the last event.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// The number of ticks between two checks of the membership, 200 ms.
const TICKS_PER_CHECK: u64 = 10;

/// What happens to one replica.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// It is cut off and comes back.
    Cut,
    /// It announces its stop and is started again.
    Restart,
    /// Its machine is lost for good without notice.
    Lost,
    /// It announces its stop, and its machine does not come back.
    TakenAway,
}

const EVENTS: [Event; 4] = [Event::Cut, Event::Restart, Event::Lost, Event::TakenAway];

/// When the replica on a new machine starts, relative to the loss, in microseconds.
const ARRIVALS: [i64; 2] = [-1_000_000, 600_000];

/// The times between two events, in microseconds.
const GAPS: [u64; 3] = [0, 1_500_000, 4_000_000];

/// A step of a run, at a time in microseconds.
#[derive(Debug, Clone, Copy)]
enum Step {
    Cut(usize),
    Rejoin(usize),
    Crash { target: usize, is_announced: bool },
    Restart(usize),
    Lose { target: usize, is_announced: bool },
    Arrive,
}

/// Two events, each at one of the first replicas.
#[derive(Debug, Clone, Copy)]
struct Case {
    events: [Event; 2],
    /// Which of the two happens to the leader, if any.
    leader: Option<usize>,
    gap: u64,
    arrival: i64,
}

fn steps(case: Case) -> Vec<(u64, Step)> {
    let start = 3_000_000;
    let mut steps = Vec::new();
    for (target, event) in case.events.into_iter().enumerate() {
        let at = start + if target == 0 { 0 } else { case.gap };
        let is_announced = matches!(event, Event::Restart | Event::TakenAway);
        match event {
            Event::Cut => {
                steps.push((at, Step::Cut(target)));
                steps.push((at + CUT_TIME, Step::Rejoin(target)));
            }
            Event::Restart => {
                let crash = Step::Crash {
                    target,
                    is_announced,
                };
                steps.push((at, crash));
                steps.push((at + RESTART_TIME, Step::Restart(target)));
            }
            Event::Lost | Event::TakenAway => {
                let loss = Step::Lose {
                    target,
                    is_announced,
                };
                steps.push((at, loss));
                steps.push((at.saturating_add_signed(case.arrival), Step::Arrive));
            }
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// Runs a case and checks that in the end exactly the replicas that are not lost vote.
fn run(seed: u64, case: Case) {
    println!("seed {seed}, {case:?}");
    let mut simulation = Simulation::new(seed, 5);
    let mut targets: Option<[ReplicaId; 2]> = None;
    let steps = steps(case);
    let last = steps.last().map_or(0, |(at, _)| *at);
    let mut due = steps.into_iter().peekable();
    let start = simulation.now;
    let end = start + last + u64::try_from(SETTLE_TIME.as_micros()).expect("a short time");
    let mut tick = 0;
    while simulation.now < end {
        simulation.advance_tick();
        tick += 1;
        while let Some((_, step)) = due.next_if(|(at, _)| start + at <= simulation.now) {
            let targets = *targets.get_or_insert_with(|| choose_targets(&simulation, case));
            simulation.execute_step(step, targets);
        }
        if tick % TICKS_PER_CHECK == 0 {
            simulation.manage_members();
            if let Some(leader) = simulation.leader() {
                simulation.propose(leader);
                simulation.read(leader);
            }
        }
    }
    simulation.check_members();
    simulation.heal_and_check();
}

/// Returns the replicas to which the events happen.
fn choose_targets(simulation: &Simulation, case: Case) -> [ReplicaId; 2] {
    let leader = simulation.leader().expect("a leader after some seconds");
    let mut others = simulation.ids().into_iter().filter(|id| *id != leader);
    // The identity of the first target is the higher one, so that an order by identity is wrong.
    let second = others.next().expect("five replicas");
    let first = others.next().expect("five replicas");
    match case.leader {
        Some(0) => [leader, second],
        Some(_) => [first, leader],
        None => [first, second],
    }
}

impl Simulation {
    fn execute_step(&mut self, step: Step, targets: [ReplicaId; 2]) {
        match step {
            Step::Cut(target) => {
                let id = targets[target];
                let others = self.ids().into_iter().filter(|other| *other != id);
                let links: Vec<_> = others
                    .flat_map(|other| [(id, other), (other, id)])
                    .collect();
                self.cut_links.extend(links);
            }
            Step::Rejoin(target) => {
                let id = targets[target];
                self.cut_links.retain(|(a, b)| *a != id && *b != id);
                // A link to the other target stays cut while that one is cut off.
                if let Some(other) = targets
                    .into_iter()
                    .find(|other| self.is_cut_off(*other, id))
                {
                    self.cut_links.extend([(id, other), (other, id)]);
                }
            }
            Step::Crash {
                target,
                is_announced,
            } => {
                if is_announced {
                    self.announce_stop(targets[target]);
                }
                self.crash(targets[target]);
            }
            Step::Restart(target) => self.restart(targets[target]),
            Step::Lose {
                target,
                is_announced,
            } => {
                let id = targets[target];
                if is_announced {
                    self.announce_stop(id);
                }
                self.crash(id);
                self.simulated(id).disk_lost = true;
            }
            Step::Arrive => {
                self.add_replica();
            }
        }
    }

    /// Returns whether a replica other than `id` is cut off from all others.
    fn is_cut_off(&self, other: ReplicaId, id: ReplicaId) -> bool {
        let mut rest = self.nodes.keys().filter(|n| **n != other && **n != id);
        other != id && rest.all(|n| self.cut_links.contains(&(other, *n)))
    }
}

fn run_all(leader: Option<usize>) {
    let mut seed = 0;
    for first in EVENTS {
        for second in EVENTS {
            for gap in GAPS {
                for arrival in ARRIVALS {
                    seed += 1;
                    let case = Case {
                        events: [first, second],
                        leader,
                        gap,
                        arrival,
                    };
                    run(seed, case);
                }
            }
        }
    }
}

#[test]
fn two_followers_that_are_cut_off_restarted_or_lost() {
    run_all(None);
}

#[test]
fn the_leader_and_then_a_follower_that_are_cut_off_restarted_or_lost() {
    run_all(Some(0));
}

#[test]
fn a_follower_and_then_the_leader_that_are_cut_off_restarted_or_lost() {
    run_all(Some(1));
}

/// The number of seeds of random faults.
const SEEDS: u64 = 60;
/// The number of ticks with random faults.
const TICKS: u64 = 1_500;
/// The number of replicas after which no further ones are added.
const MAX_REPLICAS: usize = 9;

/// Random faults while the leader removes silent replicas and adds returning ones.
#[test]
fn random_faults_with_automatic_changes_lose_nothing() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut simulation = Simulation::new(seed, 5);
        simulation.lossy = true;
        for tick in 0..TICKS {
            simulation.advance_tick();
            if tick % TICKS_PER_CHECK == 0 {
                simulation.manage_members();
            }
            let id = simulation.random_id();
            match simulation.random(0..200) {
                0 => simulation.inject(id, Fault::Crash),
                1 if simulation.nodes.len() < MAX_REPLICAS => {
                    simulation.inject(id, Fault::LoseDisk);
                    if simulation.nodes[&id].disk_lost {
                        simulation.add_replica();
                    }
                }
                2 => simulation.inject(id, Fault::Isolate),
                3 => simulation.inject(id, Fault::Pause),
                4..8 => simulation.restart(id),
                8 => simulation.heal_network(),
                9..60 => simulation.propose(id),
                60..80 => simulation.read(id),
                _ => {}
            }
        }
        simulation.heal_and_check();
    }
}
