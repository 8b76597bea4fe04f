//! Compares calls through trefoillock with calls through the naive proxy on loopback: added
//! latency, calls per second and core, memory, goodput under overload, and errors under a mix of
//! faults.
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

/// All figures of a run, as printed in JSON.
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
        return Err(format!("unexpected arguments {rest:?}; expected --json").into());
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
