//! Simulated rollouts of a few seconds: good versions complete before the deadline, bad versions
//! are rolled back within their exposure limit.

mod harness;

use std::time::Duration;

use trefoillock_core::RolloutState;

use crate::harness::{
    Behaviour, CALM, DURATION, Disturbance, EVIDENCE_DELAY_STEPS, Effect, GOOD, LATE_BURST,
    LEADER_PAUSE, LONG_EVIDENCE_DELAY_STEPS, LOST_UNTIL, RATES, SLOW, behaviours, disturbances,
    half, run,
};

#[test]
fn rollouts_of_good_versions_complete_before_the_deadline() {
    for rate in [15.0, 60.0, 290.0, 600.0] {
        for seed in 0..40 {
            let outcome = run(rate, GOOD, CALM, seed);
            assert_eq!(
                outcome.state,
                RolloutState::Completed,
                "{rate}/s, seed {seed}"
            );
            assert!(outcome.at < DURATION, "{rate}/s, seed {seed}");
        }
    }
}

/// Asserts that a version is rolled back, after no more calls than the users' rule allows.
fn assert_rolled_back(rate: f64, behaviour: Behaviour, disturbance: Disturbance, case: &str) {
    for seed in 0..40 {
        let outcome = run(rate, behaviour, disturbance, seed);
        let case = format!("{case}, {rate}/s, seed {seed}");
        assert_eq!(outcome.state, RolloutState::RolledBack, "{case}");
        outcome.assert_within_limits(&case);
    }
}

#[test]
fn bad_versions_are_rolled_back_within_the_exposure_limit() {
    let late = Duration::from_secs(6);
    let all_slow = Behaviour {
        affected: 1.0,
        ..half(SLOW, Duration::ZERO, 0.0)
    };
    let cases = [
        ("errors at once", half(Effect::Fails, Duration::ZERO, 0.0)),
        ("errors late", half(Effect::Fails, late, 0.0)),
        ("slow", all_slow),
    ];
    for rate in [60.0, 290.0, 600.0] {
        for (name, behaviour) in cases {
            assert_rolled_back(rate, behaviour, CALM, name);
        }
    }
}

#[test]
fn a_version_that_is_slow_for_half_of_its_calls_is_rolled_back() {
    for rate in [35.0, 60.0, 290.0, 600.0] {
        let behaviour = half(SLOW, Duration::ZERO, 0.0);
        assert_rolled_back(rate, behaviour, CALM, "half slow");
    }
}

#[test]
fn a_version_that_fails_only_at_the_full_share_is_not_completed() {
    let far = Disturbance {
        evidence_delay_steps: LONG_EVIDENCE_DELAY_STEPS,
        ..CALM
    };
    let behaviour = half(Effect::Fails, Duration::ZERO, 1.0);
    for rate in [35.0, 60.0] {
        assert_rolled_back(rate, behaviour, far, "fails at the full share, far");
    }
    for rate in [35.0, 60.0, 290.0, 600.0] {
        assert_rolled_back(rate, behaviour, CALM, "fails at the full share");
    }
}

#[test]
fn a_restart_of_the_leader_does_not_move_the_deadline_of_a_rollout() {
    for seconds in [2, 5, 9, 12] {
        let restarted = Disturbance {
            restart_at: Some(Duration::from_secs(seconds)),
            ..CALM
        };
        for seed in 0..40 {
            let outcome = run(60.0, GOOD, restarted, seed);
            let case = format!("restart after {seconds} s, seed {seed}");
            assert_eq!(outcome.state, RolloutState::Completed, "{case}");
            assert!(outcome.at < DURATION, "{case}");
        }
    }
}

#[test]
fn a_restart_of_the_leader_does_not_let_a_bad_version_pass() {
    for seconds in [5, 9, 12, 14, 15] {
        let restarted = Disturbance {
            restart_at: Some(Duration::from_secs(seconds)),
            ..CALM
        };
        for rate in [15.0, 35.0, 290.0] {
            let late = Duration::from_secs(seconds - 1);
            let behaviour = half(Effect::Fails, late, 0.0);
            let case = format!("fails 1 s before a restart after {seconds} s");
            assert_rolled_back(rate, behaviour, restarted, &case);
        }
    }
}

/// Half of the calls fail from a time on, or only at the full share.
const FAILS_LATE: [(&str, Behaviour); 3] = [
    (
        "fails from 6 s on",
        half(Effect::Fails, Duration::from_secs(6), 0.0),
    ),
    (
        "fails from 13 s on",
        half(Effect::Fails, Duration::from_secs(13), 0.0),
    ),
    (
        "fails at the full share",
        half(Effect::Fails, Duration::ZERO, 1.0),
    ),
];

fn assert_limit_kept(disturbance: Disturbance, rates: &[f64]) {
    for rate in rates {
        for (name, behaviour) in FAILS_LATE {
            assert_rolled_back(*rate, behaviour, disturbance, name);
        }
    }
}

#[test]
fn a_leader_that_stands_still_does_not_let_a_bad_version_exceed_its_limit() {
    let paused = Disturbance {
        leader_pause: LEADER_PAUSE,
        ..CALM
    };
    assert_limit_kept(paused, &[8.0, 35.0, 64.0, 290.0]);
}

#[test]
fn a_late_burst_does_not_let_a_bad_version_exceed_its_limit() {
    for evidence_delay_steps in [EVIDENCE_DELAY_STEPS, LONG_EVIDENCE_DELAY_STEPS] {
        let burst = Disturbance {
            evidence_delay_steps,
            burst_at: LATE_BURST,
            ..CALM
        };
        assert_limit_kept(burst, &[8.0, 35.0, 64.0, 290.0]);
    }
}

#[test]
fn missing_evidence_does_not_let_a_bad_version_exceed_its_limit() {
    for leader_pause in [(Duration::ZERO, Duration::ZERO), LEADER_PAUSE] {
        let silent = Disturbance {
            evidence_lost_until: LOST_UNTIL,
            leader_pause,
            ..CALM
        };
        assert_limit_kept(silent, &[8.0, 35.0, 64.0, 290.0]);
    }
}

#[test]
fn a_bad_version_does_not_complete_beside_old_versions_that_fail_as_often() {
    for old_failure_rate in [0.3, 0.7] {
        let failing = Disturbance {
            old_failure_rate,
            ..CALM
        };
        assert_limit_kept(failing, &[8.0, 35.0, 64.0, 290.0]);
    }
}

#[test]
fn a_good_version_completes_beside_old_versions_that_fail() {
    let failing = Disturbance {
        old_failure_rate: 0.7,
        ..CALM
    };
    for rate in [60.0, 290.0, 600.0] {
        for seed in 0..40 {
            let outcome = run(rate, GOOD, failing, seed);
            let case = format!("{rate}/s, seed {seed}");
            assert_eq!(outcome.state, RolloutState::Completed, "{case}");
        }
    }
}

#[test]
fn a_node_that_lags_behind_does_not_keep_a_good_version_from_completing() {
    let lagging = Disturbance {
        has_converged: false,
        ..CALM
    };
    for rate in [60.0, 290.0, 600.0] {
        for seed in 0..40 {
            let outcome = run(rate, GOOD, lagging, seed);
            let case = format!("{rate}/s, seed {seed}");
            assert_eq!(outcome.state, RolloutState::Completed, "{case}");
        }
    }
}

#[test]
fn failures_that_end_before_good_calls_do_not_make_a_good_version_look_bad() {
    let slow = Disturbance {
        old_failure_rate: 0.01,
        good_calls_late_steps: 2,
        ..CALM
    };
    let no_worse = Behaviour {
        affected: 0.006,
        ..GOOD
    };
    for rate in [290.0, 600.0] {
        for seed in 0..40 {
            let outcome = run(rate, no_worse, slow, seed);
            let case = format!("{rate}/s, seed {seed}");
            assert_eq!(outcome.state, RolloutState::Completed, "{case}");
        }
    }
}

#[test]
fn a_good_version_that_fails_as_often_as_the_old_one_passes_its_canary() {
    let slow = Disturbance {
        old_failure_rate: 0.015,
        good_calls_late_steps: 2,
        ..CALM
    };
    let no_worse = Behaviour {
        affected: 0.015,
        ..GOOD
    };
    for rate in [290.0, 600.0] {
        for seed in 0..40 {
            let outcome = run(rate, no_worse, slow, seed);
            let case = format!("{rate}/s, seed {seed}");
            assert_eq!(outcome.state, RolloutState::Completed, "{case}");
        }
    }
}

#[test]
fn small_limits_are_kept_and_still_tell_bad_versions() {
    for max_exposure in [(0.0, 0), (0.1, 0), (0.05, 20), (0.0, 30)] {
        let strict = Disturbance {
            max_exposure,
            ..CALM
        };
        assert_limit_kept(strict, &[8.0, 64.0, 290.0]);
    }
}

#[test]
fn no_disturbance_lets_a_version_exceed_its_limits_before_it_completes() {
    for (disturbance_name, disturbance) in disturbances() {
        for (behaviour_name, behaviour) in behaviours() {
            for rate in RATES {
                for seed in 0..4 {
                    let outcome = run(rate, behaviour, disturbance, seed);
                    outcome.assert_within_limits(&format!(
                        "{disturbance_name}, {behaviour_name}, {rate}/s, seed {seed}"
                    ));
                }
            }
        }
    }
}
