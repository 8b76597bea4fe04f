//! Measures simulated moves for each version, fault, call rate and deadline, and compares the
//! decision code of trefoillock with the naive baseline on the same seeds.
//!
//! `cargo run --release --example moves -- [--json] [--runs N] [--threads N] [--only WORD]`

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};

use serde_json::json;
use trefoillock_stand_ins::move_simulation::{
    Controller, Fault, Scenario, Tally, Version, quantile, run,
};

/// The default number of runs of each cell.
const DEFAULT_RUNS: u64 = 20;
/// The default number of threads, low because the machine is shared with other work.
const DEFAULT_THREADS: usize = 3;
/// The deadlines of the moves, in seconds.
const DEADLINES_S: [u64; 3] = [60, 300, 1_800];
/// The call rates, in calls per second on each route.
const CALL_RATES: [u32; 4] = [1, 20, 100, 500];
/// The deadline from which the highest rate is skipped to limit the measuring time, in seconds.
const LONG_DEADLINE_S: u64 = 1_800;

/// One combination of parameters; its runs differ in their seeds.
#[derive(Clone, Copy)]
struct Cell {
    version: Version,
    fault: Fault,
    rate: u32,
    deadline: u64,
}

impl Cell {
    fn name(&self) -> String {
        format!(
            "{:?}/{:?}/{}cps/{}s",
            self.version, self.fault, self.rate, self.deadline
        )
    }

    fn tally(&self, runs: u64, controller: Controller) -> Tally {
        let mut tally = Tally::default();
        for seed in 0..runs {
            let scenario = Scenario {
                version: self.version,
                fault: self.fault,
                rate: self.rate,
                deadline: Duration::from_secs(self.deadline),
                seed,
            };
            tally.add(&run(&scenario, controller));
        }
        tally
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = pico_args::Arguments::from_env();
    let is_json = args.contains("--json");
    let runs = args.opt_value_from_str("--runs")?.unwrap_or(DEFAULT_RUNS);
    let threads = args
        .opt_value_from_str("--threads")?
        .unwrap_or(DEFAULT_THREADS);
    let only: Option<String> = args.opt_value_from_str("--only")?;
    let cells: Vec<Cell> = cells()
        .into_iter()
        .filter(|cell| only.as_ref().is_none_or(|word| cell.name().contains(word)))
        .collect();
    let results = measure(&cells, runs, threads);
    if is_json {
        print_json(&cells, &results);
    } else {
        print_table(&cells, &results);
    }
    Ok(())
}

/// All cells: good and bad versions under every fault, and a good version with a bad health
/// endpoint without faults.
fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for deadline in DEADLINES_S {
        let is_skipped =
            |rate: &u32| deadline >= LONG_DEADLINE_S && *rate == CALL_RATES[CALL_RATES.len() - 1];
        for rate in CALL_RATES.into_iter().filter(|rate| !is_skipped(rate)) {
            for fault in Fault::ALL {
                let versions = [Version::Good].into_iter().chain(Version::BAD);
                cells.extend(versions.map(|version| Cell {
                    version,
                    fault,
                    rate,
                    deadline,
                }));
            }
            cells.push(Cell {
                version: Version::GoodWithBadHealth,
                fault: Fault::None,
                rate,
                deadline,
            });
        }
    }
    cells
}

/// Runs all cells on a number of threads and returns the tallies of trefoillock and the baseline
/// for each.
fn measure(cells: &[Cell], runs: u64, threads: usize) -> Vec<(Tally, Tally)> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let at = next.fetch_add(1, Ordering::Relaxed);
            let Some(cell) = cells.get(at) else {
                return done;
            };
            let ours = cell.tally(runs, Controller::Ours);
            let naive = cell.tally(runs.min(3), Controller::Naive);
            done.push((at, (ours, naive)));
        }
    };
    let mut results: Vec<_> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        let joined = workers.into_iter().filter_map(|worker| worker.join().ok());
        joined.flatten().collect()
    });
    results.sort_by_key(|(at, _)| *at);
    results.into_iter().map(|(_, tallies)| tallies).collect()
}

/// The names of the targets that trefoillock missed in a cell.
fn missed_targets(cell: &Cell, tally: &Tally) -> Vec<&'static str> {
    if cell.version.is_bad() {
        return tally.missed_bad_targets(cell.version.is_bad_at_once());
    }
    let checks = [
        (tally.done_in_time == tally.runs, "done in time"),
        (tally.judged_bad == 0, "judged bad"),
    ];
    let missed = checks.into_iter().filter(|(is_met, _)| !is_met);
    missed.map(|(_, name)| name).collect()
}

/// Prints one row for each deadline, rate and version, summed over the faults, then every cell
/// that misses a target, then the totals.
fn print_table(cells: &[Cell], results: &[(Tally, Tally)]) {
    let mut rows: BTreeMap<(u64, u32, Version), (Tally, Tally)> = BTreeMap::new();
    for (cell, (ours, naive)) in cells.iter().zip(results) {
        let row = rows
            .entry((cell.deadline, cell.rate, cell.version))
            .or_default();
        row.0.merge(ours);
        row.1.merge(naive);
    }
    for ((deadline, rate, version), (ours, naive)) in &rows {
        println!("{version:?}, {rate} calls/s a route, deadline {deadline} s, all faults");
        println!("    ours   {}", format_tally(*version, ours));
        println!("    naive  {}", format_tally(*version, naive));
    }
    let mut missed_cells = 0;
    for (cell, (ours, _)) in cells.iter().zip(results) {
        let missed = missed_targets(cell, ours);
        if !missed.is_empty() {
            missed_cells += 1;
            let missed = missed.join(", ");
            println!(
                "MISS {}: {missed}: {}",
                cell.name(),
                format_tally(cell.version, ours)
            );
        }
    }
    println!("{missed_cells} of {} cells miss a target", cells.len());
    print_totals(cells, results);
}

fn format_tally(version: Version, tally: &Tally) -> String {
    let runs = tally.runs;
    if version.is_bad() {
        return format!(
            "taken back {:>3}/{runs} shown {:>3}/{runs} share {:>6.3}% zero p50 {:>5.1} s max {:>5.1} s postings/run {:>6.1}",
            tally.bad_taken_back,
            tally.shown,
            tally.bad_share() * 100.0,
            quantile(&tally.zero_seconds, 0.5),
            quantile(&tally.zero_seconds, 1.0),
            per_run(tally.bad_postings, runs),
        );
    }
    format!(
        "done in time {:>3}/{runs} judged bad {:>3}/{runs} time of deadline p50 {:>4.0}% max {:>4.0}%",
        tally.done_in_time,
        tally.judged_bad,
        quantile(&tally.parts_of_deadline, 0.5) * 100.0,
        quantile(&tally.parts_of_deadline, 1.0) * 100.0,
    )
}

#[expect(clippy::cast_precision_loss)]
fn per_run(count: u64, runs: u64) -> f64 {
    count as f64 / runs.max(1) as f64
}

/// Prints the totals of good and bad versions for trefoillock and for the baseline, the figures by
/// which users compare the two.
fn print_totals(cells: &[Cell], results: &[(Tally, Tally)]) {
    for (name, is_naive) in [("ours", false), ("naive", true)] {
        let (mut good, mut bad) = (Tally::default(), Tally::default());
        for (cell, (ours, naive)) in cells.iter().zip(results) {
            let tally = if is_naive { naive } else { ours };
            let sum = if cell.version.is_bad() {
                &mut bad
            } else {
                &mut good
            };
            sum.merge(tally);
        }
        println!(
            "{name}: good done in time {}/{}, good judged bad {}/{}; bad taken back {}/{}, share of calls {:.3}%, time to zero p50 {:.1} s p99 {:.1} s, postings {}",
            good.done_in_time,
            good.runs,
            good.judged_bad,
            good.runs,
            bad.bad_taken_back,
            bad.runs,
            bad.bad_share() * 100.0,
            quantile(&bad.zero_seconds, 0.5),
            quantile(&bad.zero_seconds, 0.99),
            bad.bad_postings,
        );
    }
}

fn print_json(cells: &[Cell], results: &[(Tally, Tally)]) {
    let rows: Vec<_> = cells
        .iter()
        .zip(results)
        .map(|(cell, (ours, naive))| {
            json!({ "cell": cell.name(), "missed": missed_targets(cell, ours), "ours": ours, "naive": naive })
        })
        .collect();
    println!("{}", json!(rows));
}
