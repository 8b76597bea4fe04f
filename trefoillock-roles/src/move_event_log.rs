//! Logs the events of moves.

use std::collections::BTreeMap;

use trefoillock_core::{Move, MoveId, MoveState};
use trefoillock_process::Event;

use crate::event_log::EventLog;

/// Writes an event when a move starts and whenever its step or state changes.
#[derive(Debug)]
pub(crate) struct MoveEventLog {
    events: EventLog,
    last_seen: BTreeMap<MoveId, (u32, MoveState)>,
}

impl MoveEventLog {
    pub(crate) const fn new(events: EventLog) -> Self {
        Self {
            events,
            last_seen: BTreeMap::new(),
        }
    }

    /// Compares the moves with those of the previous call and writes an event for each change.
    ///
    /// A move that is past step 0 when it is first seen gets no start event, as it was started
    /// under an earlier leader, which logged it.
    pub(crate) fn log_changes(&mut self, moves: &[Move]) {
        for m in moves {
            let current = (m.step, m.state);
            match self.last_seen.insert(m.id, current) {
                None if m.step == 0 => self.log_started(m),
                Some(previous) if previous != current => self.log_changed(m),
                _ => {}
            }
        }
        self.last_seen
            .retain(|id, _| moves.iter().any(|m| m.id == *id));
    }

    fn log_started(&self, m: &Move) {
        self.events.write(
            Event::MoveStarted,
            &[
                ("move", &m.id),
                ("route", &m.route),
                ("from", &m.from),
                ("to", &m.to),
                ("deadline", &m.deadline),
            ],
        );
    }

    fn log_changed(&self, m: &Move) {
        match m.state {
            MoveState::Done => self.events.write(
                Event::MoveDone,
                &[
                    ("move", &m.id),
                    ("route", &m.route),
                    ("evidence", &m.evidence),
                ],
            ),
            MoveState::TakenBack { end } => {
                let reason = format!("{end:?}");
                self.events.write(
                    Event::MoveTakenBack,
                    &[
                        ("move", &m.id),
                        ("route", &m.route),
                        ("reason", &reason),
                        ("evidence", &m.evidence),
                    ],
                );
            }
            MoveState::AtRisk { reason, .. } => {
                let reason = format!("{reason:?}");
                let fields: [(&str, &dyn std::fmt::Display); 3] =
                    [("move", &m.id), ("route", &m.route), ("reason", &reason)];
                self.events.write(Event::MoveAtRisk, &fields);
            }
            MoveState::WaitingForServers
            | MoveState::Canary
            | MoveState::Ramping
            | MoveState::Holding { .. } => self.events.write(
                Event::MoveStepped,
                &[
                    ("move", &m.id),
                    ("step", &m.step),
                    ("state", &m.state),
                    ("share", &m.share),
                    ("evidence", &m.evidence),
                ],
            ),
        }
    }
}
