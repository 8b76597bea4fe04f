//! Runs the commands and maps their results to exit codes.

use std::{
    fs,
    io::{self, BufReader},
    path::{Path, PathBuf},
    time::Duration,
};

use serde::Serialize;
use serde_json::Value;
use trefoillock_core::{ConfigVersion, EditAnswer, EditId, EditRefusal, RawTables, Tables};
use trefoillock_operator::{
    ApiErrorKind, CheckReport, ClientError, EditReport, EditRequest, OperatorClient, TablesReport,
};
use trefoillock_process::{LogLines, read_secret};
use trefoillock_rpc::Token;
use trefoillock_store::CancelAnswer;

use crate::{
    args::{Command, Options, ShowTarget},
    exit::Exit,
    render, watch,
};

/// The file argument that stands for standard input.
const STDIN_ARGUMENT: &str = "-";
/// The text in place of a key. With its space it is not valid as a key.
const HIDDEN_KEY: &str = "(key hidden)";
/// The time between two requests for the moves while watching them.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// The exit code of a failed command and its error message.
struct Failure(Exit, String);

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Self {
        let exit = match &error {
            ClientError::Unreachable(_) => Exit::Unreachable,
            ClientError::Api(api) if api.kind == ApiErrorKind::BadRequest => Exit::Usage,
            ClientError::Api(_) => Exit::Refused,
        };
        Self(exit, error.to_string())
    }
}

type CommandResult = Result<Exit, Failure>;

/// Runs a command and prints its result.
pub(crate) async fn run(options: Options, command: Command) -> Exit {
    match dispatch(&options, command).await {
        Ok(exit) => exit,
        Err(Failure(exit, message)) => {
            eprintln!("trefoilctl: {message}");
            exit
        }
    }
}

async fn dispatch(options: &Options, command: Command) -> CommandResult {
    let token = match &options.token_file {
        Some(file) => {
            let secret = read_secret(file).map_err(|e| Failure(Exit::Usage, e.to_string()))?;
            Token::new(&secret)
        }
        None => Token::none(),
    };
    let client = OperatorClient::new(options.control.clone(), token);
    let json = options.json;
    match command {
        Command::Check { file } => check(&file, json),
        Command::Diff { file }
        | Command::Apply {
            file,
            dry_run: true,
            ..
        } => diff(&client, &file, json).await,
        Command::Apply {
            file,
            base,
            id,
            dry_run: false,
        } => apply(&client, &file, base, id, json).await,
        Command::Show(target) => show(&client, target, json).await,
        Command::Workspaces => print(json, &client.workspaces().await?, render::workspaces),
        Command::Moves => print(json, &client.moves().await?, render::moves),
        Command::Rollouts => print(json, &client.rollouts().await?, render::rollouts),
        Command::Watch { id } => Ok(watch::watch(&client, id, json, WATCH_INTERVAL).await?),
        Command::Cancel { id } => {
            let report = client.cancel(id).await?;
            print(json, &report, |report| render::cancel(report.answer))?;
            Ok(match report.answer {
                CancelAnswer::TakenBack => Exit::Success,
                CancelAnswer::AlreadyEnded | CancelAnswer::Unknown => Exit::Refused,
            })
        }
        Command::Evacuate { data_centre } => {
            let report = client.start_evacuation(&data_centre).await?;
            print(json, &report, render::evacuations)
        }
        Command::Readmit { data_centre } => {
            let report = client.finish_evacuation(&data_centre).await?;
            print(json, &report, render::evacuations)
        }
        Command::Explain { id, files } => explain(&id, &files, json),
        Command::Status => print(json, &client.status().await?, render::status),
        Command::Burn => print(json, &client.burn().await?, render::burn),
        Command::Replicas(change) => print(
            json,
            &client.change_replicas(&change).await?,
            render::status,
        ),
    }
}

/// Prints what happened to a request, according to JSON logs.
fn explain(id: &str, files: &[PathBuf], json: bool) -> CommandResult {
    let failure = |file: &Path, error: io::Error| {
        Failure(Exit::Usage, format!("{}: {error}", file.display()))
    };
    let stdin_only = [PathBuf::from(STDIN_ARGUMENT)];
    let files = if files.is_empty() { &stdin_only } else { files };
    let mut lines = LogLines::default();
    for file in files {
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        let read = if file == Path::new(STDIN_ARGUMENT) {
            lines.read(&name, io::stdin().lock())
        } else {
            fs::File::open(file).and_then(|log| lines.read(&name, BufReader::new(log)))
        };
        read.map_err(|error| failure(file, error))?;
    }
    let explanation = lines
        .explain(id)
        .ok_or_else(|| Failure(Exit::Different, format!("no line names the request {id:?}")))?;
    print(json, &explanation, ToString::to_string)
}

/// Prints a report as one line of JSON or as text.
fn print<T: Serialize>(json: bool, report: &T, render: impl Fn(&T) -> String) -> CommandResult {
    if json {
        let text = serde_json::to_string(report);
        let text = text.map_err(|error| Failure(Exit::Usage, error.to_string()))?;
        println!("{text}");
    } else {
        print!("{}", render(report));
    }
    Ok(Exit::Success)
}

fn read_json(file: &Path) -> Result<Value, Failure> {
    let failure = |rule: String| Failure(Exit::Usage, format!("{}: {rule}", file.display()));
    let text = fs::read_to_string(file).map_err(|e| failure(format!("cannot be read: {e}")))?;
    serde_json::from_str(&text).map_err(|e| failure(format!("is not JSON: {e}")))
}

fn check(file: &Path, json: bool) -> CommandResult {
    let value = read_json(file)?;
    let errors = RawTables::from_value(&value)
        .and_then(Tables::try_from)
        .err();
    let exit = if errors.is_some() {
        Exit::Usage
    } else {
        Exit::Success
    };
    let report = CheckReport {
        errors,
        difference: None,
        tables_version: ConfigVersion::ZERO,
    };
    print(json, &report, render::check)?;
    Ok(exit)
}

async fn diff(client: &OperatorClient, file: &Path, json: bool) -> CommandResult {
    let report = client.check(&read_json(file)?).await?;
    print(json, &report, render::check)?;
    Ok(match &report.difference {
        None => Exit::Usage,
        Some(difference) if difference.is_empty() => Exit::Success,
        Some(_) => Exit::Different,
    })
}

async fn apply(
    client: &OperatorClient,
    file: &Path,
    base: Option<ConfigVersion>,
    id: Option<EditId>,
    json: bool,
) -> CommandResult {
    let tables = read_json(file)?;
    let base = match base {
        Some(base) => base,
        None => client.tables().await?.tables_version,
    };
    let id = match id {
        Some(id) => id,
        None => random_edit_id()?,
    };
    eprintln!("edit identity {id}, based on version {base}");
    let report = client.edit(&EditRequest { id, base, tables }).await?;
    print(json, &report, render::edit)?;
    Ok(edit_exit(&report))
}

fn random_edit_id() -> Result<EditId, Failure> {
    let text = format!("edit-{:016x}", rand::random::<u64>());
    EditId::try_from(text).map_err(|error| Failure(Exit::Usage, error.to_string()))
}

const fn edit_exit(report: &EditReport) -> Exit {
    match &report.answer {
        EditAnswer::Accepted { .. } => Exit::Success,
        EditAnswer::Refused(EditRefusal::Conflict(_)) => Exit::Conflict,
        EditAnswer::Refused(EditRefusal::Invalid(_)) => Exit::Usage,
        EditAnswer::Refused(_) => Exit::Refused,
    }
}

async fn show(client: &OperatorClient, target: ShowTarget, json: bool) -> CommandResult {
    match target {
        ShowTarget::Routes => print(json, &tables_without_keys(client).await?, render::routes),
        ShowTarget::Pools => print(json, &tables_without_keys(client).await?, render::pools),
        ShowTarget::Tables => print(json, &client.tables().await?, render::tables),
        ShowTarget::Members => print(json, &client.members().await?, render::members),
        ShowTarget::Version => print(json, &tables_without_keys(client).await?, render::version),
    }
}

/// The tables with a text that is no valid key in place of each key, so that they cannot be applied by
/// mistake. Only `show tables` prints keys.
async fn tables_without_keys(client: &OperatorClient) -> Result<TablesReport, Failure> {
    let mut report = client.tables().await?;
    let workspaces = report.tables.workspaces.iter_mut().flatten();
    for key in workspaces.flat_map(|workspace| &mut workspace.api_keys) {
        HIDDEN_KEY.clone_into(&mut key.0);
    }
    Ok(report)
}
