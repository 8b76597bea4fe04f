//! Measures calls through trefoillock and through the naive version, side by side in one run on
//! loopback: added latency, calls a second for each core, memory, goodput under overload, and
//! what goes wrong under a mix of faults.
//!
//! `cargo run --release --example calls [-- --json]`

mod bare_relay;
mod faults;
mod latency;
mod memory;
mod mesh;
mod overload;
mod throughput;

use std::error::Error;

use serde::Serialize;

/// All figures of a run.
#[derive(Debug, Serialize)]
struct Figures {
    latency: latency::Figures,
    throughput: throughput::Figures,
    memory: memory::Figures,
    overload: overload::Figures,
    faults: faults::Figures,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    let json = args.contains("--json");
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments: {rest:?}").into());
    }
    let figures = Figures {
        memory: memory::measure()?,
        latency: latency::measure().await?,
        throughput: throughput::measure().await?,
        overload: overload::measure().await?,
        faults: faults::measure().await?,
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
    } else {
        figures.latency.print();
        figures.throughput.print();
        figures.memory.print();
        figures.overload.print();
        figures.faults.print();
    }
    Ok(())
}
