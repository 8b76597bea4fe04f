//! False-alarm rate and power of the sequential test, over seeded random runs.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_moves::{Comparison, Sample};

/// Significance level in these runs, higher than in production so that enough alarms occur to be
/// counted.
const LEVEL: f64 = 0.02;
const RUNS: u64 = 1_000;
const WINDOWS: u32 = 300;

fn events(rng: &mut Pcg64Mcg, calls: u64, rate: f64) -> u64 {
    (0..calls)
        .map(|_| u64::from(rng.random::<f64>() < rate))
        .sum()
}

/// Runs the test over windows whose share and common event rate change, and returns the index of
/// the window with the first alarm, if any.
fn first_alarm(seed: u64, ratio: f64) -> Option<u32> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut comparison = Comparison::new();
    for window in 0..WINDOWS {
        let new_calls = rng.random_range(0..20);
        let old_calls = rng.random_range(0..40);
        let rate = if window % 50 < 10 { 0.2 } else { 0.01 };
        comparison.add(Sample {
            old_calls,
            old_events: events(&mut rng, old_calls, rate),
            new_calls,
            new_events: events(&mut rng, new_calls, f64::min(rate * ratio, 1.0)),
        });
        if comparison.log_evidence() >= -LEVEL.ln() {
            return Some(window);
        }
    }
    None
}

#[test]
#[expect(clippy::cast_precision_loss)]
fn false_alarms_stay_within_the_significance_level() {
    let alarms = (0..RUNS).filter(|seed| first_alarm(*seed, 1.0).is_some());
    let alarms = alarms.count() as f64;
    assert!(
        alarms <= LEVEL * RUNS as f64,
        "{alarms} alarms in {RUNS} runs"
    );
}

#[test]
fn a_version_that_fails_ten_times_as_often_is_always_found() {
    let missed = (0..200).filter(|seed| first_alarm(*seed, 10.0).is_none());
    assert_eq!(missed.count(), 0);
}

#[test]
fn windows_with_calls_of_only_one_pool_are_no_evidence() {
    let mut comparison = Comparison::new();
    comparison.add(Sample {
        new_calls: 1_000,
        new_events: 1_000,
        ..Sample::default()
    });
    assert!(comparison.log_evidence() <= 0.0);
}
