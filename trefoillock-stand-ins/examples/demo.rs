//! Runs a complete system on loopback in one process: three control replicas, the nodes of three
//! data centres, backend servers and callers. Two routes move, faults are injected, and each
//! promise is checked. The exit code is 0 only if every promise was kept.
//!
//! `cargo run --release --example demo [-- --siamledger] [--json]`

use std::{path::Path, process::ExitCode};

use pico_args::Arguments;
use trefoillock_stand_ins::demo::{self, Firm};

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    let firm = if args.contains("--siamledger") {
        Firm::Siamledger
    } else {
        Firm::Swanreach
    };
    let json = args.contains("--json");
    let rest = args.finish();
    if !rest.is_empty() {
        eprintln!("demo: unexpected arguments {rest:?}; expected --siamledger or --json");
        return ExitCode::from(2);
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("demo: the runtime cannot be started: {error}");
            return ExitCode::FAILURE;
        }
    };
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let progress = |line: &str| eprintln!("  {line}");
    match runtime.block_on(demo::run(firm, &examples, progress)) {
        Ok(report) => {
            match serde_json::to_string(&report) {
                Ok(text) if json => println!("{text}"),
                _ => print!("{}", report.to_text()),
            }
            if report.is_kept() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}
