//! The report of the demonstration, as JSON or text.

use std::{fmt::Write as _, time::Duration};

use serde::Serialize;

/// The check of one promise.
#[derive(Debug, Clone, Serialize)]
pub struct PromiseRow {
    /// The text of the promise.
    pub promise: &'static str,
    /// Whether it was kept.
    pub kept: bool,
    /// The observations behind the verdict.
    pub seen: String,
}

/// The number of calls with the same kind, outcome and reason.
#[derive(Debug, Clone, Serialize)]
pub struct OutcomeRow {
    /// The kind of the calls: `posting` or `other`.
    pub kind: &'static str,
    /// The outcome of the calls.
    pub outcome: &'static str,
    /// The reason. Without one: empty for a success status, any other status as a number, or
    /// `no-answer` if no response head arrived.
    pub reason: String,
    /// The number of calls.
    pub calls: u64,
}

/// How a move ended.
#[derive(Debug, Clone, Serialize)]
pub struct MoveRow {
    /// The name of the route.
    pub route: String,
    /// The final state of the move.
    pub state: String,
    /// The time from the edit to the end, in seconds.
    pub seconds: f64,
    /// The time from the end to the deadline, in seconds.
    pub seconds_left: f64,
    /// The evidence for the last step of the move.
    pub evidence: String,
}

/// The results of the demonstration.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DemoReport {
    /// The name of the firm.
    pub firm: &'static str,
    /// The promises that were checked.
    pub promises: Vec<PromiseRow>,
    /// The moves that were made.
    pub moves: Vec<MoveRow>,
    /// The calls by outcome.
    pub outcomes: Vec<OutcomeRow>,
    /// The times from the acceptance of each edit until every node had it, in milliseconds.
    pub convergence_ms: Vec<f64>,
    /// The number of bytes of control messages that all daemons sent.
    pub control_bytes: u64,
    /// The number of bytes of control messages per node and second.
    pub control_bytes_per_node_second: f64,
    /// The share of its route's calls that the bad version got, in percent.
    pub bad_share_percent: f64,
    /// How long the demonstration ran, in seconds.
    pub seconds: f64,
}

impl DemoReport {
    /// Adds the check of a promise.
    pub(crate) fn add_promise(&mut self, promise: &'static str, kept: bool, seen: String) {
        self.promises.push(PromiseRow {
            promise,
            kept,
            seen,
        });
    }

    /// Adds the time from the acceptance of an edit until it was in force on every node.
    pub(crate) fn add_convergence_time(&mut self, time: Duration) {
        self.convergence_ms.push(time.as_secs_f64() * 1_000.0);
    }

    /// Whether every promise was kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.promises.iter().all(|row| row.kept)
    }

    /// Formats the report as text for people.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut out = format!("\n{} in {:.1} s\n\npromises\n", self.firm, self.seconds);
        for row in &self.promises {
            let mark = if row.kept { "kept  " } else { "BROKEN" };
            let _ = writeln!(out, "  {mark} {}: {}", row.promise, row.seen);
        }
        let _ = writeln!(out, "\nmoves");
        for row in &self.moves {
            let _ = writeln!(
                out,
                "  {} {} after {:.1} s, {:.1} s before its deadline ({})",
                row.route, row.state, row.seconds, row.seconds_left, row.evidence
            );
        }
        let _ = writeln!(out, "\ncalls by outcome");
        for row in &self.outcomes {
            let _ = writeln!(
                out,
                "  {:>7}  {:<8} {:<14} {}",
                row.calls, row.kind, row.outcome, row.reason
            );
        }
        let times: Vec<String> = self
            .convergence_ms
            .iter()
            .map(|ms| format!("{ms:.0} ms"))
            .collect();
        let _ = writeln!(out, "\nconvergence of accepted edits: {}", times.join(", "));
        let _ = writeln!(
            out,
            "control bytes: {} in all, {:.0} a node and second",
            self.control_bytes, self.control_bytes_per_node_second
        );
        let _ = writeln!(
            out,
            "share of its route's calls that the bad version got: {:.3}%",
            self.bad_share_percent
        );
        out
    }
}
