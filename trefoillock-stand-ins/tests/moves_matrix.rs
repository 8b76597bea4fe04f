//! Simulates moves for versions and faults in virtual time: moves to good versions must be done by
//! their deadline, and moves to bad versions taken back from a small share.

use std::time::Duration;

use trefoillock_stand_ins::move_simulation::{Controller, Fault, Scenario, Tally, Version, run};

/// The number of seeds for each combination of parameters.
const SEEDS: u64 = 2;

fn tally(version: Version, fault: Fault, rate: u32, deadline_s: u64) -> Tally {
    let mut tally = Tally::default();
    for seed in 0..SEEDS {
        let scenario = Scenario {
            version,
            fault,
            rate,
            deadline: Duration::from_secs(deadline_s),
            seed,
        };
        tally.add(&run(&scenario, Controller::Ours));
    }
    tally
}

fn assert_good_targets(fault: Fault, rate: u32, deadline_s: u64) {
    let tally = tally(Version::Good, fault, rate, deadline_s);
    assert!(
        tally.meets_good_targets(),
        "{fault:?}, {rate} calls/s, {deadline_s} s: {tally:?}"
    );
}

/// The missed targets of a bad version, apart from the time to zero share.
fn bad_misses(version: Version, fault: Fault, rate: u32, deadline_s: u64) -> Vec<String> {
    let tally = tally(version, fault, rate, deadline_s);
    let misses = tally.missed_bad_targets(version.is_bad_at_once());
    let misses = misses.into_iter().filter(|miss| *miss != "time to zero");
    misses
        .map(|miss| format!("{version:?} {fault:?} misses {miss}"))
        .collect()
}

#[test]
fn good_versions_are_done_within_five_minutes_under_every_fault() {
    for fault in Fault::ALL {
        assert_good_targets(fault, 20, 300);
    }
}

#[test]
fn good_versions_are_done_within_a_minute() {
    let fault_exceeds_deadline =
        |fault: &Fault| matches!(fault, Fault::RegionCut | Fault::LeaderChanges);
    for fault in Fault::ALL
        .into_iter()
        .filter(|f| !fault_exceeds_deadline(f))
    {
        assert_good_targets(fault, 20, 60);
    }
}

#[test]
fn routes_with_few_calls_are_done_in_time() {
    for fault in Fault::ALL {
        assert_good_targets(fault, 1, 300);
    }
}

#[test]
fn a_bad_health_endpoint_takes_no_good_version_back() {
    let tally = tally(Version::GoodWithBadHealth, Fault::None, 20, 300);
    assert!(tally.meets_good_targets(), "{tally:?}");
}

#[test]
fn bad_versions_are_taken_back_from_a_small_share() {
    let mut misses = Vec::new();
    for version in Version::BAD {
        for fault in Fault::ALL
            .into_iter()
            .filter(|f| *f != Fault::OldOverloaded)
        {
            misses.extend(bad_misses(version, fault, 50, 300));
        }
    }
    assert!(misses.is_empty(), "{misses:#?}");
}

#[test]
fn the_naive_baseline_takes_no_bad_version_back() {
    let scenario = Scenario {
        version: Version::FailsAtOnce,
        fault: Fault::None,
        rate: 20,
        deadline: Duration::from_mins(1),
        seed: 0,
    };
    assert!(!run(&scenario, Controller::Naive).is_bad_taken_back());
    assert!(run(&scenario, Controller::Ours).is_bad_taken_back());
}
