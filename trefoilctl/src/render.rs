//! Formats reports as human-readable text.

use std::fmt::Write as _;

use trefoillock_core::{
    EditAnswer, EditRefusal, Move, MoveState, RolloutState, RouteClass, TablesDiff,
};
use trefoillock_operator::{
    BurnReport, CheckReport, EditReport, EvacuationRow, EvacuationsReport, MembersReport,
    MovesReport, RolloutsReport, StatusReport, TablesReport, WorkspacesReport,
};
use trefoillock_store::CancelAnswer;

/// Formats rows as a table with left-aligned columns.
fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut out = String::new();
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    for row in std::iter::once(&header).chain(rows) {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            let _ = write!(line, "{cell:<width$}  ");
        }
        let _ = writeln!(out, "{}", line.trim_end());
    }
    out
}

pub(crate) fn routes(report: &TablesReport) -> String {
    let rows = report.tables.routes.iter().map(|route| {
        let host = route.matches.host.as_deref().unwrap_or("*");
        let method = route.matches.method.as_deref().unwrap_or("*");
        vec![
            route.name.clone(),
            format!("{method} {host}{}", route.matches.path_prefix),
            route.class.clone(),
            route.pool.clone(),
            format!("{} ms", route.timeout_ms),
            route.move_deadline.clone().unwrap_or_default(),
        ]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    table(
        &["ROUTE", "MATCH", "CLASS", "POOL", "TIMEOUT", "DEADLINE"],
        &rows,
    )
}

pub(crate) fn pools(report: &TablesReport) -> String {
    let rows = report.tables.pools.iter().map(|pool| {
        let slots = pool.policy.slots.map(|slots| slots.to_string());
        vec![
            pool.name.clone(),
            pool.service.clone(),
            pool.version.clone().unwrap_or_else(|| "any".to_owned()),
            slots.unwrap_or_default(),
        ]
    });
    table(
        &["POOL", "SERVICE", "VERSION", "SLOTS"],
        &rows.collect::<Vec<_>>(),
    )
}

/// The whole tables as indented JSON in the form that `apply` takes.
pub(crate) fn tables(report: &TablesReport) -> String {
    let text = serde_json::to_string_pretty(&report.tables);
    text.unwrap_or_default() + "\n"
}

pub(crate) fn workspaces(report: &WorkspacesReport) -> String {
    if !report.needs_keys {
        return "the tables have no workspaces; callers need no key\n".to_owned();
    }
    let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
    let rows = report.workspaces.iter().map(|row| {
        vec![
            row.name.to_string(),
            row.keys.to_string(),
            or_dash(row.priority.map(|priority| priority.to_string())),
            or_dash(row.rate_per_s.map(|rate| format!("{rate}/s"))),
            or_dash(row.burst.map(|burst| burst.to_string())),
        ]
    });
    table(
        &["WORKSPACE", "KEYS", "PRIORITY", "RATE", "BURST"],
        &rows.collect::<Vec<_>>(),
    )
}

pub(crate) fn members(report: &MembersReport) -> String {
    let rows = report.members.iter().map(|member| {
        vec![
            member.id.to_string(),
            member.data_centre.to_string(),
            member.service.to_string(),
            member.version.to_string(),
            format!("{:?}", member.state).to_lowercase(),
        ]
    });
    table(
        &["SERVER", "DATA CENTRE", "SERVICE", "VERSION", "STATE"],
        &rows.collect::<Vec<_>>(),
    )
}

pub(crate) fn version(report: &TablesReport) -> String {
    format!(
        "configuration {}, tables {}\n",
        report.version, report.tables_version
    )
}

pub(crate) fn moves(report: &MovesReport) -> String {
    let rows = report.moves.iter().map(|m| {
        vec![
            m.id.to_string(),
            m.route.to_string(),
            format!("{} -> {}", m.from, m.to),
            m.state.to_string(),
            m.share.to_string(),
            m.deadline.to_string(),
            m.evidence.clone(),
        ]
    });
    let header = [
        "MOVE", "ROUTE", "POOLS", "STATE", "SHARE", "DEADLINE", "EVIDENCE",
    ];
    table(&header, &rows.collect::<Vec<_>>())
}

pub(crate) fn rollouts(report: &RolloutsReport) -> String {
    let rows = report.rollouts.iter().map(|row| {
        let is_limited = row.state == RolloutState::Running;
        let parts = row.allowance.parts.iter();
        let parts = parts.map(|part| format!("{}={}", part.server, part.calls));
        vec![
            row.service.to_string(),
            row.version.to_string(),
            format!("{:?}", row.state).to_lowercase(),
            row.share.to_string(),
            format!("{} of {}", row.version_calls, row.service_calls),
            row.allowed_calls.to_string(),
            format!(
                "{} {}",
                row.allowance.granted(),
                row.allowance.purpose.as_str()
            ),
            parts.filter(|_| is_limited).collect::<Vec<_>>().join(" "),
            row.evidence.clone(),
        ]
    });
    let header = [
        "SERVICE", "VERSION", "STATE", "SHARE", "CALLS", "ALLOWED", "GRANTED", "PARTS", "EVIDENCE",
    ];
    table(&header, &rows.collect::<Vec<_>>())
}

/// The width of a progress bar, in characters.
const BAR_WIDTH: usize = 20;

/// Formats the progress, state and evidence of a move as one line.
pub(crate) fn move_line(m: &Move) -> String {
    let filled = m.share.ppm() as usize * BAR_WIDTH / 1_000_000;
    let bar = format!("{}{}", "#".repeat(filled), ".".repeat(BAR_WIDTH - filled));
    let reason = match m.state {
        MoveState::Holding { reason } => format!(" ({reason:?})"),
        MoveState::AtRisk { reason, earliest } => {
            let earliest = earliest
                .map(|at| format!(", earliest {at}"))
                .unwrap_or_default();
            format!(" ({reason:?}{earliest})")
        }
        MoveState::TakenBack { end } => format!(" ({end:?})"),
        _ => String::new(),
    };
    format!(
        "move {} {} [{bar}] {} {}{reason} until {} {}",
        m.id, m.route, m.share, m.state, m.deadline, m.evidence
    )
}

pub(crate) fn cancel(answer: CancelAnswer) -> String {
    match answer {
        CancelAnswer::TakenBack => "the move is taken back\n",
        CancelAnswer::AlreadyEnded => "the move had ended before\n",
        CancelAnswer::Unknown => "there is no such move\n",
    }
    .to_owned()
}

pub(crate) fn evacuations(report: &EvacuationsReport) -> String {
    if report.evacuations.is_empty() {
        return "no data centre is evacuated\n".to_owned();
    }
    report.evacuations.iter().map(evacuation_line).collect()
}

fn evacuation_line(row: &EvacuationRow) -> String {
    format!(
        "{} is evacuated since {} ({} s)\n",
        row.data_centre, row.since, row.age_s
    )
}

pub(crate) fn check(report: &CheckReport) -> String {
    if let Some(errors) = &report.errors {
        let lines = errors.as_slice().iter().map(|error| format!("{error}\n"));
        return lines.collect();
    }
    match &report.difference {
        None => "the tables are valid\n".to_owned(),
        Some(difference) if difference.is_empty() => "no difference\n".to_owned(),
        Some(difference) => diff(difference),
    }
}

fn diff(difference: &TablesDiff) -> String {
    let mut out = String::new();
    let mut list = |sign: char, kind: &str, names: Vec<String>| {
        for name in names {
            let _ = writeln!(out, "{sign} {kind} {name}");
        }
    };
    let text =
        |names: &[trefoillock_core::RouteName]| names.iter().map(ToString::to_string).collect();
    list('+', "route", text(&difference.routes_added));
    list('-', "route", text(&difference.routes_removed));
    list('~', "route", text(&difference.routes_changed));
    let text =
        |names: &[trefoillock_core::PoolName]| names.iter().map(ToString::to_string).collect();
    list('+', "pool", text(&difference.pools_added));
    list('-', "pool", text(&difference.pools_removed));
    list('~', "pool", text(&difference.pools_changed));
    let text =
        |names: &[trefoillock_core::WorkspaceName]| names.iter().map(ToString::to_string).collect();
    list('+', "workspace", text(&difference.workspaces_added));
    list('-', "workspace", text(&difference.workspaces_removed));
    list('~', "workspace", text(&difference.workspaces_changed));
    match difference.needs_keys {
        Some(true) => out += "+ table of workspaces: callers need a key\n",
        Some(false) => out += "- table of workspaces: callers need no key\n",
        None => {}
    }
    out
}

pub(crate) fn edit(report: &EditReport) -> String {
    match &report.answer {
        EditAnswer::Accepted { version, moves } if moves.is_empty() => {
            format!("accepted as version {version}\n")
        }
        EditAnswer::Accepted { version, moves } => {
            let moves: Vec<String> = moves.iter().map(ToString::to_string).collect();
            format!(
                "accepted as version {version}; moves started: {}\n",
                moves.join(", ")
            )
        }
        EditAnswer::Refused(EditRefusal::Conflict(conflict)) => {
            format!("refused: {conflict}\n{}", diff(&conflict.difference))
        }
        EditAnswer::Refused(refusal) => format!("refused: {refusal}\n"),
    }
}

pub(crate) fn status(report: &StatusReport) -> String {
    let mut out = format!(
        "configuration {} (tables {}), term {}\n{} of {} nodes are current, {} moves running\n",
        report.version,
        report.tables_version,
        report.term,
        report.current_nodes(),
        report.nodes,
        report.running_moves
    );
    for count in &report.versions {
        let _ = writeln!(out, "  version {}: {} nodes", count.version, count.nodes);
    }
    for node in &report.lagging {
        let _ = writeln!(out, "  lagging: {node}");
    }
    out.extend(report.evacuations.iter().map(evacuation_line));
    let rows = report.replicas.iter().map(|replica| {
        let role = match (replica.leader, replica.voter) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "learner",
        };
        vec![
            replica.id.to_string(),
            replica.address.to_string(),
            role.to_owned(),
        ]
    });
    out + &table(&["REPLICA", "ADDRESS", "ROLE"], &rows.collect::<Vec<_>>())
}

pub(crate) fn burn(report: &BurnReport) -> String {
    let mut header = vec!["ROUTE OR CLASS".to_owned(), "TARGET".to_owned()];
    let windows = report
        .rows
        .first()
        .map(|row| row.windows.as_slice())
        .unwrap_or_default();
    header.extend(windows.iter().map(|window| window_length(window.seconds)));
    let mut rows = Vec::new();
    for row in &report.rows {
        let good = f64::from(row.target.good_ppm) / 10_000.0;
        let mut cells = vec![
            row.route.to_string(),
            format!("{good}% in {} ms", row.target.latency_ms),
        ];
        cells.extend(
            row.windows
                .iter()
                .map(|w| format!("{:.2}", w.burn_rate(row.target))),
        );
        rows.push(cells);
    }
    for class in RouteClass::ALL {
        let sums = report.of_class(class);
        if !sums.is_empty() {
            let mut cells = vec![format!("[{}]", class.as_str()), "bad/all".to_owned()];
            cells.extend(sums.iter().map(|w| format!("{}/{}", w.bad, w.good + w.bad)));
            rows.push(cells);
        }
    }
    let header: Vec<&str> = header.iter().map(String::as_str).collect();
    table(&header, &rows)
}

/// Formats the length of a burn-rate window.
fn window_length(seconds: u64) -> String {
    match seconds {
        s if s >= 86_400 => format!("{} d", s / 86_400),
        s if s >= 3_600 => format!("{} h", s / 3_600),
        s => format!("{} min", s / 60),
    }
}
