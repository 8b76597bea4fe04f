//! Measures the distribution of the configuration and the list of members, and compares it with the
//! naive baseline.
//!
//! ```sh
//! cargo run --release --example control            # 50, 200, 400 and 1,600 nodes
//! cargo run --release --example control -- --json
//! cargo run --release --example control -- --nodes 200
//! ```
//!
//! The state machines of all nodes run in one process on an in-memory network in virtual time. The
//! network models latencies and links of 1 Gbit/s. Fleets of up to 200 nodes are also measured over
//! real sockets.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "figures for people to read"
)]

mod figures;
mod process;
mod sockets;
mod virtual_fleet;

use serde::Serialize;

use crate::{
    figures::{SocketFigures, VirtualFigures},
    process::Stopwatch,
};

/// The numbers of nodes of the fleets on the in-memory network.
const VIRTUAL_SIZES: [usize; 4] = [50, 200, 400, 1_600];
/// The numbers of nodes of the fleets over real sockets.
const SOCKET_SIZES: [usize; 2] = [50, 200];

#[derive(Debug, Serialize)]
struct Report {
    virtual_time: Vec<VirtualFigures>,
    real_sockets: Vec<SocketFigures>,
    elapsed_s: f64,
}

fn main() {
    let mut args = pico_args::Arguments::from_env();
    let is_json = args.contains("--json");
    let only: Option<usize> = args.opt_value_from_str("--nodes").unwrap_or_default();
    let watch = Stopwatch::start();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let sockets = SOCKET_SIZES
        .into_iter()
        .filter(|size| only.is_none_or(|only| only == *size));
    let real_sockets = sockets
        .map(|size| runtime.block_on(sockets::measure(size)))
        .collect();
    let sizes = VIRTUAL_SIZES
        .into_iter()
        .filter(|size| only.is_none_or(|only| only == *size));
    let virtual_time = sizes.map(virtual_fleet::measure).collect();
    let report = Report {
        virtual_time,
        real_sockets,
        elapsed_s: watch.elapsed().as_secs_f64(),
    };
    if is_json {
        let json = serde_json::to_string_pretty(&report);
        println!("{}", json.unwrap_or_default());
    } else {
        figures::print(&report.virtual_time, &report.real_sockets);
        println!("\nelapsed: {:.1} s", report.elapsed_s);
    }
}
