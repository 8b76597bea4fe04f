//! A stand-in backend server that announces itself to a node. On Ctrl-C it tells the node that it
//! drains, and exits.
//!
//! `cargo run --release --example backend_server -- --node ADDRESS --service NAME --version LABEL
//! [--fail-every N]`

use std::{net::SocketAddr, process::ExitCode, sync::Arc};

use pico_args::Arguments;
use trefoillock_stand_ins::{
    announcer::Announcer,
    backend_server::{BackendServer, BackendServerConfig, RunCounter},
};

struct Args {
    node: SocketAddr,
    service: String,
    version: String,
    fail_every: u64,
}

fn parse() -> Result<Args, pico_args::Error> {
    let mut args = Arguments::from_env();
    Ok(Args {
        node: args.value_from_str("--node")?,
        service: args.value_from_str("--service")?,
        version: args.value_from_str("--version")?,
        fail_every: args.opt_value_from_str("--fail-every")?.unwrap_or(0),
    })
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = match parse() {
        Ok(args) => args,
        Err(error) => {
            eprintln!("backend_server: {error}");
            return ExitCode::from(2);
        }
    };
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("backend_server: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<(), Box<dyn std::error::Error>> {
    let config =
        BackendServerConfig::new(&args.service, &args.version)?.fail_every(args.fail_every);
    let server = Arc::new(BackendServer::start(config, RunCounter::new()).await?);
    println!("{} {} on {}", args.service, args.version, server.address());
    let announcer = Announcer::start(server, args.node);
    tokio::signal::ctrl_c().await?;
    announcer.drain().await;
    Ok(())
}
