//! Traces one request through the JSON logs of several processes.
//!
//! [`LogLines`] reads the logs and sorts their lines by time. An [`Explanation`] lists the lines
//! that name the request, each with the state of its process at that time as earlier lines report
//! it, and the most likely reason why the request ended as it did.

use std::{
    collections::BTreeMap,
    fmt,
    io::{self, BufRead},
    time::Duration,
};

use serde::Serialize;
use serde_json::{Map, Value};
use trefoillock_core::Timestamp;

use crate::Event;

/// Fields of a line that are not listed as details, because the explanation shows them separately
/// or does not need them.
const NON_DETAIL_FIELDS: [&str; 5] = ["time", "level", "event", "name", "request"];

/// The time within which the last step of a rollout reaches all nodes after the leader has logged it.
const ROLLBACK_DELAY: Duration = Duration::from_secs(5);

/// The JSON object of one log line, with the name of the process that wrote it.
#[derive(Debug)]
struct LogLine {
    process: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// The text of a field; empty if the field is missing or not a string.
    fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// The time of the line; `None` if it cannot be read.
    fn time(&self) -> Option<Timestamp> {
        Timestamp::parse_rfc3339(self.text("time"))
    }

    fn event(&self) -> Option<Event> {
        let number = self.fields.get("event")?.as_u64()?;
        Event::ALL
            .iter()
            .copied()
            .find(|event| u64::from(event.number()) == number)
    }
}

/// The state of a process at some time, according to its earlier log lines.
#[derive(Debug, Clone, Default)]
struct ProcessState {
    started: Option<String>,
    config: Option<String>,
    leader: Option<String>,
    server: Option<String>,
    limit: Option<String>,
    rollout: Option<String>,
}

impl ProcessState {
    /// Updates the state with the next line of the process.
    fn update(&mut self, line: &LogLine) {
        let with_time = |text: String| Some(format!("{text} since {}", line.text("time")));
        match line.event() {
            Some(Event::ProcessStarted) => {
                *self = Self {
                    started: Some(line.text("time").to_owned()),
                    ..Self::default()
                };
            }
            Some(Event::ConfigTaken) => self.config = with_time(line.text("version").to_owned()),
            Some(Event::LeaderElected) => {
                self.leader = with_time(format!("leads term {}", line.text("term")));
            }
            Some(Event::LeaderLost) => self.leader = with_time("follows".to_owned()),
            Some(Event::ServerAnnounced) => {
                let (state, version) = (line.text("state"), line.text("version"));
                self.server = with_time(format!(
                    "{} {state}, version {version}",
                    line.text("address")
                ));
            }
            Some(Event::ServerLost) => self.server = with_time("lost".to_owned()),
            Some(Event::RateLimitChanged) => {
                self.limit = with_time(format!(
                    "{} states {} calls a second",
                    line.text("address"),
                    line.text("limit")
                ));
            }
            Some(Event::ServerDeparting) => {
                self.server = with_time(format!("{} says it leaves", line.text("address")));
            }
            Some(Event::RolloutStepped) => {
                self.rollout = with_time(format!(
                    "{} {} at {}",
                    line.text("service"),
                    line.text("state"),
                    line.text("share")
                ));
            }
            _ => {}
        }
    }

    /// The parts of the state with their names; `None` for a part that no line has reported.
    fn parts(&self) -> [(&'static str, &Option<String>); 6] {
        [
            ("started", &self.started),
            ("config", &self.config),
            ("leader", &self.leader),
            ("server", &self.server),
            ("limit", &self.limit),
            ("rollout", &self.rollout),
        ]
    }
}

/// A line about the request, with the state of its process at that time.
#[derive(Debug)]
struct Step<'a> {
    line: &'a LogLine,
    process_state: ProcessState,
}

/// The lines of the logs of several processes, sorted by time.
///
/// ```
/// use trefoillock_process::LogLines;
///
/// let log = br#"{"event":1803,"name":"call-answered","request":"a1","server":"vm-1@10.0.0.1:80",
/// "status":"200","time":"2026-01-01T00:00:01Z"}"#;
/// let log: Vec<u8> = log.iter().copied().filter(|byte| *byte != b'\n').collect();
/// let mut lines = LogLines::default();
/// lines.read("vm-2", log.as_slice())?;
/// let explanation = lines.explain("a1").expect("a line names it");
/// assert_eq!(explanation.cause(), "answered by vm-1@10.0.0.1:80");
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct LogLines {
    lines: Vec<LogLine>,
}

impl LogLines {
    /// Reads a log with one JSON object per line; lines without one are skipped.
    ///
    /// The last word before the object, if there is one, names the process that wrote the line, as
    /// in a log that was merged from several. Otherwise the line belongs to the process whose start
    /// was last read, or to `process` if no start was read yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read.
    pub fn read(&mut self, process: &str, log: impl BufRead) -> io::Result<()> {
        let mut process = process.to_owned();
        for text in log.lines() {
            let text = text?;
            let Some(pos) = text.find('{') else {
                continue;
            };
            let Ok(Value::Object(fields)) = serde_json::from_str(&text[pos..]) else {
                continue;
            };
            let line = LogLine {
                process: String::new(),
                fields,
            };
            if line.event() == Some(Event::ProcessStarted) {
                line.text("process").clone_into(&mut process);
            }
            let prefix = text[..pos].split_whitespace().last();
            self.lines.push(LogLine {
                process: prefix.unwrap_or(&process).to_owned(),
                ..line
            });
        }
        // All processes write the time in the same format, so its text sorts by time.
        self.lines
            .sort_by(|a, b| a.text("time").cmp(b.text("time")));
        Ok(())
    }

    /// Returns the values of a field in the lines of an event that a process wrote, in the order of their
    /// times. A line without the field counts as an empty value.
    #[must_use]
    pub fn fields(&self, process: &str, event: Event, field: &str) -> Vec<String> {
        let of_event = |line: &&LogLine| line.process == process && line.event() == Some(event);
        let lines = self.lines.iter().filter(of_event);
        lines.map(|line| line.text(field).to_owned()).collect()
    }

    /// Explains a request, or returns `None` if no line names it.
    #[must_use]
    pub fn explain(&self, request: &str) -> Option<Explanation> {
        let steps = find_steps(request, &self.lines);
        (!steps.is_empty()).then(|| Explanation {
            request: request.to_owned(),
            cause: find_cause(&steps, &self.lines),
            steps: steps.iter().map(ExplainedStep::from).collect(),
        })
    }
}

/// The log lines about one request and the most likely reason why it ended as it did.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    request: String,
    steps: Vec<ExplainedStep>,
    cause: String,
}

impl Explanation {
    /// The most likely reason why the request ended as it did, in one sentence.
    #[must_use]
    pub fn cause(&self) -> &str {
        &self.cause
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for step in &self.steps {
            write!(f, "{step}")?;
        }
        writeln!(f, "cause: {}", self.cause)
    }
}

/// A line about a request, as it is printed and serialized.
#[derive(Debug, Clone, Serialize)]
struct ExplainedStep {
    time: String,
    process: String,
    event: &'static str,
    details: BTreeMap<String, Value>,
    believed: BTreeMap<&'static str, String>,
}

impl From<&Step<'_>> for ExplainedStep {
    fn from(step: &Step<'_>) -> Self {
        let Step {
            line,
            process_state,
        } = step;
        let state_parts = process_state.parts().into_iter();
        Self {
            time: line.text("time").to_owned(),
            process: line.process.clone(),
            event: line.event().map_or("-", Event::name),
            details: line
                .fields
                .iter()
                .filter(|(name, _)| !NON_DETAIL_FIELDS.contains(&name.as_str()))
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
            believed: state_parts
                .filter_map(|(name, value)| Some((name, value.clone()?)))
                .collect(),
        }
    }
}

impl fmt::Display for ExplainedStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.time, self.process, self.event)?;
        for (name, value) in &self.details {
            match value {
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        writeln!(f)?;
        for (name, value) in &self.believed {
            writeln!(f, "    {name}: {value}")?;
        }
        Ok(())
    }
}

/// Returns the lines that name a request, each with the state of its process at that time.
fn find_steps<'a>(request: &str, lines: &'a [LogLine]) -> Vec<Step<'a>> {
    let mut process_states: BTreeMap<&str, ProcessState> = BTreeMap::new();
    let mut steps = Vec::new();
    for line in lines {
        let process_state = process_states.entry(&line.process).or_default();
        process_state.update(line);
        if line.text("request") == request {
            let process_state = process_state.clone();
            steps.push(Step {
                line,
                process_state,
            });
        }
    }
    steps
}

/// Returns the most likely reason why the request ended as it did, in one sentence.
fn find_cause(steps: &[Step<'_>], lines: &[LogLine]) -> String {
    let Some(last) = steps.iter().rev().find(|step| is_call_end(step.line)) else {
        return "no line tells how the request ended".to_owned();
    };
    let line = last.line;
    let server = line.text("server");
    let node = server.split('@').next().unwrap_or_default();
    let refused = steps
        .iter()
        .rev()
        .find(|step| step.line.event() == Some(Event::CallRefused));
    match (line.event(), line.text("reason")) {
        (Some(Event::CallAnswered), _) if line.text("status") < "500" => {
            format!("answered by {server}")
        }
        (Some(Event::CallAnswered), _) => {
            let version = line.text("version");
            let response = format!(
                "{server} answered {} in version {version}",
                line.text("status")
            );
            match find_rollback(version, line, lines) {
                Some(rollback) => format!(
                    "{response}, which a roll-out gave {} and took back at {}",
                    rollback.text("service"),
                    rollback.text("time")
                ),
                None => response,
            }
        }
        (_, "overloaded") => match refused.map(|step| step.line) {
            Some(line) => format!(
                "refused under overload: {} of {} slots of {} ran calls and {} waited",
                line.text("running"),
                line.text("slots"),
                line.text("server"),
                line.text("queued")
            ),
            None => "refused under overload".to_owned(),
        },
        (_, "rate-limited") => {
            // The entry refuses a call itself if it knows that no server has a turn for it.
            let limit = match refused.map(|step| step.line) {
                Some(refused) => Some((refused.text("server"), refused.text("limit"))),
                None if !line.text("limited-by").is_empty() => {
                    Some((line.text("limited-by"), line.text("limit")))
                }
                None => None,
            };
            match limit {
                Some((server, limit)) => format!(
                    "refused because {server} takes {limit} calls a second and no turn came in time"
                ),
                None => "refused because of a limit on the rate of calls".to_owned(),
            }
        }
        (_, "link-full") => format!(
            "refused because the link of {node} is full and the response would come too late"
        ),
        (_, "allowance-spent") => format!(
            "refused because the version of {server} is being rolled out and may get no more calls"
        ),
        // The entry tries no server if it knows the order.
        (_, "evacuated") if matches!(server, "" | "-") => {
            "refused because all data centres with servers for it are evacuated".to_owned()
        }
        (_, "evacuated") => format!("refused because the data centre of {server} is evacuated"),
        (_, "quota-exceeded") => format!(
            "refused because workspace {} has sent all calls that its quota allows",
            line.text("workspace")
        ),
        (_, "quota-unavailable") => format!(
            "refused because no guard of the quota of workspace {} could be reached or could grant",
            line.text("workspace")
        ),
        (Some(Event::ApiKeyRefused), _) => format!(
            "refused because its key is {} and route {} in configuration {} needs one of a workspace",
            line.text("key"),
            line.text("route"),
            line.text("config")
        ),
        (_, "no-route") => format!("no route in configuration {}", line.text("config")),
        (_, reason) => match find_restart(node, line, lines) {
            Some(start) => format!(
                "{reason} at {server}: the process {node} ended and started again at {}",
                start.text("time")
            ),
            None => format!("{reason} at {server}: {node} wrote no line about it"),
        },
    }
}

/// Whether a line reports the end of a call.
fn is_call_end(line: &LogLine) -> bool {
    matches!(
        line.event(),
        Some(Event::CallFailed | Event::CallAnswered | Event::ApiKeyRefused)
    )
}

/// Returns the first line that reports the rollback of a rollout of `version` and is not earlier than
/// the line `after` by more than the time that a rollback takes to reach all nodes.
fn find_rollback<'a>(version: &str, after: &LogLine, lines: &'a [LogLine]) -> Option<&'a LogLine> {
    let reaches = |rollback: &LogLine| match (rollback.time(), after.time()) {
        (Some(rollback), Some(after)) => rollback + ROLLBACK_DELAY >= after,
        _ => rollback.text("time") >= after.text("time"),
    };
    let orders = lines.iter().filter(|line| {
        line.event() == Some(Event::RolloutOrdered) && line.text("version") == version
    });
    let services: Vec<&str> = orders.map(|line| line.text("service")).collect();
    lines.iter().find(|line| {
        line.event() == Some(Event::RolloutStepped)
            && reaches(line)
            && services.contains(&line.text("service"))
            && line.text("state").contains("rolledback")
    })
}

/// Returns the line of the first start of a process after the line `after`.
fn find_restart<'a>(process: &str, after: &LogLine, lines: &'a [LogLine]) -> Option<&'a LogLine> {
    lines.iter().find(|line| {
        line.event() == Some(Event::ProcessStarted)
            && line.process == process
            && line.text("time") > after.text("time")
    })
}
