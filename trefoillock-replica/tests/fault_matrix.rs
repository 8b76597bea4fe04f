//! Faults at every step, with the invariants checked after each event.

mod simulation;

use std::time::Duration;

use simulation::{Fault, STEPS, Simulation, Trap};
use trefoillock_replica::Timing;

/// The number of seeds of random faults in each test.
const SEEDS: u64 = 100;
/// The number of ticks with faults.
const TICKS: u64 = 700;

/// Runs with random faults at random times.
fn random_faults(seed: u64, voters: u64) {
    println!("seed {seed}, {voters} voters");
    let mut simulation = Simulation::new(seed, voters);
    simulation.lossy = true;
    for _ in 0..TICKS {
        simulation.step();
        let id = simulation.random_id();
        match simulation.random(0..404) {
            0..5 => simulation.strike(id, Fault::Crash),
            5 => simulation.strike(id, Fault::LoseDisk),
            6 => simulation.strike(id, Fault::BlankDisk),
            7 => simulation.strike(id, Fault::FailSync),
            8..10 => simulation.strike(id, Fault::Isolate),
            10..12 => simulation.strike(id, Fault::CutIncoming),
            12..14 => simulation.strike(id, Fault::CutOutgoing),
            14..16 => simulation.strike(id, Fault::StepClock(5_000_000)),
            16 => simulation.strike(id, Fault::StepClock(-5_000_000)),
            400..404 => simulation.strike(id, Fault::CutFromLeader),
            17..19 => simulation.strike(id, Fault::Pause),
            19..40 => simulation.restart(id),
            40..46 => simulation.heal_network(),
            46..60 => simulation.operate(),
            60..160 => simulation.propose(id),
            160..200 => simulation.read(id),
            _ => {
                if let Some(leader) = simulation.leader() {
                    simulation.propose(leader);
                    simulation.read(leader);
                }
            }
        }
    }
    simulation.finish();
}

/// Runs a life with elections, entries, snapshots and a replacement, and one fault.
fn one_fault(seed: u64, trap: Option<Trap>) -> Simulation {
    println!("seed {seed}, {trap:?}");
    let mut simulation = Simulation::new(seed, 3);
    if let Some(trap) = trap {
        simulation.set_trap(trap);
    }
    for tick in 0..500 {
        simulation.step();
        if let Some(leader) = simulation.leader() {
            if tick % 4 == 0 {
                simulation.propose(leader);
                simulation.read(leader);
            }
            if tick == 200 {
                simulation.strike(leader, Fault::Isolate);
            }
        }
        for id in simulation.ids() {
            if tick % 90 == 0 {
                simulation.read(id);
                simulation.propose(id);
                simulation.restart(id);
            }
        }
        if tick == 330 {
            simulation.heal_network();
        }
        if tick > 100 && tick % 15 == 0 {
            simulation.operate();
        }
    }
    simulation.finish();
    simulation
}

#[test]
fn random_faults_among_three_voters_break_nothing() {
    (0..SEEDS).for_each(|seed| random_faults(seed, 3));
}

#[test]
fn random_faults_among_five_voters_break_nothing() {
    (1_000..1_000 + SEEDS / 2).for_each(|seed| random_faults(seed, 5));
}

/// Runs a life for each step and each fault that strikes there.
fn each_fault_at_each_step(occurrence: u64, after: bool) {
    let faults = [
        Fault::Crash,
        Fault::FailSync,
        Fault::LoseDisk,
        Fault::BlankDisk,
        Fault::Isolate,
        Fault::CutIncoming,
        Fault::CutOutgoing,
        Fault::CutFromLeader,
        Fault::StepClock(3_000_000),
        Fault::StepClock(-3_000_000),
        Fault::Pause,
    ];
    for step in STEPS {
        for fault in faults {
            let trap = Trap {
                step,
                occurrence,
                fault,
                after,
            };
            one_fault(occurrence, Some(trap));
        }
    }
}

#[test]
fn a_fault_after_the_first_of_every_step_breaks_nothing() {
    each_fault_at_each_step(1, true);
}

#[test]
fn a_fault_before_the_second_of_every_step_breaks_nothing() {
    each_fault_at_each_step(2, false);
}

#[test]
fn a_fault_after_the_third_of_every_step_breaks_nothing() {
    each_fault_at_each_step(3, true);
}

/// While one follower does not hear the leader, the other one forgets what it heard.
fn a_lease_holds_while(fault: Fault) {
    for seed in 0..30 {
        println!("seed {seed}, {fault:?}");
        let mut simulation = Simulation::new(seed, 3);
        simulation.run(Duration::from_secs(4));
        let leader = simulation.leader().expect("a leader");
        let mut followers = simulation.ids();
        followers.retain(|&id| id != leader);
        simulation.strike(followers[0], Fault::CutFromLeader);
        for _ in 0..300 {
            if simulation.random(0..15) == 0 {
                simulation.strike(followers[1], fault);
                simulation.restart(followers[1]);
            }
            simulation.step();
            simulation.read(leader);
        }
        simulation.finish();
    }
}

#[test]
fn a_lease_holds_while_a_follower_restarts() {
    a_lease_holds_while(Fault::Crash);
}

#[test]
fn a_lease_holds_while_the_clock_of_a_follower_steps() {
    a_lease_holds_while(Fault::StepClock(3_000_000));
    a_lease_holds_while(Fault::StepClock(-500_000));
}

#[test]
fn a_lease_holds_while_a_follower_pauses() {
    a_lease_holds_while(Fault::Pause);
}

/// An entry is on two replicas; one of them loses its disk and starts on a blank one.
#[test]
fn a_blank_disk_does_not_vote_under_an_old_identity() {
    for seed in 0..30 {
        let mut simulation = Simulation::new(seed, 3);
        simulation.run(Duration::from_secs(5));
        let leader = simulation.leader().expect("a leader");
        let mut followers = simulation.ids();
        followers.retain(|&id| id != leader);
        simulation.strike(followers[0], Fault::CutFromLeader);
        simulation.run(Duration::from_millis(100));
        simulation.propose(leader);
        simulation.run(Duration::from_millis(300));
        simulation.strike(followers[1], Fault::BlankDisk);
        simulation.strike(leader, Fault::Crash);
        simulation.run(Duration::from_secs(20));
        assert_eq!(simulation.leader(), None);
        simulation.finish();
    }
}

#[test]
fn a_life_without_a_fault_has_every_step() {
    let simulation = one_fault(1, None);
    for step in STEPS {
        println!("{step}: {:?}", simulation.seen.get(step));
    }
    for step in STEPS {
        let seen = simulation.seen.get(step).copied().unwrap_or(0);
        assert!(seen >= 3, "{step} was seen {seen} times");
    }
}

#[test]
fn an_isolated_replica_neither_disturbs_nor_answers() {
    let mut simulation = Simulation::new(7, 3);
    simulation.run(Duration::from_secs(5));
    let old = simulation.leader().expect("a leader");
    simulation.strike(old, Fault::Isolate);
    simulation.run(Duration::from_mins(2));
    let new = simulation.leader().expect("a leader");
    assert_ne!(old, new);
    let term = simulation.term(new);
    simulation.propose(old);
    simulation.heal_network();
    simulation.run(Duration::from_secs(10));
    assert_eq!(simulation.leader(), Some(new));
    assert_eq!(simulation.term(new), term);
    simulation.finish();
}

/// The followers restart while the leader, which they do not hear any more, holds its lease.
#[test]
fn a_lease_holds_while_followers_restart() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, if seed % 2 == 0 { 3 } else { 5 });
        simulation.run(Duration::from_secs(3));
        let leader = simulation.leader().expect("a leader");
        simulation.strike(leader, Fault::Isolate);
        for id in simulation.ids().into_iter().filter(|id| *id != leader) {
            simulation.strike(id, Fault::Crash);
            simulation.restart(id);
        }
        // Longer than a lease; the invariants are checked after each event.
        simulation.run(Duration::from_secs(2));
        assert_ne!(simulation.leader(), Some(leader), "seed {seed}");
        simulation.heal_network();
        simulation.finish();
    }
}

/// A leader that restarts leads again before an election by its followers is due.
#[test]
fn a_leader_that_restarts_leads_again_before_others_campaign() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, if seed % 2 == 0 { 3 } else { 5 });
        simulation.run(Duration::from_secs(6));
        let leader = simulation.leader().expect("a leader");
        for id in simulation.ids() {
            simulation.strike(id, Fault::Crash);
            simulation.restart(id);
        }
        simulation.run(Timing::default().election_min);
        assert_eq!(simulation.leader(), Some(leader), "seed {seed}");
        simulation.finish();
    }
}
