//! Prints how many of the simulated rollouts complete, by disturbance, behaviour of the new version and rate
//! of calls.

#[path = "../tests/rollouts/harness.rs"]
mod harness;

use trefoillock_core::RolloutState;

use crate::harness::{RATES, behaviours, disturbances, run};

/// Runs of each cell.
const SEEDS: u64 = 200;

fn main() {
    print!("completed of {SEEDS} runs, calls/s:                 ");
    for rate in RATES {
        print!(" {rate:>4}");
    }
    println!();
    for (disturbance_name, disturbance) in disturbances() {
        for (behaviour_name, behaviour) in behaviours() {
            print!("{disturbance_name:24} {behaviour_name:24}");
            for rate in RATES {
                let outcomes = (0..SEEDS).map(|seed| run(rate, behaviour, disturbance, seed));
                let completed = outcomes.filter(|outcome| {
                    outcome.assert_within_limits(behaviour_name);
                    outcome.state == RolloutState::Completed
                });
                print!(" {:>4}", completed.count());
            }
            println!();
        }
    }
}
