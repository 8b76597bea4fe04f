//! The trefoillock daemon: parses its arguments, loads the settings and runs the configured roles
//! until a signal stops it.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use pico_args::Arguments;
use tokio_util::sync::CancellationToken;
use trefoillock_core::Error;
use trefoillock_process::{
    Clock, LogOutput, Settings, SettingsReloader, SettingsSummary, handle_signals, start_logging,
};
use trefoillock_roles::{Daemon, check_data_folder, init_joining_folder, init_voter_folder};

/// The exit code for malformed arguments or settings and for an unusable data folder.
const EXIT_MALFORMED: u8 = 2;
/// The exit code for a failure while running.
const EXIT_FAILED: u8 = 1;

/// The longest wait at exit for buffered log lines to be written, in case the reader of the log is
/// stuck.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

const HELP: &str = "\
trefoillockd - the daemon of trefoillock

USAGE: trefoillockd [OPTIONS] SETTINGS.json

OPTIONS:
  --check       check the settings and the data folder and stop
  --bootstrap   make the empty data folder that of a first voter of a new system and stop
  --join        make the empty data folder that of a replica that waits to be added and stop
  --help, --version

SIGTERM and SIGINT stop the daemon gracefully; SIGHUP is ignored.

EXIT CODES: 0 stopped gracefully, 1 failed, 2 malformed arguments or settings
";

enum Mode {
    Run,
    Check,
    Bootstrap,
    Join,
}

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        println!("trefoillockd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let mode = match (
        args.contains("--check"),
        args.contains("--bootstrap"),
        args.contains("--join"),
    ) {
        (true, _, _) => Mode::Check,
        (_, true, _) => Mode::Bootstrap,
        (_, _, true) => Mode::Join,
        _ => Mode::Run,
    };
    let file: Result<PathBuf, _> = args.free_from_str();
    let remaining = args.finish();
    match file {
        Ok(file) if remaining.is_empty() => run(&mode, &file),
        Ok(_) => exit_malformed(&format!("unexpected arguments {remaining:?}; see --help")),
        Err(error) => exit_malformed(&format!("{error}; see --help")),
    }
}

fn exit_malformed(message: &str) -> ExitCode {
    eprintln!("trefoillockd: {message}");
    ExitCode::from(EXIT_MALFORMED)
}

fn run(mode: &Mode, file: &std::path::Path) -> ExitCode {
    let settings = match Settings::load(file) {
        Ok(settings) => settings,
        Err(error) => return exit_malformed(&error.to_string()),
    };
    let folder_check = match mode {
        Mode::Bootstrap => return exit_after_setup(init_voter_folder(&settings)),
        Mode::Join => return exit_after_setup(init_joining_folder(&settings)),
        Mode::Check | Mode::Run => check_data_folder(&settings),
    };
    if let Err(error) = folder_check {
        return exit_malformed(&format!("{}: {error}", file.display()));
    }
    match mode {
        Mode::Check => {
            println!("{}: the settings are valid", file.display());
            ExitCode::SUCCESS
        }
        _ => serve(settings, file.to_owned()),
    }
}

fn exit_after_setup(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_malformed(&error.to_string()),
    }
}

fn serve(settings: Settings, file: PathBuf) -> ExitCode {
    let flush = match start_logging(settings.log.level, LogOutput::Stderr, settings.log.format) {
        Ok(flush) => flush,
        Err(error) => return exit_malformed(&error.to_string()),
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("trefoillockd: the runtime cannot be started: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let result = runtime.block_on(async {
        let stop = CancellationToken::new();
        let load = move || match Settings::load(&file) {
            Ok(settings) => Ok(SettingsSummary::from(&settings)),
            Err(error) => Err(error.to_string()),
        };
        let in_force = SettingsSummary::from(&settings);
        let format = settings.log.format;
        let mut reloader = SettingsReloader::new(Clock::start(), format, in_force, load);
        handle_signals(stop.clone(), move || reloader.reload())?;
        let daemon = Daemon::start(settings, stop).await?;
        daemon.run_until_stopped().await
    });
    flush.wait(FLUSH_TIMEOUT);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("trefoillockd: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
