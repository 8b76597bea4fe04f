//! The log: numbered events as lines of text or JSON, written through `simplelog`.

use std::{fmt::Display, fmt::Write as _};

use displaydoc::Display;
use log::LevelFilter;
use serde_json::{Map, Value};
use simplelog::{ConfigBuilder, WriteLogger};
use trefoillock_core::{Timestamp, data};

use crate::{Clock, Event, LogFlusher, queued_writer::QueuedWriter};

/// logging cannot be started: {0}
#[derive(Debug, Display)]
pub struct LogError(String);

impl std::error::Error for LogError {}

/// The format of log lines.
#[data(key)]
#[derive(Default)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of plain text for each event.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
}

/// Where the log is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Starts the log of the process. Logging never waits for the reader of the log; lines that do not
/// fit into the queue are dropped and counted.
///
/// # Errors
///
/// Returns an error if the process already has a log or the log thread cannot be started.
pub fn start_logging(
    level: LevelFilter,
    output: LogOutput,
    format: LogFormat,
) -> Result<LogFlusher, LogError> {
    let clock = Clock::start();
    let drop_notice = move |count: u64| {
        let format_line = match format {
            LogFormat::Text => text_line,
            LogFormat::Json => json_line,
        };
        format_line(clock.now(), Event::LinesLeftOut, &[("count", &count)])
    };
    let started = match output {
        LogOutput::Stdout => QueuedWriter::start(std::io::stdout(), drop_notice),
        LogOutput::Stderr => QueuedWriter::start(std::io::stderr(), drop_notice),
    };
    let (writer, flusher) = started.map_err(|error| LogError(error.to_string()))?;
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_level_padding(simplelog::LevelPadding::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("trefoillock")
        .build();
    // The level of the process may change while it runs, so the writer takes all events.
    match WriteLogger::init(LevelFilter::Info, config, writer) {
        Ok(()) => {
            log::set_max_level(level);
            Ok(flusher)
        }
        Err(error) => Err(LogError(error.to_string())),
    }
}

/// Logs an event with named fields.
pub fn log_event(
    format: LogFormat,
    now: Timestamp,
    event: Event,
    fields: &[(&'static str, &dyn Display)],
) {
    let level = log::Level::from(event.level());
    if log::log_enabled!(target: "trefoillock", level) {
        let line = match format {
            LogFormat::Text => text_line(now, event, fields),
            LogFormat::Json => json_line(now, event, fields),
        };
        log::log!(target: "trefoillock", level, "{line}");
    }
}

fn text_line(now: Timestamp, event: Event, fields: &[(&'static str, &dyn Display)]) -> String {
    let level = log::Level::from(event.level());
    let mut line = format!("{now} {level} E{} {}", event.number(), event.name());
    for (name, value) in fields {
        let _ = write!(line, " {name}={:?}", value.to_string());
    }
    line
}

fn json_line(now: Timestamp, event: Event, fields: &[(&'static str, &dyn Display)]) -> String {
    let mut object = Map::new();
    object.insert("time".to_owned(), Value::from(now.to_rfc3339()));
    object.insert(
        "level".to_owned(),
        Value::from(log::Level::from(event.level()).as_str()),
    );
    object.insert("event".to_owned(), Value::from(event.number()));
    object.insert("name".to_owned(), Value::from(event.name()));
    for (name, value) in fields {
        object.insert((*name).to_owned(), Value::from(value.to_string()));
    }
    Value::Object(object).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_contain_number_name_and_fields() {
        let now = Timestamp::from_secs(1);
        let fields: [(&'static str, &dyn Display); 1] = [("route", &"a \"b\"")];
        assert_eq!(
            text_line(now, Event::MoveDone, &fields),
            r#"1970-01-01T00:00:01Z INFO E1504 move-done route="a \"b\"""#
        );
        let json: Value =
            serde_json::from_str(&json_line(now, Event::MoveDone, &fields)).expect("a JSON object");
        assert_eq!(json["event"], 1504);
        assert_eq!(json["route"], "a \"b\"");
    }
}
