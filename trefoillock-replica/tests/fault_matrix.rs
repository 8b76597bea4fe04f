//! Faults at random times and at every step, with the invariants checked after each event.

mod simulation;

use std::time::Duration;

use simulation::{Fault, FaultInjection, STEPS, Simulation};
use trefoillock_replica::Timing;

/// The number of seeds of random faults in each test.
const SEEDS: u64 = 100;
/// The number of ticks with faults.
const TICKS: u64 = 700;

/// Runs with random faults at random times.
fn run_with_random_faults(seed: u64, voters: u64) {
    println!("seed {seed}, {voters} voters");
    let mut simulation = Simulation::new(seed, voters);
    simulation.lossy = true;
    for _ in 0..TICKS {
        simulation.advance_tick();
        let id = simulation.random_id();
        match simulation.random(0..404) {
            0..5 => simulation.inject(id, Fault::Crash),
            5 => simulation.inject(id, Fault::LoseDisk),
            6 => simulation.inject(id, Fault::BlankDisk),
            7 => simulation.inject(id, Fault::FailSync),
            8..10 => simulation.inject(id, Fault::Isolate),
            10..12 => simulation.inject(id, Fault::CutIncoming),
            12..14 => simulation.inject(id, Fault::CutOutgoing),
            14..16 => simulation.inject(id, Fault::JumpClock(5_000_000)),
            16 => simulation.inject(id, Fault::JumpClock(-5_000_000)),
            400..404 => simulation.inject(id, Fault::CutFromLeader),
            17..19 => simulation.inject(id, Fault::Pause),
            19..40 => simulation.restart(id),
            40..46 => simulation.heal_network(),
            46..60 => simulation.operator_step(),
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
    simulation.heal_and_check();
}

/// Runs elections, proposals, snapshots and replacements of replicas, with at most one fault.
fn run_with_one_fault(seed: u64, injection: Option<FaultInjection>) -> Simulation {
    println!("seed {seed}, {injection:?}");
    let mut simulation = Simulation::new(seed, 3);
    if let Some(injection) = injection {
        simulation.set_injection(injection);
    }
    for tick in 0..500 {
        simulation.advance_tick();
        if let Some(leader) = simulation.leader() {
            if tick % 4 == 0 {
                simulation.propose(leader);
                simulation.read(leader);
            }
            if tick == 200 {
                simulation.inject(leader, Fault::Isolate);
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
            simulation.operator_step();
        }
    }
    simulation.heal_and_check();
    simulation
}

#[test]
fn random_faults_among_three_voters_violate_no_invariant() {
    (0..SEEDS).for_each(|seed| run_with_random_faults(seed, 3));
}

#[test]
fn random_faults_among_five_voters_violate_no_invariant() {
    (1_000..1_000 + SEEDS / 2).for_each(|seed| run_with_random_faults(seed, 5));
}

/// Runs the simulation once for each step and each fault injected at it.
fn inject_each_fault_at_each_step(occurrence: u64, after: bool) {
    let faults = [
        Fault::Crash,
        Fault::FailSync,
        Fault::LoseDisk,
        Fault::BlankDisk,
        Fault::Isolate,
        Fault::CutIncoming,
        Fault::CutOutgoing,
        Fault::CutFromLeader,
        Fault::JumpClock(3_000_000),
        Fault::JumpClock(-3_000_000),
        Fault::Pause,
    ];
    for step in STEPS {
        for fault in faults {
            let injection = FaultInjection {
                step,
                occurrence,
                fault,
                after,
            };
            run_with_one_fault(occurrence, Some(injection));
        }
    }
}

#[test]
fn a_fault_after_the_first_occurrence_of_each_step_violates_no_invariant() {
    inject_each_fault_at_each_step(1, true);
}

#[test]
fn a_fault_before_the_second_occurrence_of_each_step_violates_no_invariant() {
    inject_each_fault_at_each_step(2, false);
}

#[test]
fn a_fault_after_the_third_occurrence_of_each_step_violates_no_invariant() {
    inject_each_fault_at_each_step(3, true);
}

/// Checks that a leader keeps its lease exclusive while one follower is cut off from it and the
/// other one is affected by a fault that may make it forget the last heartbeat.
fn check_lease_during(fault: Fault) {
    for seed in 0..30 {
        println!("seed {seed}, {fault:?}");
        let mut simulation = Simulation::new(seed, 3);
        simulation.run(Duration::from_secs(4));
        let leader = simulation.leader().expect("a leader");
        let mut followers = simulation.ids();
        followers.retain(|&id| id != leader);
        simulation.inject(followers[0], Fault::CutFromLeader);
        for _ in 0..300 {
            if simulation.random(0..15) == 0 {
                simulation.inject(followers[1], fault);
                simulation.restart(followers[1]);
            }
            simulation.advance_tick();
            simulation.read(leader);
        }
        simulation.heal_and_check();
    }
}

#[test]
fn a_lease_holds_while_a_follower_restarts() {
    check_lease_during(Fault::Crash);
}

#[test]
fn a_lease_holds_while_the_clock_of_a_follower_jumps() {
    check_lease_during(Fault::JumpClock(3_000_000));
    check_lease_during(Fault::JumpClock(-500_000));
}

#[test]
fn a_lease_holds_while_a_follower_pauses() {
    check_lease_during(Fault::Pause);
}

/// Guards against the loss of a committed entry: it is on two replicas, and one of them loses its
/// disk and restarts on a blank one under its old identity.
#[test]
fn a_blank_disk_does_not_vote_under_an_old_identity() {
    for seed in 0..30 {
        let mut simulation = Simulation::new(seed, 3);
        simulation.run(Duration::from_secs(5));
        let leader = simulation.leader().expect("a leader");
        let mut followers = simulation.ids();
        followers.retain(|&id| id != leader);
        simulation.inject(followers[0], Fault::CutFromLeader);
        simulation.run(Duration::from_millis(100));
        simulation.propose(leader);
        simulation.run(Duration::from_millis(300));
        simulation.inject(followers[1], Fault::BlankDisk);
        simulation.inject(leader, Fault::Crash);
        simulation.run(Duration::from_secs(20));
        assert_eq!(simulation.leader(), None);
        simulation.heal_and_check();
    }
}

#[test]
fn a_run_without_faults_executes_every_step() {
    let simulation = run_with_one_fault(1, None);
    for step in STEPS {
        println!("{step}: {:?}", simulation.step_counts.get(step));
    }
    for step in STEPS {
        let seen = simulation.step_counts.get(step).copied().unwrap_or(0);
        assert!(seen >= 3, "{step} was seen {seen} times");
    }
}

#[test]
fn an_isolated_leader_is_replaced_and_rejoins_without_an_election() {
    let mut simulation = Simulation::new(7, 3);
    simulation.run(Duration::from_secs(5));
    let old = simulation.leader().expect("a leader");
    simulation.inject(old, Fault::Isolate);
    simulation.run(Duration::from_mins(2));
    let new = simulation.leader().expect("a leader");
    assert_ne!(old, new);
    let term = simulation.term(new);
    simulation.propose(old);
    simulation.heal_network();
    simulation.run(Duration::from_secs(10));
    assert_eq!(simulation.leader(), Some(new));
    assert_eq!(simulation.term(new), term);
    simulation.heal_and_check();
}

/// Guards against a second leader during a lease: the followers restart and forget the last
/// heartbeat while the isolated leader holds its lease.
#[test]
fn a_lease_holds_while_followers_restart() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, if seed % 2 == 0 { 3 } else { 5 });
        simulation.run(Duration::from_secs(3));
        let leader = simulation.leader().expect("a leader");
        simulation.inject(leader, Fault::Isolate);
        for id in simulation.ids().into_iter().filter(|id| *id != leader) {
            simulation.inject(id, Fault::Crash);
            simulation.restart(id);
        }
        // Longer than a lease. The invariants are checked after each event.
        simulation.run(Duration::from_secs(2));
        assert_ne!(simulation.leader(), Some(leader), "seed {seed}");
        simulation.heal_network();
        simulation.heal_and_check();
    }
}

/// A leader that restarts is elected again before the election timeout of its followers.
#[test]
fn a_leader_that_restarts_leads_again_before_others_campaign() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, if seed % 2 == 0 { 3 } else { 5 });
        simulation.run(Duration::from_secs(6));
        let leader = simulation.leader().expect("a leader");
        for id in simulation.ids() {
            simulation.inject(id, Fault::Crash);
            simulation.restart(id);
        }
        simulation.run(Timing::default().election_min);
        assert_eq!(simulation.leader(), Some(leader), "seed {seed}");
        simulation.heal_and_check();
    }
}

/// Guards against the loss of an acknowledged change at the end of a day, when two of five disks are
/// lost and every other machine loses power at the same moment.
#[test]
fn an_acknowledged_change_survives_two_lost_disks_while_all_others_lose_power() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, 5);
        simulation.run(Duration::from_secs(5));
        let leader = simulation.leader().expect("a leader");
        simulation.propose(leader);
        // Up to 0.4 s after the change was sent: it is being written, or has just been acknowledged.
        for _ in 0..simulation.random(0..20) {
            simulation.advance_tick();
        }
        let ids = simulation.ids();
        let count = u64::try_from(ids.len()).expect("few replicas");
        let first = simulation.random(0..count);
        let second = (first + simulation.random(1..count)) % count;
        for (id, at) in ids.into_iter().zip(0..count) {
            if at == first || at == second {
                simulation.inject(id, Fault::BlankDisk);
            } else {
                simulation.inject(id, Fault::Crash);
            }
        }
        simulation.heal_and_check();
    }
}

/// Guards against a replica that takes no part any more after its disk was full for a while.
#[test]
fn disks_that_are_full_one_after_another_leave_replicas_that_commit() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut simulation = Simulation::new(seed, 5);
        simulation.run(Duration::from_secs(3));
        for round in 0..8 {
            let leader = simulation.leader().filter(|_| round % 3 != 2);
            let id = leader.unwrap_or_else(|| simulation.random_id());
            // From shorter than an election to longer than one.
            let millis = simulation.random(50..3_000);
            simulation.inject(id, Fault::FillDisk(millis * 1_000));
            for tick in 0..=millis / 20 {
                simulation.advance_tick();
                if let Some(leader) = simulation.leader().filter(|_| tick % 4 == 0) {
                    simulation.propose(leader);
                    simulation.read(leader);
                }
            }
        }
        simulation.check_convergence();
    }
}
