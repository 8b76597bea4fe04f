//! The bounds that every simulation must keep.

use std::time::Duration;

use trefoillock_core::{CallRate, Timestamp};

use super::{
    Outcome, Scenario,
    entry::Entry,
    scenario::{LENGTH, START},
    server::{RunRecord, Server},
};

/// The length of the window in which calls are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The time after the first limit of a run from which calls are counted.
const CONTACT: Duration = Duration::from_secs(3);
/// The shortest time with one limit in which its use is measured.
const MIN_STEADY_TIME: Duration = Duration::from_secs(6);
/// The time after the beginning of a limit from which its use is measured.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// The share of its limit that a backend server gets while there is demand.
const MIN_USED: f64 = 0.9;
/// The share of the calls of any entry node that are answered, compared with all entry nodes.
const MIN_FAIR_SHARE: f64 = 0.5;
/// The number of calls from which the share of an entry node is compared.
const MIN_CALLS: u64 = 200;

pub(crate) fn check(
    scenario: &Scenario,
    servers: &[Server],
    entries: &[Entry],
    mut outcome: Outcome,
) -> Outcome {
    for server in servers {
        for record in &server.records {
            let broken =
                busiest_window(record).map(|bound| format!("{}: {bound}", server.member.id));
            outcome.broken.extend(broken);
        }
    }
    if scenario.faults.iter().all(|(at, _)| *at == START) {
        check_use(servers, &mut outcome);
    }
    check_fairness(entries, &mut outcome);
    outcome
}

/// The first window in which a run of a backend server got more calls from nodes that were told
/// than one and a half times what its limits allow, and five more.
fn busiest_window(record: &RunRecord) -> Option<String> {
    let first = record.spans.iter().find(|span| span.limit.is_some())?;
    let told: Vec<Timestamp> = record
        .starts
        .iter()
        .filter(|start| start.is_told && start.at >= first.from + CONTACT)
        .map(|start| start.at)
        .collect();
    told.iter().find_map(|from| {
        let until = *from + WINDOW;
        let allowed = 1.5 * allowed_calls(record, *from, until)? + 5.0;
        let got = float(told.iter().filter(|at| (*from..until).contains(at)).count());
        (got > allowed).then(|| {
            let after = from.since(START).as_secs_f64();
            format!("{got} calls in 4 s at {after:.3} s, allowed {allowed:.1}")
        })
    })
}

/// What the limits of a run allow in a window; `None` if there is a time without a limit in it.
fn allowed_calls(record: &RunRecord, from: Timestamp, until: Timestamp) -> Option<f64> {
    let ends = record.spans.iter().skip(1).map(|span| span.from);
    let ends = ends.chain([record.ended_at.unwrap_or(until).max(until)]);
    let mut allowed = 0.0;
    for (span, end) in record.spans.iter().zip(ends) {
        let overlap = end.min(until).since(span.from.max(from)).as_secs_f64();
        if overlap > 0.0 {
            allowed += span.limit?.per_s() * overlap;
        }
    }
    Some(allowed)
}

/// Checks that limited backend servers get their limit while nothing else happens.
fn check_use(servers: &[Server], outcome: &mut Outcome) {
    for server in servers {
        let Some(record) = server.records.back() else {
            continue;
        };
        let Some(span) = record.spans.last() else {
            continue;
        };
        let (from, until) = (span.from + SETTLE_TIME, START + LENGTH);
        let Some(per_s) = span.limit.map(CallRate::per_s) else {
            continue;
        };
        if until.since(from) < MIN_STEADY_TIME {
            continue;
        }
        let started = record
            .starts
            .iter()
            .filter(|start| (from..until).contains(&start.at));
        let used = float(started.count()) / (per_s * until.since(from).as_secs_f64());
        outcome.used = Some(outcome.used.unwrap_or(used).min(used));
        if used < MIN_USED {
            let id = &server.member.id;
            let bound = format!("{id}: {used:.2} of a limit of {per_s:.1} a second used");
            outcome.broken.push(bound);
        }
    }
}

/// Checks that no entry node is starved by the others.
fn check_fairness(entries: &[Entry], outcome: &mut Outcome) {
    let share = |answered: u64, calls: u64| count(answered) / count(calls.max(1));
    let all = share(outcome.answered, outcome.calls);
    for (number, entry) in entries.iter().enumerate() {
        let own = share(entry.answered, entry.calls);
        if entry.calls >= MIN_CALLS && own < MIN_FAIR_SHARE * all {
            let bound = format!("entry {number}: {own:.2} answered, of all {all:.2}");
            outcome.broken.push(bound);
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "the counts are small")]
const fn count(number: u64) -> f64 {
    number as f64
}

#[expect(clippy::cast_precision_loss, reason = "the counts are small")]
const fn float(number: usize) -> f64 {
    number as f64
}
