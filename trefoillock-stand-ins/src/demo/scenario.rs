//! The steps of the demonstration and the checks of its promises.

use std::{
    io,
    path::Path,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use trefoillock_core::{
    ConfigVersion, EditAnswer, EditId, EditRefusal, Move, MoveState, Outcome, Timestamp,
};
use trefoillock_operator::EditRequest;
use trefoillock_process::Clock;

use super::{
    fleet::Fleet,
    load::{CallLoad, CallTally, POSTING},
    plan::{Firm, MovedRoute, Plan},
    report::{DemoReport, MoveRow, OutcomeRow},
    watcher::{Findings, Watcher},
};
use crate::{
    backend_server::{Fault, FaultStep, Gate},
    caller::{CallReport, Caller, CallerRequest},
};

/// The time from the edit to the deadline of both moves.
const MOVE_TIME: Duration = Duration::from_mins(1);
/// The time after which the demonstration stops waiting for the moves to end, [`LEAVE_LIMIT`] not
/// included.
const MOVE_LIMIT: Duration = Duration::from_secs(70);
/// The time after which a drained backend server, or a version whose move was taken back, must get
/// no new call.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// The time within which an accepted edit must be in force on every node.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(7);
/// The timeout when waiting for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// One in this number of calls fails on the bad version.
const BAD_FAILS_EVERY: u64 = 2;
/// The maximum share of its route's calls that a version may get whose defect shows at once, in
/// percent.
const BAD_SHARE_PERCENT: f64 = 1.0;
/// The size of the export that is in flight during the planned stop, in bytes.
const EXPORT_BYTES: u64 = 4_000_000;

/// Runs the demonstration. `examples` is the folder with the settings and tables; `progress` is
/// called with a line of text at each step.
///
/// # Errors
///
/// Returns an error if a daemon cannot be started or the system does not reach an expected
/// state.
pub async fn run(firm: Firm, examples: &Path, progress: impl Fn(&str)) -> io::Result<DemoReport> {
    let plan = Plan::from(firm);
    let started = Instant::now();
    let data = tempfile::tempdir()?;
    progress("starting three control replicas and the nodes of three data centres");
    let fleet = Fleet::start(plan, &examples.join("settings"), data.path()).await?;
    let tables = std::fs::read_to_string(examples.join(format!("tables/{}.json", plan.name)))?;
    let mut demo = Demo {
        plan,
        fleet,
        clock: Clock::start(),
        report: DemoReport {
            firm: plan.name,
            ..DemoReport::default()
        },
        tables: serde_json::from_str(&tables)?,
        progress,
    };
    demo.apply_first_tables().await?;
    let watcher = Watcher::start(demo.fleet.observers.clone());
    let load = CallLoad::new(demo.fleet.caller_addresses());
    for (at, calls) in plan.calls.iter().enumerate() {
        load.start(*calls, at as u64);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    demo.apply_invalid_tables().await?;
    demo.move_routes(&load).await?;
    (demo.progress)("stopping the callers");
    let tally = load.finish().await;
    let findings = watcher.finish();
    demo.check_promises(&tally, &findings);
    let seconds = started.elapsed().as_secs_f64();
    let mut report = demo.report;
    report.control_bytes = demo.fleet.control_bytes();
    let nodes = plan.services.iter().map(|(_, count)| count).sum::<usize>();
    #[expect(clippy::cast_precision_loss, reason = "a rate for people")]
    let rate = report.control_bytes as f64 / nodes as f64 / seconds;
    report.control_bytes_per_node_second = rate;
    report.seconds = seconds;
    demo.fleet.stop().await;
    Ok(report)
}

struct Demo<P> {
    plan: Plan,
    fleet: Fleet,
    clock: Clock,
    report: DemoReport,
    tables: Value,
    progress: P,
}

/// Observations from the injected faults.
#[derive(Default)]
struct FaultObservations {
    runs_after_drain: u64,
    export: Option<CallReport>,
}

impl<P: Fn(&str)> Demo<P> {
    /// Applies the firm's tables twice with the same edit identity, which must give equal answers,
    /// and waits until every node knows every backend server.
    async fn apply_first_tables(&mut self) -> io::Result<()> {
        for (service, _) in self.plan.services {
            self.fleet.start_servers(service, "1", 0).await?;
        }
        let status = self.fleet.client.status().await.map_err(io::Error::other)?;
        (self.progress)("applying the tables");
        let id = "demo-first-tables";
        let first = self
            .apply(id, status.tables_version, self.tables.clone())
            .await?;
        let again = self
            .apply(id, status.tables_version, self.tables.clone())
            .await?;
        let is_accepted_twice = first == again && matches!(first, EditAnswer::Accepted { .. });
        if !is_accepted_twice {
            return Err(io::Error::other(format!(
                "an edit sent twice must be accepted with equal answers, got {first:?} and {again:?}"
            )));
        }
        let servers = self.plan.services.iter().map(|(_, count)| count).sum();
        wait_until("every node knows every backend server", || {
            self.fleet.knows_servers(servers)
        })
        .await
    }

    /// Applies tables. If they are accepted, waits until they are in force and records the time.
    async fn apply(
        &mut self,
        id: &str,
        base: ConfigVersion,
        tables: Value,
    ) -> io::Result<EditAnswer> {
        let id = EditId::try_from(id).map_err(io::Error::other)?;
        let req = EditRequest { id, base, tables };
        let report = self
            .fleet
            .client
            .edit(&req)
            .await
            .map_err(io::Error::other)?;
        if let EditAnswer::Accepted { version, .. } = report.answer {
            let accepted = Instant::now();
            wait_until("the edit is in force", || self.fleet.is_in_force(version)).await?;
            self.report.add_convergence_time(accepted.elapsed());
        }
        Ok(report.answer)
    }

    /// Applies tables with invalid rows and checks that they are refused and change no node.
    async fn apply_invalid_tables(&mut self) -> io::Result<()> {
        (self.progress)("applying tables with one bad row");
        let before: Vec<_> = versions(&self.fleet);
        let mut bad = self.tables.clone();
        bad["routes"][0]["pool"] = json!("nowhere");
        bad["routes"][1]["timeout_ms"] = json!(1);
        let base = self
            .fleet
            .client
            .status()
            .await
            .map_err(io::Error::other)?
            .tables_version;
        let answer = self.apply("demo-bad-row", base, bad).await?;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let unchanged = before == versions(&self.fleet);
        let refused = matches!(answer, EditAnswer::Refused(EditRefusal::Invalid(_)));
        let seen =
            format!("tables with a bad row refused: {refused}, no node changed: {unchanged}");
        self.report.add_promise(
            "a bad version is never applied in part",
            refused && unchanged,
            seen,
        );
        Ok(())
    }

    /// Starts one good and one bad version, moves a route to each, injects faults meanwhile and
    /// checks how the moves ended.
    async fn move_routes(&mut self, load: &CallLoad) -> io::Result<()> {
        let Plan { good, bad, .. } = self.plan;
        (self.progress)("starting the new versions beside the old ones");
        self.fleet.start_servers(good.service, "2", 0).await?;
        self.fleet
            .start_servers(bad.service, "2", BAD_FAILS_EVERY)
            .await?;
        let status = self.fleet.client.status().await.map_err(io::Error::other)?;
        let deadline = self.clock.now() + MOVE_TIME;
        let tables = with_moves(&self.tables, &[good, bad], deadline);
        let began = Instant::now();
        let answer = self
            .apply("demo-moves", status.tables_version, tables)
            .await?;
        if !matches!(answer, EditAnswer::Accepted { .. }) {
            return Err(io::Error::other(format!(
                "the moves were refused: {answer:?}"
            )));
        }
        (self.progress)("both routes are on the move");
        let faults = self.inject_faults(load).await?;
        let moves = self.wait_for_moves(began, load).await?;
        self.check_moves(&moves, deadline, began);
        self.check_faults(&faults);
        Ok(())
    }

    /// Drains a backend server, stops a node with an export in flight, kills a node and then the
    /// leader. The stopped and killed daemons are restarted.
    async fn inject_faults(&mut self, load: &CallLoad) -> io::Result<FaultObservations> {
        let mut faults = FaultObservations::default();
        tokio::time::sleep(Duration::from_secs(2)).await;
        (self.progress)("draining a backend server");
        if let Some(server) = self
            .fleet
            .servers_of(self.plan.drained_service, "1")
            .first()
        {
            server.announcer.drain().await;
            tokio::time::sleep(LEAVE_LIMIT).await;
            faults.runs_after_drain = server.run_counter.total();
        }
        (self.progress)("stopping a node gracefully with an export in flight");
        faults.export = self.stop_node_with_export(load).await?;
        (self.progress)("killing a node");
        let killed = self.fleet.first_node(self.plan.good.service);
        self.fleet.kill_node(killed);
        load.set_addresses(self.fleet.caller_addresses());
        tokio::time::sleep(Duration::from_secs(2)).await;
        self.fleet.restart_node(killed).await?;
        load.set_addresses(self.fleet.caller_addresses());
        (self.progress)("killing the leader of the control replicas");
        let leader = self.fleet.kill_leader().await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        if let Some((at, settings)) = leader {
            self.fleet.restart_control(at, settings).await?;
        }
        (self.progress)("all daemons run again");
        Ok(faults)
    }

    /// Stops the last node gracefully while an export that entered there is held in mid-body, and
    /// restarts it. The third service of each plan serves the exports.
    async fn stop_node_with_export(&mut self, load: &CallLoad) -> io::Result<Option<CallReport>> {
        let nodes = self
            .plan
            .services
            .iter()
            .map(|(_, count)| count)
            .sum::<usize>();
        let last = nodes - 1;
        let Some(entry) = self.fleet.caller_addresses().last().copied() else {
            return Ok(None);
        };
        let service = self.plan.services[2].0;
        let gate = Gate::new();
        for server in self.fleet.servers_of(service, "1") {
            server
                .backend
                .arm(FaultStep::HalfBody, Fault::Gate(gate.clone()));
        }
        let target = format!("{}?bytes={EXPORT_BYTES}", self.plan.export_path);
        let export = tokio::spawn(async move {
            let caller = Caller::new(Duration::from_secs(30));
            caller
                .call(entry, &CallerRequest::get(target, "export-at-stop"))
                .await
        });
        gate.reached().await;
        let stopping = self.fleet.begin_node_stop(last);
        load.set_addresses(self.fleet.caller_addresses());
        tokio::time::sleep(Duration::from_millis(500)).await;
        gate.open();
        let report = export.await.ok();
        if let Some(stopping) = stopping {
            stopping.await;
        }
        self.fleet.restart_node(last).await?;
        load.set_addresses(self.fleet.caller_addresses());
        Ok(report)
    }

    /// Reports the progress of the moves until they have ended, and counts the runs of the bad
    /// version [`LEAVE_LIMIT`] after its move has ended.
    async fn wait_for_moves(&mut self, began: Instant, load: &CallLoad) -> io::Result<Vec<Move>> {
        let mut shown = Vec::new();
        let mut bad_move_end: Option<(Instant, Option<u64>)> = None;
        loop {
            let moves = self
                .fleet
                .client
                .moves()
                .await
                .map_err(io::Error::other)?
                .moves;
            for m in moves.iter().filter(|m| !shown.contains(*m)) {
                (self.progress)(&format!(
                    "{} {} {} {}",
                    m.route, m.state, m.share, m.evidence
                ));
            }
            let has_bad_ended = moves
                .iter()
                .any(|m| m.route.as_str() == self.plan.bad.route && m.state.is_final());
            if has_bad_ended && bad_move_end.is_none() {
                bad_move_end = Some((Instant::now(), None));
            }
            if let Some((at, runs @ None)) = &mut bad_move_end
                && at.elapsed() >= LEAVE_LIMIT
            {
                *runs = Some(self.runs_of_bad_version());
            }
            let is_settled =
                matches!(bad_move_end, Some((_, Some(_)))) || began.elapsed() > MOVE_LIMIT;
            if moves.iter().all(|m| m.state.is_final()) && is_settled
                || began.elapsed() > MOVE_LIMIT + LEAVE_LIMIT
            {
                tokio::time::sleep(Duration::from_secs(2)).await;
                self.check_bad_version(bad_move_end.and_then(|(_, runs)| runs), load);
                return Ok(moves);
            }
            shown = moves;
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    }

    fn runs_of_bad_version(&self) -> u64 {
        let servers = self.fleet.servers_of(self.plan.bad.service, "2");
        servers
            .iter()
            .map(|server| server.run_counter.total())
            .sum()
    }

    /// Checks the share of calls that the bad version got, and that it ran none later than
    /// [`LEAVE_LIMIT`] after its move ended. `runs_after_end` is its number of runs at that time, or
    /// `None` if the move did not end.
    #[expect(clippy::cast_precision_loss, reason = "a share for people")]
    fn check_bad_version(&mut self, runs_after_end: Option<u64>, load: &CallLoad) {
        let runs = self.runs_of_bad_version();
        let calls = load.calls_on(self.plan.bad.path);
        let share = 100.0 * runs as f64 / calls.max(1) as f64;
        self.report.bad_share_percent = share;
        let is_quiet = runs_after_end == Some(runs);
        let seen =
            format!("{runs} of {calls} calls ({share:.2}%), none 3 s after the end: {is_quiet}");
        let promise = "a bad version gets a small share, and none soon after its badness shows";
        self.report.add_promise(
            promise,
            is_quiet && runs > 0 && share <= BAD_SHARE_PERCENT,
            seen,
        );
    }

    fn check_moves(&mut self, moves: &[Move], deadline: Timestamp, began: Instant) {
        let start = self.clock.now() - began.elapsed();
        for m in moves {
            let state = match m.state {
                MoveState::TakenBack { end } => format!("taken back ({end:?})"),
                state => state.to_string(),
            };
            self.report.moves.push(MoveRow {
                route: m.route.to_string(),
                state,
                seconds: m.stepped.since(start).as_secs_f64(),
                seconds_left: deadline.since(m.stepped).as_secs_f64(),
                evidence: m.evidence.clone(),
            });
        }
        let has_state = |route: &str, wanted: fn(MoveState) -> bool| {
            moves
                .iter()
                .any(|m| m.route.as_str() == route && wanted(m.state))
        };
        let done = has_state(self.plan.good.route, |state| state == MoveState::Done);
        let taken_back = has_state(self.plan.bad.route, |state| {
            matches!(state, MoveState::TakenBack { .. })
        });
        let in_time = moves.iter().all(|m| m.stepped <= deadline);
        let seen = format!("good done: {done}, bad taken back: {taken_back}, in time: {in_time}");
        self.report.add_promise(
            "(moves) good done in time, bad taken back",
            done && taken_back && in_time,
            seen,
        );
    }

    fn check_faults(&mut self, faults: &FaultObservations) {
        let drained = self
            .fleet
            .servers_of(self.plan.drained_service, "1")
            .first();
        let runs_at_end = drained.map_or(0, |server| server.run_counter.total());
        let seen = format!(
            "{} calls after the drain and 3 s more",
            runs_at_end - faults.runs_after_drain
        );
        let promise = "a leaving backend server gets no new work after a few seconds";
        self.report
            .add_promise(promise, runs_at_end == faults.runs_after_drain, seen);
        let is_complete = faults.export.as_ref().is_some_and(|report| {
            report.outcome == Outcome::Answered && !report.wrong && report.bytes == EXPORT_BYTES
        });
        let bytes = faults.export.as_ref().map_or(0, |report| report.bytes);
        let seen = format!("{bytes} of {EXPORT_BYTES} bytes of an export during a planned stop");
        self.report
            .add_promise("a planned stop cuts no request", is_complete, seen);
    }

    /// Checks the promises against what the callers and the watcher observed in the whole run.
    fn check_promises(&mut self, tally: &CallTally, findings: &Findings) {
        for ((kind, outcome, reason), calls) in &tally.outcomes {
            let reason = reason.clone();
            self.report.outcomes.push(OutcomeRow {
                kind,
                outcome,
                reason,
                calls: *calls,
            });
        }
        let reverted = format!(
            "{} checks, reverted: {:?}",
            findings.checks, findings.reverted
        );
        let kept = findings.reverted.is_empty() && findings.checks > 0;
        self.report
            .add_promise("no proxy goes back to an older version", kept, reverted);
        let broken = format!("broken configurations: {:?}", findings.broken);
        let promise = "no route points at a pool that the proxy lacks";
        self.report.add_promise(
            promise,
            findings.broken.is_empty() && findings.checks > 0,
            broken,
        );
        let wrong = format!("wrong answers that looked whole: {}", tally.wrong);
        self.report.add_promise(
            "a caller gets the whole answer to its own request",
            tally.wrong == 0,
            wrong,
        );
        let counters = self.fleet.run_counters();
        let runs = |id: &str| counters.iter().map(|counter| counter.runs(id)).sum::<u32>();
        let false_refusals = tally.refused.iter().filter(|id| runs(id) > 0).count();
        let refusals = format!(
            "{} refused calls, {false_refusals} of them had run",
            tally.refused.len()
        );
        self.report.add_promise(
            "a refusal that says a request did not run is true",
            false_refusals == 0,
            refusals,
        );
        let doubled = self.doubled_postings();
        let text = format!("{} sent again, {doubled} ran more than once", tally.resent);
        let promise = "a posting runs at most once";
        self.report
            .add_promise(promise, doubled == 0 && tally.resent > 0, text);
        let slowest = self
            .report
            .convergence_ms
            .iter()
            .copied()
            .fold(0.0, f64::max);
        let kept =
            slowest <= CONVERGENCE_LIMIT.as_secs_f64() * 1_000.0 && findings.reverted.is_empty();
        let text = format!(
            "slowest edit after {slowest:.0} ms, reverted: {}",
            findings.reverted.len()
        );
        let promise = "an accepted configuration is in force everywhere within seconds and stays";
        self.report.add_promise(promise, kept, text);
    }

    /// The number of postings that ran more than once, over all backend servers.
    fn doubled_postings(&self) -> usize {
        let counters = self.fleet.run_counters();
        let mut runs = std::collections::BTreeMap::<String, u32>::new();
        for counter in &counters {
            for (id, count) in counter.counts() {
                *runs.entry(id).or_default() += count;
            }
        }
        let doubled = |(id, count): &(&String, &u32)| **count > 1 && id.starts_with(POSTING);
        runs.iter().filter(doubled).count()
    }
}

fn versions(fleet: &Fleet) -> Vec<(String, Option<ConfigVersion>)> {
    let configs = fleet.configs().into_iter();
    configs
        .map(|(name, config)| (name, config.map(|config| config.version())))
        .collect()
}

/// Adds a pool with version 2 for the service of each moved route, and moves the route to it by the
/// deadline.
fn with_moves(tables: &Value, moves: &[MovedRoute], deadline: Timestamp) -> Value {
    let mut tables = tables.clone();
    for moved in moves {
        let new = format!("{}-v2", moved.service);
        let mut pool = json!({"name": new, "service": moved.service, "version": "2"});
        let old = tables["pools"].as_array().into_iter().flatten();
        if let Some(old) = old.clone().find(|pool| pool["service"] == moved.service) {
            pool["policy"] = old["policy"].clone();
        }
        if let Some(pools) = tables["pools"].as_array_mut() {
            pools.push(pool);
        }
        for route in tables["routes"].as_array_mut().into_iter().flatten() {
            if route["name"] == moved.route {
                route["pool"] = json!(new);
                route["move_deadline"] = json!(deadline.to_rfc3339());
            }
        }
    }
    tables
}

/// Waits until a condition holds, or fails after [`WAIT_LIMIT`].
async fn wait_until(what: &str, holds: impl Fn() -> bool) -> io::Result<()> {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > WAIT_LIMIT {
            return Err(io::Error::other(format!(
                "timed out after {WAIT_LIMIT:?} waiting until {what}"
            )));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}
