//! The command-line client of trefoillock for operators.
//!
//! It parses the command line, calls the control replicas through `trefoillock-operator`, prints
//! their responses and reports the result in its exit code.

mod args;
mod commands;
mod exit;
mod render;
mod watch;

use std::process::ExitCode;

use crate::{args::Invocation, exit::Exit};

fn main() -> ExitCode {
    let exit = match Invocation::from_env() {
        Ok(Invocation::Print(text)) => {
            print!("{text}");
            Exit::Success
        }
        Ok(Invocation::Run(options, command)) => run(options, command),
        Err(error) => {
            eprintln!("trefoilctl: {error}");
            Exit::Usage
        }
    };
    ExitCode::from(exit.code())
}

fn run(options: args::Options, command: args::Command) -> Exit {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(commands::run(options, command)),
        Err(error) => {
            eprintln!("trefoilctl: the runtime cannot be started: {error}");
            Exit::Unreachable
        }
    }
}
