//! The way of one request through the logs of several processes.

use std::{
    collections::BTreeMap,
    fmt,
    io::{self, BufRead},
};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::Event;

/// Fields of a line that are shown elsewhere.
const SHOWN_ELSEWHERE: [&str; 5] = ["time", "level", "event", "name", "request"];

/// A line of a log.
#[derive(Debug)]
struct Line {
    process: String,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn event(&self) -> Option<Event> {
        let number = self.fields.get("event")?.as_u64()?;
        Event::ALL
            .iter()
            .copied()
            .find(|event| u64::from(event.number()) == number)
    }
}

/// What a process believed at a time, by the lines before.
#[derive(Debug, Clone, Default)]
struct Belief {
    started: Option<String>,
    config: Option<String>,
    leader: Option<String>,
    server: Option<String>,
    rollout: Option<String>,
}

impl Belief {
    fn learn(&mut self, line: &Line) {
        let at = |text: String| Some(format!("{text} since {}", line.text("time")));
        match line.event() {
            Some(Event::ProcessStarted) => {
                *self = Self {
                    started: Some(line.text("time").to_owned()),
                    ..Self::default()
                };
            }
            Some(Event::ConfigTaken) => self.config = at(line.text("version").to_owned()),
            Some(Event::LeaderElected) => {
                self.leader = at(format!("leads term {}", line.text("term")));
            }
            Some(Event::LeaderLost) => self.leader = at("follows".to_owned()),
            Some(Event::ServerAnnounced) => {
                let (state, version) = (line.text("state"), line.text("version"));
                self.server = at(format!(
                    "{} {state}, version {version}",
                    line.text("address")
                ));
            }
            Some(Event::ServerLost) => self.server = at("lost".to_owned()),
            Some(Event::RolloutStepped) => {
                self.rollout = at(format!(
                    "{} {} at {}",
                    line.text("service"),
                    line.text("state"),
                    line.text("share")
                ));
            }
            _ => {}
        }
    }

    fn parts(&self) -> [(&'static str, &Option<String>); 5] {
        [
            ("started", &self.started),
            ("config", &self.config),
            ("leader", &self.leader),
            ("server", &self.server),
            ("rollout", &self.rollout),
        ]
    }
}

/// A line about the request, with what its process believed then.
#[derive(Debug)]
struct Step<'a> {
    line: &'a Line,
    belief: Belief,
}

/// The lines of the logs of several processes.
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
    lines: Vec<Line>,
}

impl LogLines {
    /// Reads the JSON objects of a log, whatever stands before them in their lines.
    ///
    /// A line belongs to the process whose start was last read, before that to `process`; or to
    /// the last word before the object, where several logs were joined into one.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read.
    pub fn read(&mut self, process: &str, log: impl BufRead) -> io::Result<()> {
        let mut process = process.to_owned();
        for text in log.lines() {
            let text = text?;
            let Some(at) = text.find('{') else { continue };
            let Ok(Value::Object(fields)) = serde_json::from_str(&text[at..]) else {
                continue;
            };
            let line = Line {
                process: String::new(),
                fields,
            };
            if line.event() == Some(Event::ProcessStarted) {
                line.text("process").clone_into(&mut process);
            }
            let prefix = text[..at].split_whitespace().last();
            self.lines.push(Line {
                process: prefix.unwrap_or(&process).to_owned(),
                ..line
            });
        }
        // Processes stamp their lines alike, so the text of the time sorts as the time does.
        self.lines
            .sort_by(|a, b| a.text("time").cmp(b.text("time")));
        Ok(())
    }

    /// Explains a request, or returns `None` if no line names it.
    #[must_use]
    pub fn explain(&self, request: &str) -> Option<Explanation> {
        let steps = follow(request, &self.lines);
        (!steps.is_empty()).then(|| Explanation {
            request: request.to_owned(),
            cause: cause(&steps, &self.lines),
            steps: steps.iter().map(ExplainedStep::from).collect(),
        })
    }
}

/// The way of one request.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    request: String,
    steps: Vec<ExplainedStep>,
    cause: String,
}

impl Explanation {
    /// The most likely cause of how the request ended, in one sentence.
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

/// One line about a request.
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
        let Step { line, belief } = step;
        let known = belief.parts().into_iter();
        Self {
            time: line.text("time").to_owned(),
            process: line.process.clone(),
            event: line.event().map_or("-", Event::word),
            details: line
                .fields
                .iter()
                .filter(|(name, _)| !SHOWN_ELSEWHERE.contains(&name.as_str()))
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
            believed: known
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

fn follow<'a>(request: &str, lines: &'a [Line]) -> Vec<Step<'a>> {
    let mut beliefs: BTreeMap<&str, Belief> = BTreeMap::new();
    let mut steps = Vec::new();
    for line in lines {
        let belief = beliefs.entry(&line.process).or_default();
        belief.learn(line);
        if line.text("request") == request {
            let belief = belief.clone();
            steps.push(Step { line, belief });
        }
    }
    steps
}

/// The most likely cause of how the request ended, in one sentence.
fn cause(steps: &[Step<'_>], lines: &[Line]) -> String {
    let Some(last) = steps.iter().rev().find(|step| is_end(step.line)) else {
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
            let what = format!(
                "{server} answered {} in version {version}",
                line.text("status")
            );
            match taken_back(version, line, lines) {
                Some(stepped) => format!(
                    "{what}, which a roll-out gave {} and took back at {}",
                    stepped.text("service"),
                    stepped.text("time")
                ),
                None => what,
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
        (_, "no-route") => format!("no route in configuration {}", line.text("config")),
        (_, reason) => match restart(node, line, lines) {
            Some(start) => format!(
                "{reason} at {server}: the process {node} ended and started again at {}",
                start.text("time")
            ),
            None => format!("{reason} at {server}: {node} wrote no line about it"),
        },
    }
}

fn is_end(line: &Line) -> bool {
    matches!(line.event(), Some(Event::CallFailed | Event::CallAnswered))
}

/// The step in which a roll-out took a version back after a line.
fn taken_back<'a>(version: &str, after: &Line, lines: &'a [Line]) -> Option<&'a Line> {
    let ordered = lines.iter().filter(|line| {
        line.event() == Some(Event::RolloutOrdered) && line.text("version") == version
    });
    let services: Vec<&str> = ordered.map(|line| line.text("service")).collect();
    lines.iter().find(|line| {
        line.event() == Some(Event::RolloutStepped)
            && line.text("time") >= after.text("time")
            && services.contains(&line.text("service"))
            && line.text("state").contains("rolledback")
    })
}

/// The first start of a process after a line.
fn restart<'a>(process: &str, after: &Line, lines: &'a [Line]) -> Option<&'a Line> {
    lines.iter().find(|line| {
        line.event() == Some(Event::ProcessStarted)
            && line.process == process
            && line.text("time") > after.text("time")
    })
}
