//! Simulates backend servers that state limits on their rate of calls, or that they leave, with
//! faults drawn from seeds, and prints each broken bound with its seed.
//!
//! `cargo run --release --example server_limits -- [--seeds N] [--first SEED]`

use std::error::Error;

use trefoillock_stand_ins::limit_simulation::{Outcome, Scenario, run};

/// The default number of seeds.
const DEFAULT_SEEDS: u64 = 100;

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    let seeds = args.opt_value_from_str("--seeds")?.unwrap_or(DEFAULT_SEEDS);
    let first: u64 = args.opt_value_from_str("--first")?.unwrap_or(0);
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unexpected arguments {rest:?}").into());
    }
    let mut is_broken = false;
    for (name, scenario) in [
        ("steady limits", Scenario::steady as fn(u64) -> Scenario),
        ("faults", Scenario::with_faults),
    ] {
        for learns in [false, true] {
            let mut total = Outcome::default();
            for seed in first..first.saturating_add(seeds) {
                total.add(&run(&scenario(seed).entries_learn(learns)));
            }
            let how = if learns {
                "entries learn the limits"
            } else {
                "entries do not learn the limits, for comparison"
            };
            println!("{name}, {seeds} seeds, {how}: {total}");
            is_broken |= learns && !total.broken.is_empty();
        }
    }
    if is_broken {
        return Err("a bound was broken".into());
    }
    Ok(())
}
