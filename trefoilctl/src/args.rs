//! Parses the command line.

use std::{env, ffi::OsString, net::SocketAddr, path::PathBuf};

use displaydoc::Display;
use pico_args::Arguments;
use trefoillock_core::{ConfigVersion, DataCentre, EditId, MoveId, ReplicaId};
use trefoillock_operator::ReplicaChange;

/// The environment variable with the operator API addresses of the control replicas. `--control`
/// overrides it.
const CONTROL_ENV: &str = "TREFOIL_CONTROL";
/// The environment variable with the path of the token file. `--token-file` overrides it.
const TOKEN_FILE_ENV: &str = "TREFOIL_TOKEN_FILE";

const HELP: &str = "\
trefoilctl - edits the tables of trefoillock and follows its moves

USAGE: trefoilctl [OPTIONS] COMMAND

COMMANDS:
  check FILE                 check tables without any control replica
  diff FILE                  show how tables differ from the present ones
  apply FILE                 replace the tables
      --base VERSION         version of the tables that was edited (default: the present one)
      --id IDENTITY          identity of the edit; a resend uses the same (default: a new one)
      --dry-run              check and compare only
  show routes|pools|members|version
  show tables                the whole tables, with the keys of workspaces, as JSON that `apply` takes
  workspaces                 name, number of keys, priority and quota of each workspace
  moves                      list the moves
      --watch [--move ID]    follow them until all (or the one) have ended
  rollouts                   the latest rollout of each service, and the calls that its version got and may get
  cancel ID                  take a move back
  evacuate DATA-CENTRE       send no calls to the servers of a data centre
  readmit DATA-CENTRE        end the evacuation of a data centre
  status                     which node is at which version, the evacuated data centres and the control replicas
  burn                       service-level burn by route and class
  explain ID [FILE...]       the way of one request through JSON logs (default or -: standard input)
  replicas add ID ADDRESS | promote ID | remove ID

OPTIONS:
  --control ADDR[,ADDR...]   operators' addresses of the control replicas (or TREFOIL_CONTROL)
  --token-file FILE          file with the token (or TREFOIL_TOKEN_FILE)
  --json                     print one JSON object
  --help, --version

EXIT CODES: 0 success, 2 usage or malformed input, 3 refused, 4 conflict, 5 unreachable,
            6 taken back, 7 different
";

/// Why the command line is invalid.
#[derive(Debug, Display)]
pub(crate) enum ArgsError {
    /// a command is missing; see --help
    NoCommand,
    /// {0:?} is not a command; see --help
    UnknownCommand(String),
    /// unexpected arguments {0:?}; see --help
    Unexpected(Vec<OsString>),
    /// {0}
    Malformed(String),
    /// no control replica is named; use `--control` or `TREFOIL_CONTROL`
    NoControl,
}

impl std::error::Error for ArgsError {}

impl From<pico_args::Error> for ArgsError {
    fn from(error: pico_args::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

/// The options that all commands accept.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) token_file: Option<PathBuf>,
    pub(crate) json: bool,
}

/// The argument of `show`.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ShowTarget {
    Routes,
    Pools,
    Tables,
    Members,
    Version,
}

/// A command with its arguments.
#[derive(Debug)]
pub(crate) enum Command {
    Check {
        file: PathBuf,
    },
    Diff {
        file: PathBuf,
    },
    Apply {
        file: PathBuf,
        base: Option<ConfigVersion>,
        id: Option<EditId>,
        dry_run: bool,
    },
    Show(ShowTarget),
    Workspaces,
    Moves,
    Rollouts,
    Watch {
        id: Option<MoveId>,
    },
    Cancel {
        id: MoveId,
    },
    Evacuate {
        data_centre: DataCentre,
    },
    Readmit {
        data_centre: DataCentre,
    },
    Status,
    Burn,
    Replicas(ReplicaChange),
    Explain {
        id: String,
        files: Vec<PathBuf>,
    },
}

/// What the command line asks for.
#[derive(Debug)]
pub(crate) enum Invocation {
    /// Print a text and exit.
    Print(String),
    /// Run a command.
    Run(Options, Command),
}

impl Invocation {
    /// Parses the command line of this process.
    pub(crate) fn from_env() -> Result<Self, ArgsError> {
        Self::parse(Arguments::from_env())
    }

    /// Parses a command line. All commands but `check` and `explain` need a control replica.
    fn parse(mut args: Arguments) -> Result<Self, ArgsError> {
        if args.contains(["-h", "--help"]) {
            return Ok(Self::Print(HELP.to_owned()));
        }
        if args.contains(["-V", "--version"]) {
            return Ok(Self::Print(format!(
                "trefoilctl {}\n",
                env!("CARGO_PKG_VERSION")
            )));
        }
        let options = parse_options(&mut args)?;
        let command = parse_command(&mut args)?;
        let remaining = args.finish();
        let command = match command {
            Command::Explain { id, .. } => {
                let files = remaining.into_iter().map(PathBuf::from).collect();
                return Ok(Self::Run(options, Command::Explain { id, files }));
            }
            other => other,
        };
        if !remaining.is_empty() {
            return Err(ArgsError::Unexpected(remaining));
        }
        if options.control.is_empty() && !matches!(command, Command::Check { .. }) {
            return Err(ArgsError::NoControl);
        }
        Ok(Self::Run(options, command))
    }
}

fn parse_options(args: &mut Arguments) -> Result<Options, ArgsError> {
    let control: Option<String> = args.opt_value_from_str("--control")?;
    let control = control
        .or_else(|| env::var(CONTROL_ENV).ok())
        .unwrap_or_default();
    let addresses = control.split(',').filter(|text| !text.is_empty());
    let addresses = addresses.map(|text| {
        let error = || ArgsError::Malformed(format!("{text:?} is not an IP address and port"));
        text.trim().parse().map_err(|_| error())
    });
    let token_file: Option<PathBuf> = args.opt_value_from_str("--token-file")?;
    Ok(Options {
        control: addresses.collect::<Result<_, _>>()?,
        token_file: token_file.or_else(|| env::var_os(TOKEN_FILE_ENV).map(PathBuf::from)),
        json: args.contains("--json"),
    })
}

fn parse_command(args: &mut Arguments) -> Result<Command, ArgsError> {
    let name = args.subcommand()?.ok_or(ArgsError::NoCommand)?;
    Ok(match name.as_str() {
        "check" => Command::Check {
            file: args.free_from_str()?,
        },
        "diff" => Command::Diff {
            file: args.free_from_str()?,
        },
        "apply" => parse_apply(args)?,
        "show" => Command::Show(parse_show_target(args)?),
        "moves" => parse_moves(args)?,
        "cancel" => Command::Cancel {
            id: MoveId::new(args.free_from_str()?),
        },
        "evacuate" => Command::Evacuate {
            data_centre: parse_data_centre(args)?,
        },
        "readmit" => Command::Readmit {
            data_centre: parse_data_centre(args)?,
        },
        "explain" => Command::Explain {
            id: args.free_from_str()?,
            files: Vec::new(),
        },
        "status" => Command::Status,
        "burn" => Command::Burn,
        "rollouts" => Command::Rollouts,
        "workspaces" => Command::Workspaces,
        "replicas" => Command::Replicas(parse_replicas(args)?),
        _ => return Err(ArgsError::UnknownCommand(name)),
    })
}

fn parse_data_centre(args: &mut Arguments) -> Result<DataCentre, ArgsError> {
    let name: String = args.free_from_str()?;
    DataCentre::try_from(name).map_err(|error| ArgsError::Malformed(error.to_string()))
}

fn parse_apply(args: &mut Arguments) -> Result<Command, ArgsError> {
    let base: Option<u64> = args.opt_value_from_str("--base")?;
    let id: Option<String> = args.opt_value_from_str("--id")?;
    let id = id.map(|id| EditId::try_from(id).map_err(|e| ArgsError::Malformed(e.to_string())));
    let dry_run = args.contains("--dry-run");
    Ok(Command::Apply {
        file: args.free_from_str()?,
        base: base.map(ConfigVersion::new),
        id: id.transpose()?,
        dry_run,
    })
}

fn parse_moves(args: &mut Arguments) -> Result<Command, ArgsError> {
    let watch = args.contains("--watch");
    let id: Option<u64> = args.opt_value_from_str("--move")?;
    match (watch, id) {
        (true, id) => Ok(Command::Watch {
            id: id.map(MoveId::new),
        }),
        (false, None) => Ok(Command::Moves),
        (false, Some(_)) => Err(ArgsError::Malformed("--move goes with --watch".to_owned())),
    }
}

fn parse_show_target(args: &mut Arguments) -> Result<ShowTarget, ArgsError> {
    let name: String = args.free_from_str()?;
    match name.as_str() {
        "routes" => Ok(ShowTarget::Routes),
        "pools" => Ok(ShowTarget::Pools),
        "tables" => Ok(ShowTarget::Tables),
        "members" => Ok(ShowTarget::Members),
        "version" => Ok(ShowTarget::Version),
        _ => Err(ArgsError::Malformed(format!(
            "{name:?} is not one of routes, pools, tables, members, version"
        ))),
    }
}

fn parse_replicas(args: &mut Arguments) -> Result<ReplicaChange, ArgsError> {
    let name: String = args.free_from_str()?;
    let id = ReplicaId::new(args.free_from_str()?);
    match name.as_str() {
        "add" => Ok(ReplicaChange::Add {
            id,
            address: args.free_from_str()?,
        }),
        "promote" => Ok(ReplicaChange::Promote { id }),
        "remove" => Ok(ReplicaChange::Remove { id }),
        _ => Err(ArgsError::Malformed(format!(
            "{name:?} is not one of add, promote, remove"
        ))),
    }
}
